/**
 * Tasks on a few workers and processes that compete for the scheduling, on a simulated clock. Nodes are killed, stopped, paused, or cut off
 * from the store, from its changes and from workers; workers are silent for a while, restart, or lose their entries and get them back.
 * Records runs of a task that overlap, and starts after an end as done that was acknowledged.
 */
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService, type TimerService } from "../../src/common/timerService.js";
import { logEvents } from "../../src/process/logEvents.js";
import type { Logger } from "../../src/process/logger.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { SchedulingPolicy, StepSpec } from "../../src/scheduling/jobTypes.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { createCheckedWorkers, grantedLeaseMs } from "./checkedWorkers.js";
import { interruptStore } from "./interruptedStore.js";
import type { WorkerCall } from "./lateCommands.js";
import { createPausableTimers } from "./pausableTimers.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore, type WriteFault } from "./simulatedStore.js";
import { type CallFault, createWorkerConnector } from "./simulatedWorkerClient.js";

export interface TakeoverSimulationOptions {
    random: SeededRandom;
    /** Whether calls have faults now, beside those that are chosen. */
    hasFaults(): boolean;
    isFault(percent: number): boolean;
    isLeaseCallFaulty(): boolean;
    isFailure(): boolean;
    chooseWriteFault(keys: readonly string[]): WriteFault | undefined;
    chooseCallFault(call: WorkerCall): CallFault | undefined;
}

export interface TakeoverSimulation {
    timers: TimerService;
    workers: readonly ModelWorker[];
    /** Each worker is in the zone of one node. */
    zoneOf(worker: ModelWorker): string;
    run(durationMs: number, onTurn: () => void): Promise<void>;
    /** `durationMs` is how long each task runs. */
    submit(jobId: string, steps: StepSpec[], durationMs: number): void;
    jobState(jobId: string): string | undefined;
    /** What is cut off until its time, each with a name from `cuts`. */
    cut(name: string, durationMs: number): void;
    silence(worker: ModelWorker, durationMs: number): void;
    /** The worker's entry is removed, and comes back with the same start time. */
    dropEntry(worker: ModelWorker, durationMs: number): void;
    returnEntry(worker: ModelWorker): void;
    /** The worker ends without a sign, and starts again under its id. */
    restart(worker: ModelWorker, durationMs: number, entryDelayMs: number): void;
    /** The node of the process that has the newest term. */
    ownerNode(): string | undefined;
    /** Ends the process of the node, which may be told to stop some time before; another one starts there after a while. */
    endProcess(nodeName: string, options: { stopMs: number | undefined; returnsAfterMs: number }): void;
    violations: string[];
    /** What the processes decided, what was done to them, and what the workers and the store carried out, one line each. */
    events: string[];
    record(...parts: unknown[]): void;
    counts(): { termsCount: number; startsCount: number; acknowledgedCount: number; snapshotsCount: number; restartsCount: number };
    close(): void;
}

export const nodeNames = ["node0", "node1", "node2"];
export const ownerLeaseMs = 1_800;
export const cuts = {
    store: (nodeName: string): string => `${nodeName} from the store`,
    changes: (nodeName: string): string => `${nodeName} from changes`,
    worker: (nodeName: string, worker: ModelWorker): string => `${nodeName} from ${worker.id}`,
    pause: (nodeName: string): string => `${nodeName} from its processor`,
} as const;

const turnMs = 20;
const firstClockMs = 500_000;
/** Enough for every failure that a history contains. */
const maxAttempts = 1_000;

