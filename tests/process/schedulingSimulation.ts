/** Several processes that compete for the scheduling, with one store and two workers, on a simulated clock. */
import { defaultStep } from "../../harness/defaultStep.js";
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates, type SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { createEndLedger } from "./endLedger.js";
import { interruptStore } from "./interruptedStore.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { createWorkerConnector } from "./simulatedWorkerClient.js";
import { createTakeoverChecks } from "./takeoverChecks.js";

export interface SchedulingSimulation {
    run(durationMs: number, options: { hasFaults: boolean }): Promise<void>;
    violations: string[];
    /** Jobs that do not show as completed, with their progress; without those that may be given up. */
    unfinishedJobs(): string[];
    /** How often a task was started at most, in the latest run, that crashes each worker that starts it; and the state of its job. */
    deadlyStartsCount(): number;
    deadlyJobState(): string | undefined;
    /** How often a process became the owner. */
    termsCount(): number;
    /** How often a process continued its own term. */
    continuedTermsCount(): number;
    close(): void;
}

const turnMs = 20;
const processesCount = 3;
const jobsCount = 4;
const arrivalsMs = 4_000;
const taskDurationMs = 400;
/** Chance that a process is stopped, or ends, in a turn; with it the owner changes about every one and a half seconds. */
const restartPercent = 6;
/** Where processes are cut off, an owner lasts long enough to lose its lease and to be the owner again. */
const restartPercentWithCuts = 1;
const workerRestartPercent = 1;
const capacityChangePercent = 2;
/** A start that was sent before a capacity shrank is executed within this time, or not at all. */
const commandValidityMs = 3_000;
const cutPercent = 2;
const maxCutMs = 7_000;
const deadlyJobId = "deadly";
/** A job may be given up once this many workers have crashed under one of its tasks. */
const crashesBeforeGivingUp = 2;
/** Enough for every failure that a history contains. */
const maxAttempts = 1_000;

export interface SimulationOptions {
    leavesProgressUnanswered?: boolean;
    /** A further job whose tasks crash each worker that starts them. */
    hasDeadlyJob?: boolean;
    /** The workers' capacity shrinks and grows while there are faults. */
    changesCapacity?: boolean;
    jobsCount?: number;
    /** The jobs arrive within this time. */
    arrivalsMs?: number;
    /** Processes are cut off from the store for a while, one or all of them, and reach the workers all the same. */
    cutsProcesses?: boolean;
}

