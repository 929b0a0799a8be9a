/**
 * A queue of many short tasks at its peak while the process that owns the scheduling is killed, in virtual time. The next owner has the
 * store's copy of the jobs and hundreds of workers of which it knows nothing. Its processor is just enough for the load.
 */
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { createSimulatedWorker, createVirtualTime, type SimulatedWorker } from "../../harness/schedulingLoad.js";
import type { ListResponse, OrderResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates, type QueuePolicy, type SchedulingPolicy, type StepSpec } from "../../src/scheduling/jobTypes.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { createBusyProcess } from "./busyProcess.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";

export interface TakeoverLoadOptions {
    seed: number;
    /** When the owner is killed; the next one starts once the lease of the ownership has ended. */
    killedAtMs: number;
    untilMs: number;
    /** Part of the workers that cannot be reached any more then. */
    lostPart: number;
    /** Workers that have left in the seconds before, as VMs do that move to another pool; their addresses refuse connections. */
    departedCount: number;
}

export interface TakeoverLoadResult {
    /** When the next owner's term began. */
    takenOverAtMs: number;
    /** Submission and completion of each job. */
    jobs: { submittedAtMs: number; completedAtMs: number | undefined; objectiveMs: number }[];
    /** Starts that reached workers, by whole seconds since the takeover. */
    startsPerS: number[];
}

const poolWorkersCount = 120;
/** Workers of other pools, each with one task that lasts. */
const otherWorkersCount = 120;
const jobsPerS = 55;
const tasksPerStep = 8;
const taskMs = 640;
const lastingTaskMs = 1_000_000;
const linkMs = 2;
const callTimeoutMs = 500;
const criticalPathFactor = 1.6;
const latencyObjectiveMs = 600;
const workerLeaseMs = 6_000;
const capacity = { cpuMillicores: 16_000, memoryMb: 65_536, accelerators: 0 };
/** A listing costs twice as much as a start. */
const callCosts = { startMs: 0.4, listingMs: 0.8 };

const poolNames = ["short", "lasting"];
const queueOf = (name: string): QueuePolicy => ({
    name,
    poolName: name,
    priority: 0,
    maxAttempts: 3,
    criticalPathFactor,
    latencyObjectiveMs,
});
const policy: SchedulingPolicy = {
    version: 1,
    queues: new Map(poolNames.map(name => [name, queueOf(name)])),
    pools: new Map(poolNames.map(name => [name, { name, isStandby: false }])),
    teams: new Map(),
};

const silent = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false };

