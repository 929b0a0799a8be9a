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
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { createWorkerConnector } from "./simulatedWorkerClient.js";

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
    close(): void;
}

const turnMs = 20;
const processesCount = 3;
const jobsCount = 4;
const taskDurationMs = 400;
/** Chance that a process is stopped, or ends, in a turn; with it the owner changes about every one and a half seconds. */
const restartPercent = 6;
const workerRestartPercent = 1;
const capacityChangePercent = 2;
/** A start that was sent before a capacity shrank is executed within this time, or not at all. */
const commandValidityMs = 3_000;
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
}

export function createSchedulingSimulation(random: SeededRandom, options: SimulationOptions = {}): SchedulingSimulation {
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, options.leavesProgressUnanswered ?? false);
    const violations: string[] = [];
    const startedAtMs = new Map<string, number>();
    const processes: SimulatedProcess[] = [];
    let hasFaults = true;
    let termsCount = 0;
    /** Starts of each deadly task in the latest run. */
    const deadlyStarts = new Map<string, number>();
    /** How many workers have crashed under each task, with those whose end of the task was not acknowledged. */
    const crashesByTask = new Map<string, number>();
    const shrunkAtMs = new Map<string, number>();
    let nextMemberId = 1;
    const isFault = (percent: number): boolean => hasFaults && random.between(1, 100) <= percent;

    const queue = { ...modelPolicy.queues.get("queue")!, maxAttempts };
    const policy: SchedulingPolicy = { ...modelPolicy, queues: new Map([["queue", queue]]) };
    const workers: ModelWorker[] = ["w1", "w2"].map(id =>
        createModelWorker(id, taskName => {
            if (workers.some(each => each.running.has(taskName))) {
                violations.push(`${taskName} runs twice at ${timers.nowMs()}`);
            }
            startedAtMs.set(taskName, timers.nowMs());
            const worker = workers.find(each => each.id === id)!;
            if (timers.nowMs() - (shrunkAtMs.get(id) ?? timers.nowMs()) > commandValidityMs && worker.running.size >= worker.capacity) {
                violations.push(`${id} has no room for ${taskName} at ${timers.nowMs()}`);
            }
            if (taskName.startsWith(deadlyJobId)) {
                deadlyStarts.set(taskName, (deadlyStarts.get(taskName) ?? 0) + 1);
                timers.after(1, () => restartWorker(worker));
            }
        }, () => undefined)
    );
    const connectWorker = createWorkerConnector({ timers, random, isFault, hasFaults: () => hasFaults });

    const startProcess = (nodeName: string): SimulatedProcess =>
        startSimulatedProcess({
            nodeName,
            memberId: `member${nextMemberId++}`,
            timers,
            random,
            store,
            processStore: store.connect(() => hasFaults),
            policy,
            workerEntries: workers.map(entryOf),
            workerLeaseMs,
            connectWorker: entry => connectWorker(workers.find(worker => worker.id === entry.workerId)!, nodeName),
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => termsCount += 1,
        });

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
            for (const taskName of [...worker.running.keys()]) {
                if (timers.nowMs() > worker.leaseEndsAtMs) {
                    worker.end(taskName, runEnds.lapsed);
                }
                else if (timers.nowMs() - startedAtMs.get(taskName)! >= taskDurationMs) {
                    worker.end(taskName, isFault(40) ? runEnds.failed : runEnds.done);
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
    const jobIds = Array.from({ length: jobsCount }, (_, index) => `job${index}`);
    if (options.hasDeadlyJob) {
        jobIds.push(deadlyJobId);
    }
    for (const jobId of jobIds) {
        const steps = [{ ...defaultStep, taskCount: 2 }, { ...defaultStep, dependsOn: [0] }];
        const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs: 0 };
        timers.after(random.between(0, 4_000), () => store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission)));
    }

    return {
        violations,
        termsCount: () => termsCount,
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
            deadlyStarts.clear();
            workers.filter(worker => !hasFaults && worker.capacity === 0).forEach(changeCapacity);
            const untilMs = timers.nowMs() + durationMs;
            while (timers.nowMs() < untilMs) {
                timers.advance(turnMs);
                advanceWorkers();
                processes.filter(({ lifetime }) => !lifetime.signal.aborted && !isFault(80)).forEach(each => each.follow());
                if (options.changesCapacity && isFault(capacityChangePercent)) {
                    changeCapacity(random.pick(workers));
                }
                if (isFault(workerRestartPercent)) {
                    restartWorker(random.pick(workers));
                }
                if (isFault(restartPercent)) {
                    restartProcess(random.between(0, processesCount - 1));
                }
                await settle();
            }
        },
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
