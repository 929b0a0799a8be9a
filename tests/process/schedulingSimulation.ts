/** Several processes that compete for the scheduling, with one store and two workers, on a simulated clock. */
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { StoreChange } from "../../src/connection/platformStore.js";
import type { ListOrder, ListResponse, OrderResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createSchedulingOwnership, type SchedulingOwnership } from "../../src/process/schedulingOwnership.js";
import { createSchedulingService, type SchedulingService } from "../../src/process/schedulingService.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { defaultStep } from "../scheduling/defaultStep.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { taskStopMs, workerLeaseMs } from "../scheduling/schedulerHarness.js";
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

interface SimulatedProcess {
    lifetime: AbortController;
    ownership: SchedulingOwnership;
    service: SchedulingService;
    /** Applies the store's changes up to a revision. */
    follow(): void;
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

    const startProcess = (nodeName: string): SimulatedProcess => {
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const logger = createSilentLogger();
        const directory = createJobDirectory({ onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`) });
        const mirrored = new Map<string, { value: string; revision: number }>();
        let mirroredRevision = 0;
        let nextChange = 0;
        const mirror = {
            revision: () => mirroredRevision,
            valueOf: (key: string) => mirrored.get(key)?.value,
            revisionOf: (key: string) => mirrored.get(key)?.revision ?? 0,
            values: (prefix: string) => [...mirrored].filter(([key]) => key.startsWith(prefix)).map(([key, each]) => ({ key, ...each })),
        } as StoreMirror;
        const processStore = store.connect(() => hasFaults);
        const service = createSchedulingService({
            store: processStore,
            mirror: () => mirror,
            directory,
            ownership: () => ownership,
            timers,
            logger,
            signal,
            areWorkersCurrent: () => true,
            connectWorker: entry => connectWorker(workers.find(worker => worker.id === entry.workerId)!),
            workerLeaseMs,
            taskStopMs,
            ownershipGracePeriodMs: 4_000,
            jobRetentionMs: 600_000,
            demand: createDemandTracker(timers.nowMs),
            onTermStarted: () => undefined,
        });
        const ownership = createSchedulingOwnership({
            memberId: `member${nextMemberId++}`,
            nodeName,
            store: processStore,
            mirror: () => mirror,
            timers,
            logger,
            signal,
            leaseMs: 1_800,
            gracePeriodMs: 4_000,
            acquireDelayMs: 0,
            random: random.unit,
            onAcquired: term => {
                termsCount += 1;
                service.onOwnershipAcquired(term);
            },
            onLost: () => service.onOwnershipLost(),
        });
        service.onPolicyChanged(policy);
        workers.forEach(worker => service.onWorkerChanged(worker.id, entryOf(worker)));
        const applyChange = ({ key, value, revision }: StoreChange): void => {
            if (value === undefined) {
                mirrored.delete(key);
            }
            else {
                mirrored.set(key, { value, revision });
            }
            const event = directory.apply(key, value);
            if (event) {
                service.onJobEvent(event);
            }
        };
        const follow = (): void => {
            if (signal.aborted || isFault(80)) {
                return;
            }
            const revision = store.revision();
            store.changes.slice(nextChange).forEach(applyChange);
            nextChange = store.changes.length;
            mirroredRevision = revision;
            ownership.onStoreChanged();
            service.onStoreChanged();
        };
        return { lifetime, ownership, service, follow };
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
                processes.forEach(each => each.follow());
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