export async function playTakeoverLoad(options: TakeoverLoadOptions): Promise<TakeoverLoadResult> {
    const time = createVirtualTime();
    const random = createSeededRandom(options.seed);
    const idle = createBusyProcess(time, { startMs: 0, listingMs: 0 });
    const store = createSimulatedStore(idle.timers, random, false);
    const wait = (delayMs: number): Promise<void> => new Promise(resolve => time.after(delayMs, resolve));

    const entries = poolNames.flatMap(poolName =>
        Array.from({ length: poolName === "short" ? poolWorkersCount : otherWorkersCount }, (_, index): WorkerEntry => ({
            workerId: `${poolName}-${index}`,
            bornWallMs: 0,
            address: `${poolName}-${index}`,
            poolName,
            zone: "zone",
            rack: `${poolName}-${index % 10}`,
            labels: [],
            capacity,
            isDraining: false,
        }))
    );
    const departed = Array.from(
        { length: options.departedCount },
        (_, index) => ({ ...entries[0]!, workerId: `departed-${index}`, address: `departed-${index}` }),
    );
    const workers = new Map(entries.map(({ workerId }): [string, SimulatedWorker] => [workerId, createSimulatedWorker(time, random)]));
    const isLost = (workerId: string): boolean =>
        time.nowMs() >= options.killedAtMs && entries.findIndex(entry => entry.workerId === workerId) % 100 < options.lostPart * 100;
    const tokens = new Map<string, number>();
    const jobs = new Map<
        string,
        { submittedAtMs: number; completedAtMs: number | undefined; objectiveMs: number; durationsMs: number[][] }
    >();
    const startsPerS: number[] = [];
    let takenOverAtMs = Number.POSITIVE_INFINITY;

    const countStart = (): void => {
        const second = Math.floor((time.nowMs() - takenOverAtMs) / 1000);
        if (second >= 0) {
            startsPerS[second] = (startsPerS[second] ?? 0) + 1;
        }
    };
    const durationOf = (taskName: string): number => {
        const [jobId, , step, task] = taskName.split(".");
        return jobs.get(jobId!)?.durationsMs[Number(step)]![Number(task)] ?? lastingTaskMs;
    };
    const connectDeparted = (): WorkerClient => {
        const refuse = async (): Promise<ListResponse> => {
            await wait(2 * linkMs);
            return { outcome: commandOutcomes.refused, reason: "ECONNREFUSED", isFenced: false, isDisconnected: true, listing: undefined };
        };
        return { start: refuse, stop: refuse, setPace: refuse, list: refuse, close: () => undefined };
    };
    const connect = (workerId: string): WorkerClient => {
        const isFenced = (token: number): boolean => {
            tokens.set(workerId, Math.max(tokens.get(workerId) ?? 0, token));
            return token < tokens.get(workerId)!;
        };
        const worker = workers.get(workerId)!;
        const order = async (token: number, execute: () => void): Promise<OrderResponse> => {
            if (isLost(workerId)) {
                await wait(callTimeoutMs);
                return silent;
            }
            await wait(linkMs);
            const isRefused = isFenced(token);
            if (!isRefused) {
                execute();
            }
            await wait(linkMs);
            return {
                ...accepted,
                outcome: isRefused ? commandOutcomes.refused : accepted.outcome,
                isFenced: isRefused,
                clockMs: time.nowMs(),
            };
        };
        return {
            start: ({ taskName, runId, token }) =>
                order(token, () => {
                    countStart();
                    worker.start({ taskName, runId }, durationOf(taskName));
                }),
            stop: ({ taskName, runId, token }) => order(token, () => worker.stop({ taskName, runId })),
            setPace: () => Promise.resolve(accepted),
            list: async ({ token, acknowledgedEndNumber, waitMs }): Promise<ListResponse> => {
                if (isLost(workerId)) {
                    await wait(waitMs + callTimeoutMs);
                    return { ...silent, listing: undefined };
                }
                await wait(linkMs);
                if (isFenced(token)) {
                    return { ...accepted, outcome: commandOutcomes.refused, isFenced: true, listing: undefined };
                }
                const listing = await new Promise<ListResponse["listing"]>(resolve => worker.list(acknowledgedEndNumber, waitMs, resolve));
                if (isLost(workerId)) {
                    await wait(callTimeoutMs);
                    return { ...silent, listing: undefined };
                }
                await wait(linkMs);
                return { ...accepted, clockMs: time.nowMs(), listing };
            },
            close: () => undefined,
        };
    };
    const start = (name: string): SimulatedProcess & { kill(): void } => {
        const { timers, charge, kill } = createBusyProcess(time, callCosts);
        const process = startSimulatedProcess({
            ...{ nodeName: name, memberId: name, timers, random, store, policy, workerLeaseMs },
            processStore: store.connect(() => false),
            workerEntries: [...entries, ...departed],
            connectWorker: ({ workerId }) => charge(workers.has(workerId) ? connect(workerId) : connectDeparted()),
            onUnreadable: (key, reason) => {
                throw new Error(`${key}: ${reason}`);
            },
            onTermStarted: () => takenOverAtMs = name === "former" ? takenOverAtMs : time.nowMs(),
        });
        departed.forEach(({ workerId }) => process.service.onWorkerChanged(workerId, undefined));
        return { ...process, kill };
    };

    let nextJob = 0;
    const submit = (queueName: string, steps: StepSpec[]): void => {
        const jobId = (nextJob++).toString(16).padStart(16, "0");
        if (queueName === "short") {
            const durationsMs = steps.map(({ taskCount }) =>
                Array.from({ length: taskCount }, () => random.between(taskMs / 2, taskMs * 1.5))
            );
            const chainMs = durationsMs.reduce((sum, some) => sum + Math.max(...some), 0);
            const objectiveMs = criticalPathFactor * chainMs + latencyObjectiveMs;
            jobs.set(jobId, { submittedAtMs: time.nowMs(), completedAtMs: undefined, objectiveMs, durationsMs });
        }
        const submittedWallMs = time.nowMs();
        const submission = { jobId, queueName, teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs };
        store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
    };
    const submitShort = (): void =>
        submit(
            "short",
            Array.from({ length: random.between(1, 2) }, (_, index) => ({
                ...defaultStep,
                taskCount: random.between(tasksPerStep / 2, tasksPerStep * 1.5),
                request: { cpuMillicores: 1_500, memoryMb: 4_400, accelerators: 0 },
                estimatedDurationMs: taskMs,
                dependsOn: index > 0 ? [index - 1] : [],
            })),
        );

    submit("lasting", [{ ...defaultStep, taskCount: otherWorkersCount, isLongRunning: true, maxTasksPerWorker: 1 }]);
    const processes = [start("former")];
    let seenChanges = 0;
    while (time.nowMs() < options.untilMs) {
        time.advance();
        if (random.unit() < jobsPerS / 1000) {
            submitShort();
        }
        if (time.nowMs() === options.killedAtMs) {
            const former = processes.splice(0)[0]!;
            former.kill();
            former.lifetime.abort();
            processes.push(start("next"));
        }
        for (const { key, value } of store.changes.slice(seenChanges)) {
            const job = key.startsWith(jobKeys.progressPrefix) ? jobs.get(key.slice(jobKeys.progressPrefix.length)) : undefined;
            if (job && value !== undefined && decodeProgress(value).state === jobStates.completed) {
                job.completedAtMs ??= time.nowMs();
            }
        }
        seenChanges = store.changes.length;
        processes.forEach(each => each.follow());
        await new Promise(resolve => setImmediate(resolve));
    }
    processes.forEach(({ lifetime }) => lifetime.abort());
    return { takenOverAtMs, jobs: [...jobs.values()], startsPerS };
}