export function createSchedulingSimulation(random: SeededRandom, options: SimulationOptions = {}): SchedulingSimulation {
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, options.leavesProgressUnanswered ?? false);
    const violations: string[] = [];
    const startedAtMs = new Map<string, number>();
    const processes: SimulatedProcess[] = [];
    const processByMember = new Map<string, SimulatedProcess>();
    const cutUntilMs = new Map<string, number>();
    let hasFaults = true;
    /** Starts of each deadly task in the latest run. */
    const deadlyStarts = new Map<string, number>();
    /** How many workers have crashed under each task, with those whose end of the task was not acknowledged. */
    const crashesByTask = new Map<string, number>();
    const shrunkAtMs = new Map<string, number>();
    let nextMemberId = 1;
    const isFault = (percent: number): boolean => hasFaults && random.between(1, 100) <= percent;
    const isCut = (nodeName: string): boolean => (cutUntilMs.get(nodeName) ?? 0) > timers.nowMs();
    const ledger = createEndLedger(timers.nowMs, violations);

    const queue = { ...modelPolicy.queues.get("queue")!, maxAttempts };
    const policy: SchedulingPolicy = { ...modelPolicy, queues: new Map([["queue", queue]]) };
    const workers: ModelWorker[] = ["w1", "w2"].map(id =>
        createModelWorker(
            id,
            taskName => {
                if (workers.some(each => each.running.has(taskName))) {
                    violations.push(`${taskName} runs twice at ${timers.nowMs()}`);
                }
                ledger.recordStart(taskName, id);
                startedAtMs.set(taskName, timers.nowMs());
                const worker = workers.find(each => each.id === id)!;
                if (timers.nowMs() - (shrunkAtMs.get(id) ?? timers.nowMs()) > commandValidityMs && worker.running.size >= worker.capacity) {
                    violations.push(`${id} has no room for ${taskName} at ${timers.nowMs()}`);
                }
                if (taskName.startsWith(deadlyJobId)) {
                    deadlyStarts.set(taskName, (deadlyStarts.get(taskName) ?? 0) + 1);
                    timers.after(1, () => restartWorker(worker));
                }
            },
            () => undefined,
            { onAcknowledged: ledger.recordAcknowledged },
        )
    );
    const takeoverChecks = createTakeoverChecks(store, workers, timers.nowMs, violations);
    const connectWorker = createWorkerConnector({ timers, random, isFault, hasFaults: () => hasFaults });

    const startProcess = (nodeName: string): SimulatedProcess => {
        const memberId = `member${nextMemberId++}`;
        const process = startSimulatedProcess({
            nodeName,
            memberId,
            timers,
            random,
            store,
            processStore: interruptStore(store.connect(() => hasFaults), timers, () => isCut(nodeName)),
            policy,
            workerEntries: workers.map(entryOf),
            workerLeaseMs,
            connectWorker: entry => connectWorker(workers.find(worker => worker.id === entry.workerId)!, nodeName),
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: term => takeoverChecks.termStarted(memberId, term),
        });
        processByMember.set(memberId, process);
        return process;
    };

    const restartProcess = (index: number): void => {
        const { lifetime, ownership } = processes[index]!;
        if (random.between(0, 1) === 0) {
            void ownership.release();
            timers.after(300, () => lifetime.abort());
        }
        else {
            lifetime.abort();
        }
        processes[index] = startProcess(`node${index}`);
    };
    /** Cuts off one process, or all of them as an outage of the store does. */
    const cutSomeProcesses = (): void => {
        const untilMs = timers.nowMs() + random.between(500, maxCutMs);
        const isOutage = random.between(0, 3) === 0;
        (isOutage ? processes : [random.pick(processes)]).forEach(({ nodeName }) => cutUntilMs.set(nodeName, untilMs));
    };
    const publishEntry = (worker: ModelWorker): void =>
        processes.forEach(({ service }) => service.onWorkerChanged(worker.id, entryOf(worker)));
    const restartWorker = (worker: ModelWorker): void => {
        for (const taskName of new Set([...worker.running.keys(), ...worker.ends.map(end => end.taskName)])) {
            crashesByTask.set(taskName, (crashesByTask.get(taskName) ?? 0) + 1);
        }
        worker.restart();
        publishEntry(worker);
    };
    const changeCapacity = (worker: ModelWorker): void => {
        worker.capacity = 1 - worker.capacity;
        if (worker.capacity === 0) {
            shrunkAtMs.set(worker.id, timers.nowMs());
        }
        else {
            shrunkAtMs.delete(worker.id);
        }
        publishEntry(worker);
    };
    const advanceWorkers = (): void => {
        for (const worker of workers) {
            if (timers.nowMs() > worker.leaseEndsAtMs) {
                ledger.recordLapse(worker.ends);
            }
            for (const taskName of [...worker.running.keys()]) {
                if (timers.nowMs() > worker.leaseEndsAtMs) {
                    worker.end(taskName, runEnds.lapsed);
                }
                else if (timers.nowMs() - startedAtMs.get(taskName)! >= taskDurationMs) {
                    const end = isFault(40) ? runEnds.failed : runEnds.done;
                    worker.end(taskName, end);
                    if (end === runEnds.done) {
                        ledger.recordDone(worker.id, worker.ends.at(-1)!);
                    }
                }
            }
        }
    };
    const mayBeGivenUp = (jobId: string): boolean =>
        [...crashesByTask].some(([taskName, crashesCount]) => taskName.startsWith(`${jobId}.`) && crashesCount >= crashesBeforeGivingUp);
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 3; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };

    for (let index = 0; index < processesCount; index++) {
        processes.push(startProcess(`node${index}`));
    }
    const jobIds = Array.from({ length: options.jobsCount ?? jobsCount }, (_, index) => `job${index}`);
    if (options.hasDeadlyJob) {
        jobIds.push(deadlyJobId);
    }
    for (const jobId of jobIds) {
        const steps = [{ ...defaultStep, taskCount: 2 }, { ...defaultStep, dependsOn: [0] }];
        const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs: 0 };
        timers.after(
            random.between(0, options.arrivalsMs ?? arrivalsMs),
            () => store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission)),
        );
    }

    return {
        violations,
        termsCount: () => takeoverChecks.counts().terms,
        continuedTermsCount: () => takeoverChecks.counts().continued,
        deadlyStartsCount: () => Math.max(0, ...deadlyStarts.values()),
        deadlyJobState: () => {
            const progress = store.valueOf(jobKeys.progressPrefix + deadlyJobId);
            return progress === undefined ? undefined : decodeProgress(progress).state;
        },
        unfinishedJobs: () =>
            jobIds.flatMap(jobId => {
                const progress = store.valueOf(jobKeys.progressPrefix + jobId);
                const state = progress === undefined ? undefined : decodeProgress(progress).state;
                const isEnded = state === jobStates.completed || (state === jobStates.failed && mayBeGivenUp(jobId));
                return isEnded ? [] : [`${jobId}: ${progress}`];
            }),
        run: async (durationMs, phase) => {
            hasFaults = phase.hasFaults;
            if (!hasFaults) {
                cutUntilMs.clear();
            }
            deadlyStarts.clear();
            workers.filter(worker => !hasFaults && worker.capacity === 0).forEach(changeCapacity);
            const untilMs = timers.nowMs() + durationMs;
            while (timers.nowMs() < untilMs) {
                timers.advance(turnMs);
                advanceWorkers();
                processes.filter(({ nodeName, lifetime }) => !lifetime.signal.aborted && !isCut(nodeName) && !isFault(80))
                    .forEach(each => each.follow());
                takeoverChecks.check(processByMember);
                if (options.cutsProcesses && isFault(cutPercent)) {
                    cutSomeProcesses();
                }
                if (options.changesCapacity && isFault(capacityChangePercent)) {
                    changeCapacity(random.pick(workers));
                }
                if (isFault(workerRestartPercent)) {
                    restartWorker(random.pick(workers));
                }
                if (isFault(options.cutsProcesses ? restartPercentWithCuts : restartPercent)) {
                    restartProcess(random.between(0, processesCount - 1));
                }
                await settle();
            }
        },
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
