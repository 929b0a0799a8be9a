/** Several processes that compete for the scheduling, with one store and two workers, on a simulated clock. */
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { defaultStep } from "../scheduling/defaultStep.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";

export interface SchedulingSimulation {
    run(durationMs: number, options: { hasFaults: boolean }): Promise<void>;
    violations: string[];
    /** Jobs that do not show as completed, with their progress. */
    unfinishedJobs(): string[];
    /** How often a process became the owner. */
    termsCount(): number;
    close(): void;
}

const turnMs = 20;
const processesCount = 3;
const jobsCount = 4;
const commandTimeoutMs = 500;
const taskDurationMs = 400;
/** Chance that a process is stopped, or ends, in a turn; with it the owner changes about every one and a half seconds. */
const restartPercent = 6;
const workerRestartPercent = 1;
/** Enough for every failure that a history contains. */
const maxAttempts = 1_000;

export function createSchedulingSimulation(random: SeededRandom, leavesProgressUnanswered = false): SchedulingSimulation {
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, leavesProgressUnanswered);
    const violations: string[] = [];
    const startedAtMs = new Map<string, number>();
    const processes: SimulatedProcess[] = [];
    let hasFaults = true;
    let termsCount = 0;
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
        }, () => undefined)
    );
    const wait = (durationMs: number): Promise<void> => new Promise(resolve => timers.after(durationMs, () => resolve()));

    const order = async (token: number, worker: ModelWorker, execute: () => boolean): Promise<OrderResponse> => {
        const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
        const { bornWallMs } = worker;
        // A command ends with its connection, and thus with the incarnation to which it was sent.
        const hasRestarted = (): boolean => worker.bornWallMs !== bornWallMs;
        if (isFault(10)) {
            if (isFault(50)) {
                timers.after(random.between(0, 2_000), () => void (hasRestarted() || execute()));
            }
            await wait(commandTimeoutMs);
            return noResponse;
        }
        await wait(random.between(1, hasFaults ? 300 : 5));
        if (hasRestarted()) {
            return noResponse;
        }
        const isFenced = token < worker.highestToken;
        const isAccepted = execute();
        return { outcome: isAccepted ? commandOutcomes.accepted : commandOutcomes.refused, reason: "", isFenced };
    };
    const list = async (
        worker: ModelWorker,
        { token, acknowledgedEndNumber, leaseUntilClockMs, waitMs }: ListOrder,
    ): Promise<ListResponse> => {
        const noListing = { isFenced: false, clockMs: undefined, listing: undefined };
        const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", ...noListing };
        const { bornWallMs } = worker;
        if (isFault(5)) {
            await wait(commandTimeoutMs + waitMs);
            return noResponse;
        }
        if (token < worker.highestToken) {
            return { outcome: commandOutcomes.refused, reason: "fence", ...noListing, isFenced: true };
        }
        worker.highestToken = token;
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledgedEndNumber);
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, Math.min(leaseUntilClockMs ?? 0, timers.nowMs() + workerLeaseMs));
        await wait(Math.min(waitMs, 60));
        if (worker.bornWallMs !== bornWallMs) {
            return noResponse;
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        const listing = { bornWallMs, running, ended: [...worker.ends] };
        const clockMs = timers.nowMs();
        await wait(random.between(1, hasFaults ? 100 : 3));
        return { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs, listing };
    };
    const connectWorker = (worker: ModelWorker): WorkerClient => ({
        start: ({ taskName, runId, token, validUntilClockMs }: StartOrder) =>
            order(token, worker, () => worker.start({ taskName, runId, token, untilMs: validUntilClockMs }, timers.nowMs())),
        stop: ({ taskName, runId, token }) => order(token, worker, () => worker.stop({ taskName, runId, token })),
        setPace: () => Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false }),
        list: each => list(worker, each),
        close: () => undefined,
    });

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
            connectWorker: entry => connectWorker(workers.find(worker => worker.id === entry.workerId)!),
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
    const restartWorker = (worker: ModelWorker): void => {
        worker.restart();
        processes.forEach(({ service }) => service.onWorkerChanged(worker.id, entryOf(worker)));
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
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 3; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };

    for (let index = 0; index < processesCount; index++) {
        processes.push(startProcess(`node${index}`));
    }
    const jobIds = Array.from({ length: jobsCount }, (_, index) => `job${index}`);
    for (const jobId of jobIds) {
        const steps = [{ ...defaultStep, taskCount: 2 }, { ...defaultStep, dependsOn: [0] }];
        const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs: 0 };
        timers.after(random.between(0, 4_000), () => store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission)));
    }

    return {
        violations,
        termsCount: () => termsCount,
        unfinishedJobs: () =>
            jobIds.flatMap(jobId => {
                const progress = store.valueOf(jobKeys.progressPrefix + jobId);
                return progress !== undefined && decodeProgress(progress).state === "completed" ? [] : [`${jobId}: ${progress}`];
            }),
        run: async (durationMs, options) => {
            hasFaults = options.hasFaults;
            const untilMs = timers.nowMs() + durationMs;
            while (timers.nowMs() < untilMs) {
                timers.advance(turnMs);
                advanceWorkers();
                processes.filter(({ lifetime }) => !lifetime.signal.aborted && !isFault(80)).forEach(each => each.follow());
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
