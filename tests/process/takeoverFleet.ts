/**
 * Two processes that compete for the scheduling and two pools of workers, on a simulated clock: one pool has waiting work when the owner
 * changes, the other one only runs. For what a new owner owes to workers that it need not hurry to list.
 */
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { createManualTimerService, type TimerService } from "../../src/common/timerService.js";
import { logEvents } from "../../src/process/logEvents.js";
import type { Logger } from "../../src/process/logger.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { SchedulingPolicy, StepSpec } from "../../src/scheduling/jobTypes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { interruptStore } from "./interruptedStore.js";
import { callKinds, type WorkerCall } from "./lateCommands.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { createWorkerConnector } from "./simulatedWorkerClient.js";

export const pools = { waiting: "waiting", running: "running" } as const;
type PoolName = (typeof pools)[keyof typeof pools];

export interface TakeoverFleetOptions {
    workersCount: Record<PoolName, number>;
    /** Whether the call gets lost; nothing else goes wrong. */
    isLost?(call: WorkerCall): boolean;
}

export interface TakeoverFleet {
    timers: TimerService;
    workersOf(poolName: PoolName): ModelWorker[];
    /** Submits a job to the queue of the pool; its tasks do not end by themselves. */
    submit(jobId: string, poolName: PoolName, step: Partial<StepSpec>): void;
    cancel(jobId: string): void;
    /** No call to the workers gets through any more, or all do again. */
    setReachable(workers: readonly ModelWorker[], isReachable: boolean): void;
    /** The store loses the worker's entry. */
    removeEntry(worker: ModelWorker): void;
    run(durationMs: number): Promise<void>;
    runUntil(what: string, holds: () => boolean): Promise<void>;
    /** Ends the owner, so that the other process becomes the owner. */
    killOwner(): Promise<void>;
    /** Whether the owner has stored what it knows of a silent worker. */
    hasSnapshot(worker: ModelWorker): boolean;
    /** Tasks that ended with their leases, and those that ran twice at once. */
    violations: string[];
    events: string[];
    close(): void;
}

const turnMs = 20;
const maxWaitMs = 10_000;
const seed = 1;

