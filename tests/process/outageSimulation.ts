/**
 * Long-running tasks on four workers while workers, owners and the paths between them fail, on a simulated clock. Records how long
 * each task has no run.
 */
import { defaultStep } from "../../harness/defaultStep.js";
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { formatTaskName } from "../../src/scheduling/taskNames.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { interruptStore } from "./interruptedStore.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";

export interface OutageSimulation {
    nowMs(): number;
    run(durationMs: number): Promise<void>;
    /** Ends the worker's process. It stays away, or a new incarnation starts after a while. */
    crashWorker(index: number, returnsAfterMs?: number): void;
    /** Cuts the worker off from the store, and from one node or all; it runs on. */
    cutWorker(index: number, durationMs: number, nodeName?: string): void;
    /** Ends the process that owns the scheduling. It stays away, or another one starts on its node after a while. */
    killOwner(returnsAfterMs?: number): void;
    /** As `killOwner`, after a request to stop. */
    stopOwner(returnsAfterMs: number): void;
    /** Cuts the owner off from the store; it still reaches the workers. */
    cutOwner(durationMs: number): void;
    loseAnswers(durationMs: number): void;
    /** Ends a run of a random task as failed. */
    failTask(): void;
    /** For each task, for how long it has no run now; 0 if it has one. */
    idleMsByTask(): ReadonlyMap<string, number>;
    violations: string[];
    termsCount(): number;
    close(): void;
}

const turnMs = 20;
const nodeNames = ["node0", "node1", "node2"];
const jobIds = ["job0", "job1"];
const tasksPerJob = 3;
const commandTimeoutMs = 500;
/** A worker's entry is removed this long after its last sign of life. */
const entryLifetimeMs = 2_000;
const lostAnswerPercent = 30;