export function createTakeoverSimulation(options: TakeoverSimulationOptions): TakeoverSimulation {
    const { random } = options;
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, false);
    const violations: string[] = [];
    const events: string[] = [];
    const processes: SimulatedProcess[] = [];
    const memberIds = new Map<SimulatedProcess, string>();
    const endedMembers = new Set<string>();
    const entryChanges: { workerId: string; entry: WorkerEntry | undefined }[] = [];
    const missingEntries = new Set<ModelWorker>();
    const down = new Set<ModelWorker>();
    const silentUntilMs = new Map<ModelWorker, number>();
    /** Until when nodes are cut off from the store, from its changes, or from a worker, and until when they are paused. */
    const cutUntilMs = new Map<string, number>();
    let termsCount = 0;
    let snapshotsCount = 0;
    let restartsCount = 0;
    let nextMemberId = 1;
    let recordedChangesCount = 0;

    const record = (...parts: unknown[]): void => void events.push([timers.nowMs(), ...parts].join("  "));
    const isCut = (key: string): boolean => (cutUntilMs.get(key) ?? 0) > timers.nowMs();
    const cut = (key: string, durationMs: number): void => {
        record("cut", key, `for ${durationMs} ms`);
        cutUntilMs.set(key, timers.nowMs() + durationMs);
    };
    const nodeNameOf = new Map<string, string>();
    const queue = { ...modelPolicy.queues.get("queue")!, maxAttempts };
    const policy: SchedulingPolicy = { ...modelPolicy, queues: new Map([["queue", queue]]) };
    const { workers, ...fleet } = createCheckedWorkers({ random, nowMs: timers.nowMs, isFailure: options.isFailure, violations, record });
    const zones = new Map(workers.map(worker => [worker, random.pick(nodeNames)]));
    const chooseWriteFault = (memberId: string, keys: readonly string[]): WriteFault | undefined => {
        snapshotsCount += keys.some(key => key.startsWith(jobKeys.workerSnapshotPrefix)) ? 1 : 0;
        const fault = options.chooseWriteFault(keys);
        if (fault) {
            const { executedAfterMs, respondedAfterMs } = fault;
            record(memberId, "faulty write of", keys.join(", "), `executed after ${executedAfterMs}, answered after ${respondedAfterMs}`);
        }
        return fault;
    };
    const connectWorker = createWorkerConnector({
        timers,
        random,
        isFault: options.isFault,
        hasFaults: options.hasFaults,
        chooseFault: call => {
            const fault = options.chooseCallFault(call);
            if (fault) {
                const { kind, worker, ownerName, run } = call;
                record(
                    ownerName,
                    "faulty",
                    kind,
                    worker.id,
                    `${run?.taskName} run ${run?.runId}`,
                    `carried out after ${fault.carriedOutAfterMs}`,
                );
            }
            return fault;
        },
        isReachable: (worker, memberId) =>
            !down.has(worker) && (silentUntilMs.get(worker) ?? 0) <= timers.nowMs() && !endedMembers.has(memberId) &&
            !isCut(cuts.worker(nodeNameOf.get(memberId)!, worker)),
        listingDelayMs: () => options.hasFaults() ? random.between(1, 200) : 1,
        isUp: worker => !down.has(worker),
        waitsInFull: true,
    });

    const startProcess = (nodeName: string): void => {
        const memberId = `member${nextMemberId++}`;
        nodeNameOf.set(memberId, nodeName);
        const processTimers = createPausableTimers(timers, () => isCut(cuts.pause(nodeName)));
        // The code of a process that was killed runs on here, so its calls must not get through.
        const isEnded = (): boolean => endedMembers.has(memberId);
        const logger: Logger = {
            flush: () => undefined,
            log: ({ id, text }, fields = {}) => {
                if (!isEnded() && id !== logEvents.schedulingSummarized.id) {
                    const { what = text, ...others } = fields;
                    const values = Object.entries(others).filter(([name, value]) => name !== "jobId" && value !== undefined);
                    record(memberId, what, ...values.map(([name, value]) => `${name}=${String(value)}`));
                }
            },
        };
        let nextEntryChange = entryChanges.length;
        const process = startSimulatedProcess({
            nodeName,
            memberId,
            timers: processTimers,
            random,
            store,
            processStore: processTimers.delayResponses(interruptStore(
                store.connect(options.isLeaseCallFaulty, keys => chooseWriteFault(memberId, keys)),
                timers,
                () => isEnded() || isCut(cuts.store(nodeName)),
            )),
            policy,
            workerEntries: workers.filter(worker => !missingEntries.has(worker)).map(entryOf),
            workerLeaseMs: grantedLeaseMs,
            connectWorker: entry =>
                processTimers.delayResponses(connectWorker(workers.find(worker => worker.id === entry.workerId)!, memberId)),
            logger,
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => termsCount += 1,
        });
        const follow = (): void => {
            if ([cuts.store, cuts.changes, cuts.pause].some(kind => isCut(kind(nodeName)))) {
                return;
            }
            entryChanges.slice(nextEntryChange).forEach(({ workerId, entry }) => process.service.onWorkerChanged(workerId, entry));
            nextEntryChange = entryChanges.length;
            process.follow();
        };
        const followed = { ...process, follow };
        memberIds.set(followed, memberId);
        processes.push(followed);
    };

    const publish = (worker: ModelWorker): void => {
        missingEntries.delete(worker);
        entryChanges.push({ workerId: worker.id, entry: entryOf(worker) });
    };
    const dropEntry = (worker: ModelWorker, durationMs: number): void => {
        if (missingEntries.has(worker) || down.has(worker)) {
            return;
        }
        record(worker.id, "has no entry", `for ${durationMs} ms`);
        missingEntries.add(worker);
        entryChanges.push({ workerId: worker.id, entry: undefined });
        timers.after(durationMs, () => down.has(worker) ? undefined : publish(worker));
    };
    const silence = (worker: ModelWorker, durationMs: number): void => {
        record(worker.id, "is silent", `for ${durationMs} ms`);
        silentUntilMs.set(worker, timers.nowMs() + durationMs);
    };
    const restart = (worker: ModelWorker, durationMs: number, entryDelayMs: number): void => {
        if (down.has(worker)) {
            return;
        }
        record(worker.id, "restarts");
        restartsCount += 1;
        down.add(worker);
        worker.restart();
        worker.leaseEndsAtMs = 0;
        timers.after(durationMs, () => {
            down.delete(worker);
            worker.bornWallMs = timers.wallClockMs();
            worker.clockOffsetMs = firstClockMs - timers.nowMs();
            timers.after(entryDelayMs, () => publish(worker));
        });
    };
    const killProcess = (process: SimulatedProcess, returnsAfterMs: number): void => {
        const index = processes.indexOf(process);
        if (index >= 0) {
            process.lifetime.abort();
            endedMembers.add(memberIds.get(process)!);
            processes.splice(index, 1);
            timers.after(returnsAfterMs, () => startProcess(process.nodeName));
        }
    };
    const endProcess = (nodeName: string, { stopMs, returnsAfterMs }: { stopMs: number | undefined; returnsAfterMs: number }): void => {
        const process = processes.find(each => each.nodeName === nodeName);
        if (!process) {
            return;
        }
        record(nodeName, stopMs === undefined ? "is killed" : "is stopped");
        if (stopMs !== undefined) {
            void process.ownership.release();
        }
        timers.after(stopMs ?? 0, () => killProcess(process, returnsAfterMs));
    };
    const recordChanges = (): void => {
        const changes = store.changes.slice(recordedChangesCount);
        changes.forEach(({ key, value, revision }) => record("store", revision, key, value ?? "deleted"));
        recordedChangesCount += changes.length;
    };
    const submit = (jobId: string, steps: StepSpec[], durationMs: number): void => {
        fleet.setDuration(jobId, durationMs);
        const submittedWallMs = timers.wallClockMs();
        const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs };
        store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
    };
    const run = async (durationMs: number, onTurn: () => void): Promise<void> => {
        const untilMs = timers.nowMs() + durationMs;
        while (timers.nowMs() < untilMs) {
            timers.advance(turnMs);
            onTurn();
            fleet.advance();
            recordChanges();
            processes.forEach(each => each.follow());
            for (let turn = 0; turn < 3; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };

    nodeNames.forEach(startProcess);
    return {
        timers,
        workers,
        zoneOf: worker => zones.get(worker)!,
        run,
        submit,
        jobState: jobId => {
            const progress = store.valueOf(jobKeys.progressPrefix + jobId);
            return progress === undefined ? undefined : decodeProgress(progress).state;
        },
        cut,
        silence,
        dropEntry,
        returnEntry: publish,
        restart,
        ownerNode: () =>
            processes.filter(({ ownership }) => ownership.token() !== undefined)
                .sort((a, b) => b.ownership.token()! - a.ownership.token()!)[0]?.nodeName,
        endProcess,
        violations,
        events,
        record,
        counts: () => ({ termsCount, snapshotsCount, restartsCount, ...fleet.counts() }),
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