export function createTakeoverFleet(options: TakeoverFleetOptions): TakeoverFleet {
    const random = createSeededRandom(seed);
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, false);
    const violations: string[] = [];
    const events: string[] = [];
    const processes: SimulatedProcess[] = [];
    const ended = new Set<string>();
    const unreachable = new Set<ModelWorker>();
    const entryChanges: { workerId: string; entry: WorkerEntry | undefined }[] = [];
    const record = (...parts: unknown[]): void => void events.push([timers.nowMs(), ...parts].join("  "));

    const poolOf = new Map<ModelWorker, PoolName>();
    const addWorkers = (poolName: PoolName): ModelWorker[] =>
        Array.from({ length: options.workersCount[poolName] }, (_, index) => {
            const id = `${poolName}${index}`;
            const worker: ModelWorker = createModelWorker(id, taskName => {
                if (workers.some(each => each.running.has(taskName))) {
                    violations.push(`${taskName} runs twice at ${timers.nowMs()}`);
                }
                record(id, "starts", taskName);
            }, () => undefined);
            worker.clockOffsetMs = 500_000;
            poolOf.set(worker, poolName);
            return worker;
        });
    // The pool with waiting work has the first entries.
    const workers: ModelWorker[] = [...addWorkers(pools.waiting), ...addWorkers(pools.running)];
    const poolEntryOf = (worker: ModelWorker): WorkerEntry => ({ ...entryOf(worker), poolName: poolOf.get(worker)! });
    const queue = modelPolicy.queues.get("queue")!;
    const policy: SchedulingPolicy = {
        ...modelPolicy,
        queues: new Map(Object.values(pools).map(name => [name, { ...queue, name, poolName: name }])),
        pools: new Map(Object.values(pools).map(name => [name, { name, isStandby: false }])),
    };
    const connectWorker = createWorkerConnector({
        timers,
        random,
        isFault: () => false,
        hasFaults: () => false,
        chooseFault: call => !ended.has(call.ownerName) && options.isLost?.(call) ? { carriedOutAfterMs: undefined } : undefined,
        isReachable: (worker, ownerName) => !unreachable.has(worker) && !ended.has(ownerName),
        waitsInFull: true,
    });
    const connect = (worker: ModelWorker, nodeName: string): ReturnType<typeof connectWorker> => {
        const client = connectWorker(worker, nodeName);
        return {
            ...client,
            list: order => {
                if (!ended.has(nodeName)) {
                    record(nodeName, callKinds.list, worker.id, `wait ${order.waitMs}, lease ${order.leaseUntilClockMs !== undefined}`);
                }
                return client.list(order);
            },
        };
    };
    const startProcess = (nodeName: string): void => {
        const logger: Logger = {
            flush: () => undefined,
            log: ({ id, text }, fields = {}) => {
                if (id !== logEvents.schedulingSummarized.id && !ended.has(nodeName)) {
                    record(nodeName, fields["what"] ?? text, JSON.stringify(fields));
                }
            },
        };
        let nextEntryChange = 0;
        const process = startSimulatedProcess({
            nodeName,
            memberId: nodeName,
            timers,
            random,
            store,
            processStore: interruptStore(store.connect(() => false), timers, () => ended.has(nodeName)),
            policy,
            workerEntries: workers.map(poolEntryOf),
            workerLeaseMs: 6_000,
            connectWorker: ({ workerId }) => connect(workers.find(({ id }) => id === workerId)!, nodeName),
            logger,
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => undefined,
        });
        processes.push({
            ...process,
            follow: () => {
                entryChanges.slice(nextEntryChange).forEach(({ workerId, entry }) => process.service.onWorkerChanged(workerId, entry));
                nextEntryChange = entryChanges.length;
                process.follow();
            },
        });
    };
    const lapse = (worker: ModelWorker): void => {
        for (const taskName of [...worker.running.keys()]) {
            worker.end(taskName, runEnds.lapsed);
            violations.push(`the lease of ${taskName} on ${worker.id} lapsed at ${timers.nowMs()}`);
        }
    };
    const run = async (durationMs: number): Promise<void> => {
        const untilMs = timers.nowMs() + durationMs;
        while (timers.nowMs() < untilMs) {
            timers.advance(turnMs);
            workers.filter(({ leaseEndsAtMs }) => timers.nowMs() > leaseEndsAtMs).forEach(lapse);
            processes.forEach(each => each.follow());
            for (let turn = 0; turn < 3; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };
    const runUntil = async (what: string, holds: () => boolean): Promise<void> => {
        const untilMs = timers.nowMs() + maxWaitMs;
        while (!holds()) {
            if (timers.nowMs() >= untilMs) {
                throw new Error([`not within ${maxWaitMs} ms: ${what}`, ...events].join("\n"));
            }
            await run(turnMs);
        }
    };

    ["first", "second"].forEach(startProcess);
    return {
        timers,
        workersOf: poolName => workers.filter(worker => poolOf.get(worker) === poolName),
        submit: (jobId, poolName, step) => {
            const steps = [{ ...defaultStep, ...step }];
            const submission = {
                jobId,
                queueName: poolName,
                teamName: undefined,
                payload: "",
                steps,
                repeat: undefined,
                submittedWallMs: 0,
            };
            store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
        },
        cancel: jobId => store.put(jobKeys.cancellationPrefix + jobId, "{}"),
        setReachable: (changed, isReachable) =>
            changed.forEach(worker => isReachable ? unreachable.delete(worker) : unreachable.add(worker)),
        removeEntry: worker => void entryChanges.push({ workerId: worker.id, entry: undefined }),
        run,
        runUntil,
        killOwner: async () => {
            const index = processes.findIndex(({ ownership }) => ownership.token() !== undefined);
            const [owner] = processes.splice(index, 1);
            owner!.lifetime.abort();
            ended.add(owner!.nodeName);
            record(owner!.nodeName, "is killed");
            await runUntil("the other process is the owner", () => processes[0]!.service.scheduler() !== undefined);
        },
        hasSnapshot: ({ id }) => (store.valueOf(jobKeys.workerSnapshotPrefix + id) ?? "") !== "",
        violations,
        events,
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
