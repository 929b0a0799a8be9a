/**
 * One job of three tasks on eight workers and several processes, on a simulated clock. Workers are cut off until their runs have lapsed,
 * crash and restart; owners are killed, and the store fails. Records the scheduler's decisions about crashes.
 */
import { createSeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import type { Logger } from "../../src/process/logger.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { decodeProgress, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { interruptStore } from "./interruptedStore.js";
import { jobId, submitJob, taskNameOf, tasksCount } from "./lapsedJob.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { createWorkerConnector } from "./simulatedWorkerClient.js";

export interface LapseSimulationOptions {
    /** How long the tasks run; `undefined` if they run until they are stopped. */
    taskDurationMs: number | undefined;
    /** A worker's entry is removed this long after its last sign of life; `undefined` if it stays. */
    entryLifetimeMs?: number | undefined;
    /** The first task crashes each worker that starts it; the worker's connections end at once, unless it falls silent. */
    isDeadly?: boolean;
    isCrashSilent?: boolean;
    /** The worker that the first task has crashed comes back under another id. */
    returnsAsOther?: boolean;
    /** For how long such a worker is away. */
    crashedDurationMs?: number;
    /** This many starts of the first task do not reach their worker, which is cut off just before. */
    lostStartsCount?: number;
}

export interface LapseSimulation {
    nowMs(): number;
    run(durationMs: number): Promise<void>;
    /** Runs until the condition holds; throws with the decisions if it does not within a minute. */
    runUntil(what: string, holds: () => boolean): Promise<void>;
    submit(): void;
    /** The worker that runs the task, whether or not it is cut off. */
    workerOf(taskIndex: number): ModelWorker | undefined;
    /** How long ago the latest run of the task was started. */
    ageMs(taskIndex: number): number;
    startsCount(taskIndex: number): number;
    /** How many tasks run on workers in touch. */
    atWorkCount(): number;
    jobState(): string | undefined;
    /** No call gets through to the worker and it writes no entry until `reconnect` or `restart`; it runs on. */
    cut(worker: ModelWorker): void;
    reconnect(worker: ModelWorker): void;
    /** Begins another incarnation, which is in touch. */
    restart(worker: ModelWorker): void;
    /** Ends the process that owns the scheduling; another one starts on its node after a while. */
    killOwner(returnsAfterMs: number): void;
    /** All calls to the store fail, and it delivers no changes. */
    cutStore(durationMs: number): void;
    /** The workers that were cut off before a start reached them. */
    lostStarts: ModelWorker[];
    /** What the scheduler decided about crashes, one line each. */
    decisions: string[];
    violations: string[];
    close(): void;
}

const workersCount = 8;
const nodeNames = ["node0", "node1", "node2"];
const turnMs = 20;
const maxWaitMs = 60_000;
const commandTimeoutMs = 500;
const crashDelayMs = 10;
const defaultCrashedDurationMs = 3_200;
const recordedDecisions = new Set([
    "worker crashed under run",
    "worker unresponsive",
    "worker responds again",
    "worker restarted",
    "run lost",
    "give up task",
]);

export function createLapseSimulation(options: LapseSimulationOptions): LapseSimulation {
    const timers = createManualTimerService();
    const random = createSeededRandom(1);
    const store = createSimulatedStore(timers, random, false);
    const decisions: string[] = [];
    const violations: string[] = [];
    const lostStarts: ModelWorker[] = [];
    const processes: SimulatedProcess[] = [];
    const silent = new Set<ModelWorker>();
    const disconnected = new Set<ModelWorker>();
    const unregistered = new Set<ModelWorker>();
    const startsByTask = new Map<string, number>();
    const startedAtMs = new Map<string, number>();
    let storeCutUntilMs = 0;
    let nextMemberId = 1;

    const createDecisionLog = (isEnded: () => boolean): Logger => ({
        flush: () => undefined,
        log: (_, { what, ...fields } = {}) => {
            if (typeof what === "string" && recordedDecisions.has(what) && !isEnded()) {
                const values = Object.entries(fields).filter(([name, value]) => name !== "jobId" && value !== undefined);
                decisions.push([timers.nowMs(), what, ...values.map(([name, value]) => `${name}=${String(value)}`)].join("  "));
            }
        },
    });
    const workers: ModelWorker[] = Array.from({ length: workersCount }, (_, index) => {
        const worker: ModelWorker = createModelWorker(`w${index + 1}`, taskName => {
            if (workers.some(each => each.running.has(taskName))) {
                violations.push(`${taskName} runs twice at ${timers.nowMs()}`);
            }
            startedAtMs.set(taskName, timers.nowMs());
            startsByTask.set(taskName, (startsByTask.get(taskName) ?? 0) + 1);
            if (options.isDeadly && taskName === taskNameOf(0)) {
                timers.after(crashDelayMs, () => crash(worker));
            }
        }, () => undefined);
        return worker;
    });
    const addresses = new Map(workers.map(worker => [worker, `address of ${worker.id}`]));
    const entry = (worker: ModelWorker): WorkerEntry => ({ ...entryOf(worker), address: addresses.get(worker)! });
    const publish = (workerId: string, published: WorkerEntry | undefined): void =>
        processes.forEach(({ service }) => service.onWorkerChanged(workerId, published));

    const cut = (worker: ModelWorker): void => {
        const { id, bornWallMs } = worker;
        silent.add(worker);
        if (options.entryLifetimeMs !== undefined) {
            timers.after(options.entryLifetimeMs, () => {
                if (silent.has(worker) && worker.bornWallMs === bornWallMs) {
                    unregistered.add(worker);
                    publish(id, undefined);
                }
            });
        }
    };
    const reconnect = (worker: ModelWorker): void => {
        silent.delete(worker);
        disconnected.delete(worker);
        unregistered.delete(worker);
        publish(worker.id, entry(worker));
    };
    const restart = (worker: ModelWorker): void => {
        worker.restart();
        worker.bornWallMs = timers.wallClockMs();
        reconnect(worker);
    };
    const crash = (worker: ModelWorker): void => {
        worker.restart();
        cut(worker);
        if (!options.isCrashSilent) {
            disconnected.add(worker);
        }
        timers.after(options.crashedDurationMs ?? defaultCrashedDurationMs, () => {
            if (options.returnsAsOther) {
                publish(worker.id, undefined);
                worker.id = `${worker.id}+`;
            }
            restart(worker);
        });
    };

    const wait = (durationMs: number): Promise<void> => new Promise(resolve => timers.after(durationMs, () => resolve()));
    const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
    const noListing = { ...noResponse, clockMs: undefined, listing: undefined };
    const connect = createWorkerConnector({ timers, random, isFault: () => false, hasFaults: () => false });
    /** The worker as a process reaches it. */
    const connectWorker = ({ workerId, address }: WorkerEntry, isEnded: () => boolean): WorkerClient => {
        const worker = workers.find(each => addresses.get(each) === address)!;
        const client = connect(worker);
        const reach = async <Answer extends object>(call: () => Promise<Answer>, timeoutMs: number, timedOut: Answer): Promise<Answer> => {
            const untilMs = timers.nowMs() + timeoutMs;
            if (!silent.has(worker) && !isEnded()) {
                if (worker.id !== workerId) {
                    await wait(1);
                    return { ...timedOut, outcome: commandOutcomes.otherWorker };
                }
                const answer = await call();
                if (!silent.has(worker)) {
                    return answer;
                }
            }
            const isDisconnected = disconnected.has(worker);
            await wait(isDisconnected ? 1 : untilMs - timers.nowMs());
            return { ...timedOut, isDisconnected };
        };
        return {
            ...client,
            start: order => {
                if (order.taskName === taskNameOf(0) && lostStarts.length < (options.lostStartsCount ?? 0)) {
                    lostStarts.push(worker);
                    cut(worker);
                }
                return reach(() => client.start(order), commandTimeoutMs, noResponse);
            },
            stop: order => reach(() => client.stop(order), commandTimeoutMs, noResponse),
            list: order => reach(() => client.list(order), order.waitMs + commandTimeoutMs, noListing),
        };
    };

    const isStoreCut = (): boolean => timers.nowMs() < storeCutUntilMs;
    const startProcess = (nodeName: string): void => {
        // The code of a process that was killed runs on here, so its calls must not get through.
        let process: SimulatedProcess | undefined = undefined;
        const isEnded = (): boolean => process !== undefined && !processes.includes(process);
        process = startSimulatedProcess({
            nodeName,
            memberId: `member${nextMemberId++}`,
            timers,
            random,
            store,
            processStore: interruptStore(store.connect(() => false), timers, () => isStoreCut() || isEnded()),
            policy: modelPolicy,
            workerEntries: workers.filter(worker => !unregistered.has(worker)).map(entry),
            workerLeaseMs,
            connectWorker: each => connectWorker(each, isEnded),
            logger: createDecisionLog(isEnded),
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => decisions.push(`${timers.nowMs()}  ${nodeName} owns the scheduling`),
        });
        processes.push(process);
    };
    const findOwner = (): SimulatedProcess | undefined => processes.find(({ ownership }) => ownership.isLeaseValid());

    const advanceWorkers = (): void => {
        for (const worker of workers) {
            for (const taskName of [...worker.running.keys()]) {
                if (timers.nowMs() > worker.leaseEndsAtMs) {
                    worker.end(taskName, runEnds.lapsed);
                }
                else if (timers.nowMs() - startedAtMs.get(taskName)! >= (options.taskDurationMs ?? Number.POSITIVE_INFINITY)) {
                    worker.end(taskName, runEnds.done);
                }
            }
        }
    };
    const run = async (durationMs: number): Promise<void> => {
        const untilMs = timers.nowMs() + durationMs;
        while (timers.nowMs() < untilMs) {
            timers.advance(turnMs);
            advanceWorkers();
            if (!isStoreCut()) {
                processes.forEach(each => each.follow());
            }
            for (let turn = 0; turn < 3; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };
    const workerOf = (taskIndex: number): ModelWorker | undefined => workers.find(each => each.running.has(taskNameOf(taskIndex)));

    nodeNames.forEach(startProcess);
    return {
        nowMs: timers.nowMs,
        violations,
        run,
        runUntil: async (what, holds) => {
            const untilMs = timers.nowMs() + maxWaitMs;
            while (!holds()) {
                if (timers.nowMs() >= untilMs) {
                    throw new Error([`not within ${maxWaitMs} ms: ${what}`, ...decisions].join("\n"));
                }
                await run(turnMs);
            }
        },
        submit: () => submitJob(store, options.taskDurationMs === undefined, timers.wallClockMs()),
        workerOf,
        ageMs: taskIndex => timers.nowMs() - (startedAtMs.get(taskNameOf(taskIndex)) ?? timers.nowMs()),
        startsCount: taskIndex => startsByTask.get(taskNameOf(taskIndex)) ?? 0,
        atWorkCount: () =>
            Array.from({ length: tasksCount }, (_, taskIndex) => workerOf(taskIndex))
                .filter(worker => worker && !silent.has(worker)).length,
        jobState: () => {
            const progress = store.valueOf(jobKeys.progressPrefix + jobId);
            return progress === undefined ? undefined : decodeProgress(progress).state;
        },
        cut,
        reconnect,
        restart,
        killOwner: returnsAfterMs => {
            const owner = findOwner();
            if (owner) {
                owner.lifetime.abort();
                processes.splice(processes.indexOf(owner), 1);
                timers.after(returnsAfterMs, () => startProcess(owner.nodeName));
            }
        },
        cutStore: durationMs => {
            storeCutUntilMs = timers.nowMs() + durationMs;
        },
        decisions,
        lostStarts,
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