export function createOutageSimulation(random: SeededRandom, workerLeaseMs: number): OutageSimulation {
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, false);
    const violations: string[] = [];
    const processes: SimulatedProcess[] = [];
    const crashed = new Set<ModelWorker>();
    const unregistered = new Set<ModelWorker>();
    /** Until when a path is cut, by worker and node, or by node alone for its path to the store. */
    const cutUntilMs = new Map<string, number>();
    let answersLostUntilMs = 0;
    let termsCount = 0;
    let nextMemberId = 1;
    const taskNames = jobIds.flatMap(jobId => Array.from({ length: tasksPerJob }, (_, task) => formatTaskName(jobId, 0, 0, task)));
    const lastRunAtMs = new Map<string, number>();

    const workers: ModelWorker[] = ["w1", "w2", "w3", "w4"].map(id =>
        createModelWorker(id, taskName => {
            if (workers.some(each => each.running.has(taskName))) {
                violations.push(`${taskName} runs twice at ${timers.nowMs()}`);
            }
        }, () => undefined)
    );
    const wait = (durationMs: number): Promise<void> => new Promise(resolve => timers.after(durationMs, () => resolve()));
    const isCut = (path: string): boolean => (cutUntilMs.get(path) ?? 0) > timers.nowMs();
    const isReachable = (worker: ModelWorker, nodeName: string): boolean => !crashed.has(worker) && !isCut(`${worker.id} ${nodeName}`);
    const isAnswerLost = (): boolean => answersLostUntilMs > timers.nowMs() && random.between(1, 100) <= lostAnswerPercent;

    const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
    const order = async (nodeName: string, token: number, worker: ModelWorker, execute: () => boolean): Promise<OrderResponse> => {
        if (!isReachable(worker, nodeName) || isAnswerLost()) {
            await wait(commandTimeoutMs);
            return noResponse;
        }
        const { bornWallMs } = worker;
        await wait(random.between(1, 5));
        if (worker.bornWallMs !== bornWallMs || !isReachable(worker, nodeName)) {
            return noResponse;
        }
        const isFenced = token < worker.highestToken;
        const isAccepted = execute();
        return { outcome: isAccepted ? commandOutcomes.accepted : commandOutcomes.refused, reason: "", isFenced };
    };
    const list = async (nodeName: string, worker: ModelWorker, request: ListOrder): Promise<ListResponse> => {
        const { token, acknowledgedEndNumber, leaseUntilClockMs, waitMs } = request;
        const noListing = { isFenced: false, clockMs: undefined, listing: undefined };
        const untilMs = timers.nowMs() + waitMs;
        const timeOut = async (): Promise<ListResponse> => {
            await wait(untilMs + commandTimeoutMs - timers.nowMs());
            return { ...noResponse, ...noListing };
        };
        if (!isReachable(worker, nodeName) || isAnswerLost()) {
            return timeOut();
        }
        if (token < worker.highestToken) {
            return { outcome: commandOutcomes.refused, reason: "fence", ...noListing, isFenced: true };
        }
        const { bornWallMs } = worker;
        worker.highestToken = token;
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledgedEndNumber);
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, Math.min(leaseUntilClockMs ?? 0, timers.nowMs() + workerLeaseMs));
        while (timers.nowMs() < untilMs && worker.ends.length === 0) {
            await wait(turnMs);
        }
        if (worker.bornWallMs !== bornWallMs || !isReachable(worker, nodeName)) {
            return timeOut();
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        const listing = { bornWallMs, running, ended: [...worker.ends] };
        return { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: timers.nowMs(), listing };
    };
    const connectWorker = (nodeName: string, worker: ModelWorker): WorkerClient => ({
        start: ({ taskName, runId, token, validUntilClockMs }) =>
            order(nodeName, token, worker, () => worker.start({ taskName, runId, token, untilMs: validUntilClockMs }, timers.nowMs())),
        stop: ({ taskName, runId, token }) => order(nodeName, token, worker, () => worker.stop({ taskName, runId, token })),
        setPace: () => Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false }),
        list: request => list(nodeName, worker, request),
        close: () => undefined,
    });

    const startProcess = (nodeName: string): void => {
        processes.push(startSimulatedProcess({
            nodeName,
            memberId: `member${nextMemberId++}`,
            timers,
            random,
            store,
            processStore: interruptStore(store.connect(() => false), timers, () => isCut(nodeName)),
            policy: modelPolicy,
            workerEntries: workers.filter(worker => !unregistered.has(worker)).map(entryOf),
            workerLeaseMs,
            connectWorker: entry => connectWorker(nodeName, workers.find(worker => worker.id === entry.workerId)!),
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => termsCount += 1,
        }));
    };
    const endProcess = (process: SimulatedProcess, returnsAfterMs: number | undefined): void => {
        process.lifetime.abort();
        processes.splice(processes.indexOf(process), 1);
        if (returnsAfterMs !== undefined) {
            timers.after(returnsAfterMs, () => startProcess(process.nodeName));
        }
    };
    const findOwner = (): SimulatedProcess | undefined => processes.find(({ ownership }) => ownership.isLeaseValid());

    const unregister = (worker: ModelWorker): void => {
        unregistered.add(worker);
        processes.forEach(({ service }) => service.onWorkerChanged(worker.id, undefined));
    };
    const register = (worker: ModelWorker): void => {
        unregistered.delete(worker);
        processes.forEach(({ service }) => service.onWorkerChanged(worker.id, entryOf(worker)));
    };

    const expireRuns = (): void => {
        for (const worker of workers) {
            if (timers.nowMs() > worker.leaseEndsAtMs) {
                [...worker.running.keys()].forEach(taskName => worker.end(taskName, runEnds.lapsed));
            }
            worker.running.forEach((_, taskName) => lastRunAtMs.set(taskName, timers.nowMs()));
        }
    };
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 3; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };

    for (const jobId of jobIds) {
        const steps = [{
            ...defaultStep,
            taskCount: tasksPerJob,
            isLongRunning: true,
            request: { ...defaultStep.request, cpuMillicores: 100 },
        }];
        const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs: 0 };
        store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
    }
    nodeNames.forEach(startProcess);

    return {
        nowMs: timers.nowMs,
        violations,
        termsCount: () => termsCount,
        run: async durationMs => {
            const untilMs = timers.nowMs() + durationMs;
            while (timers.nowMs() < untilMs) {
                timers.advance(turnMs);
                expireRuns();
                processes.filter(({ nodeName }) => !isCut(nodeName)).forEach(each => each.follow());
                await settle();
            }
        },
        crashWorker: (index, returnsAfterMs) => {
            const worker = workers[index]!;
            worker.restart();
            worker.bornWallMs = timers.wallClockMs();
            crashed.add(worker);
            timers.after(entryLifetimeMs, () => crashed.has(worker) && unregister(worker));
            if (returnsAfterMs !== undefined) {
                timers.after(returnsAfterMs, () => {
                    worker.bornWallMs = timers.wallClockMs();
                    crashed.delete(worker);
                    register(worker);
                });
            }
        },
        cutWorker: (index, durationMs, nodeName) => {
            const worker = workers[index]!;
            (nodeName === undefined ? nodeNames : [nodeName]).forEach(each =>
                cutUntilMs.set(`${worker.id} ${each}`, timers.nowMs() + durationMs)
            );
            if (durationMs > entryLifetimeMs) {
                timers.after(entryLifetimeMs, () => unregister(worker));
                timers.after(durationMs, () => crashed.has(worker) || register(worker));
            }
        },
        killOwner: returnsAfterMs => {
            const owner = findOwner();
            if (owner) {
                endProcess(owner, returnsAfterMs);
            }
        },
        stopOwner: returnsAfterMs => {
            const owner = findOwner();
            if (owner) {
                void owner.ownership.release();
                timers.after(300, () => endProcess(owner, returnsAfterMs));
            }
        },
        cutOwner: durationMs => {
            const owner = findOwner();
            if (owner) {
                cutUntilMs.set(owner.nodeName, timers.nowMs() + durationMs);
            }
        },
        loseAnswers: durationMs => {
            answersLostUntilMs = timers.nowMs() + durationMs;
        },
        failTask: () => {
            const worker = workers.find(each => each.running.size > 0);
            if (worker) {
                worker.end(random.pick([...worker.running.keys()]), runEnds.failed);
            }
        },
        idleMsByTask: () => new Map(taskNames.map(taskName => [taskName, timers.nowMs() - (lastRunAtMs.get(taskName) ?? 0)])),
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
