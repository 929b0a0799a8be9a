/**
 * A seeded load for the scheduler: queues that surge one after the other to five times their mean, more than their pools hold,
 * beside long-running tasks, on simulated workers that answer in virtual time.
 */
import type { JobSubmission, QueuePolicy, SchedulingPolicy, StepSpec, TeamPolicy } from "../src/scheduling/jobTypes.js";
import type { ListedEnd, ListedRun, Listing } from "../src/scheduling/reconcileListing.js";
import { type RunEnd, runEnds } from "../src/scheduling/schedulerState.js";
import type { WorkerEntry } from "../src/scheduling/workerRecord.js";
import { defaultStep } from "./defaultStep.js";
import { createSeededRandom, type SeededRandom } from "./random.js";

/** Runs callbacks in virtual time, in steps of whole milliseconds. */
export interface VirtualTime {
    nowMs(): number;
    after(delayMs: number, callback: () => void): void;
    /** Makes the callbacks of the next millisecond; `false` if there were none. */
    advance(): boolean;
}

export function createVirtualTime(): VirtualTime {
    const due = new Map<number, (() => void)[]>();
    let currentMs = 0;
    return {
        nowMs: () => currentMs,
        after: (delayMs, callback) => {
            const atMs = currentMs + Math.max(1, Math.round(delayMs));
            const callbacks = due.get(atMs) ?? [];
            due.set(atMs, callbacks);
            callbacks.push(callback);
        },
        advance: () => {
            currentMs += 1;
            const callbacks = due.get(currentMs) ?? [];
            due.delete(currentMs);
            callbacks.forEach(callback => callback());
            return callbacks.length > 0;
        },
    };
}

interface QueueLoad {
    name: string;
    workersCount: number;
    /** Mean rate of jobs with short tasks. */
    jobsPerS: number;
    stepsCount: readonly number[];
    taskMs: number;
    cpuMillicores: number;
    memoryMb: number;
    longRunningJobsCount: number;
}

export const surgeS = 4.5;
const surgeFactor = 5;
const lullFactor = 0.05;
const tasksPerStep = 8;
const tasksPerLongRunningStep = 24;
const workersPerRack = 20;
const teamsCount = 20;
const workerCapacity = { cpuMillicores: 16_000, memoryMb: 65_536, accelerators: 0 };

const small = { stepsCount: [1, 2], taskMs: 640, cpuMillicores: 1_500, memoryMb: 4_400, longRunningJobsCount: 3 };
const large = { stepsCount: [2], taskMs: 1_300, cpuMillicores: 3_300, memoryMb: 6_800, longRunningJobsCount: 3 };
const queueLoads: readonly QueueLoad[] = [
    { name: "first", workersCount: 44, jobsPerS: 20, ...small },
    { name: "second", workersCount: 49, jobsPerS: 4, ...large },
    { name: "third", workersCount: 54, jobsPerS: 25, ...small },
    { name: "fourth", workersCount: 60, jobsPerS: 5, ...large },
];
const sparePool = { name: "spare", workersCount: 39 };

export interface SchedulingLoad {
    policy: SchedulingPolicy;
    workers: WorkerEntry[];
    longRunningJobs: JobSubmission[];
    /** Returns the jobs that arrive within the millisecond. */
    arrivals(nowMs: number): JobSubmission[];
    /** The actual duration of a short task. */
    drawTaskMs(submission: JobSubmission, stepIndex: number): number;
    /** For all that happens on the workers. */
    workRandom: SeededRandom;
}

function createPolicy(scale: number): SchedulingPolicy {
    const queue = (name: string): QueuePolicy => ({
        name,
        poolName: name,
        priority: 0,
        maxAttempts: 3,
        criticalPathFactor: 1.6,
        latencyObjectiveMs: 600,
    });
    const team = (index: number): TeamPolicy => ({
        name: `team-${index}`,
        weight: (index < 3 ? 20 : 4) * scale,
        limit: { cpuMillicores: (index < 3 ? 900_000 : 300_000) * scale, memoryMb: 0, accelerators: 0 },
    });
    const teams = Array.from({ length: teamsCount }, (_, index) => team(index));
    const poolNames = [...queueLoads.map(each => each.name), sparePool.name];
    return {
        version: 1,
        queues: new Map(queueLoads.map(each => [each.name, queue(each.name)])),
        pools: new Map(poolNames.map(name => [name, { name, isStandby: name === sparePool.name }])),
        teams: new Map(teams.map(each => [each.name, each])),
    };
}

function createWorkers(scale: number, sizeFactor: number): WorkerEntry[] {
    const { cpuMillicores, memoryMb } = workerCapacity;
    const capacity = { ...workerCapacity, cpuMillicores: cpuMillicores * sizeFactor, memoryMb: memoryMb * sizeFactor };
    return [...queueLoads, sparePool].flatMap(({ name, workersCount }) =>
        Array.from({ length: Math.round(workersCount * scale) }, (_, index) => ({
            workerId: `${name}-${index}`,
            bornWallMs: 0,
            address: "",
            poolName: name,
            zone: `zone-${index % 3}`,
            rack: `${name}-rack-${Math.floor(index / workersPerRack)}`,
            labels: [],
            capacity,
            isDraining: false,
        }))
    );
}

/** A time in which one team submits many times its usual load, on top of the surges. */
export interface HotTeam {
    fromMs: number;
    untilMs: number;
    /** Jobs of the team, as a multiple of all that arrives otherwise. */
    loadFactor: number;
}

const hotTeamName = "team-0";

/** Load of a queue as a multiple of its mean; `queueIndex` is its place in the order in which the queues surge. */
export type LoadShape = (queueIndex: number, nowMs: number) => number;

/** Each surge begins and ends at once, when that of another queue ends and begins. */
export const abruptSurges: LoadShape = (queueIndex, nowMs) =>
    Math.floor(nowMs / 1000 / surgeS) % queueLoads.length === queueIndex ? surgeFactor : lullFactor;

/** Each surge rises and falls over twice the time, so that those of two queues overlap. */
export const smoothSurges: LoadShape = (queueIndex, nowMs) => {
    const cycleS = queueLoads.length * surgeS;
    const sincePeakS = (nowMs / 1000 - (queueIndex + 0.5) * surgeS + 1.5 * cycleS) % cycleS - cycleS / 2;
    return Math.abs(sincePeakS) >= surgeS ?
        lullFactor :
        lullFactor + (surgeFactor - lullFactor) * Math.cos(Math.PI * sincePeakS / surgeS / 2) ** 2;
};

export interface SchedulingLoadOptions {
    shape?: LoadShape;
    hotTeams?: readonly HotTeam[];
    /** Tasks of each long-running job, each on a worker of its own. */
    longRunningTasksCount?: number;
    /** Size of each worker as a multiple of the usual one. */
    workerSizeFactor?: number;
    /** Largest error of an estimated duration, as a part of it. */
    estimateError?: number;
}

const usualEstimateError = 0.5;

/** Creates the load; `scale` multiplies the workers and the arrival rates. */
export function createSchedulingLoad(seed: number, scale: number, options: SchedulingLoadOptions = {}): SchedulingLoad {
    const { shape = abruptSurges, hotTeams = [], longRunningTasksCount = tasksPerLongRunningStep, workerSizeFactor = 1 } = options;
    const { estimateError = usualEstimateError } = options;
    const random = createSeededRandom(seed);
    // A stream of its own, so that the same jobs arrive whatever is decided.
    const workRandom = createSeededRandom(seed + 1);
    let nextJob = 0;
    const around = (mean: number, source = random, error = 0.5): number => Math.round(mean * (1 + error * (2 * source.unit() - 1)));
    const step = (changes: Partial<StepSpec>): StepSpec => ({ ...defaultStep, ...changes });
    const submission = (queueName: string, steps: readonly StepSpec[], submittedWallMs: number): JobSubmission => ({
        jobId: (nextJob++).toString(16).padStart(16, "0"),
        queueName,
        teamName: `team-${random.unit() < 0.5 ? random.between(0, 2) : random.between(3, teamsCount - 1)}`,
        payload: "x".repeat(150),
        steps,
        repeat: undefined,
        submittedWallMs,
    });
    const shortJob = (load: QueueLoad, nowMs: number): JobSubmission =>
        submission(
            load.name,
            Array.from({ length: random.pick(load.stepsCount) }, (_, index) =>
                step({
                    taskCount: around(tasksPerStep),
                    request: { cpuMillicores: around(load.cpuMillicores), memoryMb: around(load.memoryMb), accelerators: 0 },
                    estimatedDurationMs: around(load.taskMs, random, estimateError),
                    dependsOn: index > 0 ? [index - 1] : [],
                    maxTasksPerWorker: random.unit() < 0.15 ? 2 : undefined,
                })),
            nowMs,
        );
    const longRunningJob = (load: QueueLoad): JobSubmission =>
        submission(
            load.name,
            [step({
                taskCount: longRunningTasksCount,
                request: { cpuMillicores: around(2_000), memoryMb: around(8_000), accelerators: 0 },
                isLongRunning: true,
                maxTasksPerWorker: 1,
                latencyTargetMs: 100,
                maxUnavailable: 3,
            })],
            0,
        );

    return {
        policy: createPolicy(scale),
        workers: createWorkers(scale, workerSizeFactor),
        longRunningJobs: queueLoads.flatMap(load =>
            Array.from({ length: Math.round(load.longRunningJobsCount * scale) }, () => longRunningJob(load))
        ),
        arrivals: nowMs => {
            const hot = hotTeams.find(each => nowMs >= each.fromMs && nowMs < each.untilMs);
            return queueLoads.flatMap((load, index) => {
                const perMs = load.jobsPerS * scale * shape(index, nowMs) / 1000;
                const jobs = random.unit() < perMs ? [shortJob(load, nowMs)] : [];
                return hot && random.unit() < perMs * hot.loadFactor ?
                    [...jobs, { ...shortJob(load, nowMs), teamName: hotTeamName }] :
                    jobs;
            });
        },
        drawTaskMs: ({ queueName }, stepIndex) =>
            around(queueLoads.find(load => load.name === queueName)!.taskMs, workRandom) * (stepIndex === 0 ? 1 : 1.1),
        workRandom,
    };
}

/** A worker that executes starts and stops, and answers listing requests when a run has ended or the wait is over. */
export interface SimulatedWorker {
    /** `durationMs` is `undefined` for a task that runs until it is stopped. */
    start(run: { taskName: string; runId: number }, durationMs: number | undefined): void;
    stop(run: { taskName: string; runId: number }): void;
    list(acknowledgedEndNumber: number, waitMs: number, respond: (listing: Listing) => void): void;
}

const stopDurationMs = 100;
const failureFraction = 0.01;

export function createSimulatedWorker(time: VirtualTime, random: SeededRandom): SimulatedWorker {
    const running = new Map<string, ListedRun>();
    let ends: ListedEnd[] = [];
    let nextEndNumber = 1;
    let openPolls: (() => void)[] = [];

    const end = (taskName: string, runId: number, how: RunEnd): void => {
        const key = `${taskName}#${runId}`;
        if (running.delete(key)) {
            ends.push({ endNumber: nextEndNumber++, taskName, runId, end: how, checkpoint: "" });
            openPolls.splice(0).forEach(respond => respond());
        }
    };

    return {
        start: ({ taskName, runId }, durationMs) => {
            running.set(`${taskName}#${runId}`, { taskName, runId, checkpoint: "", percent: 100, measured: 50 });
            if (durationMs !== undefined) {
                const how = random.unit() < failureFraction ? runEnds.failed : runEnds.done;
                time.after(durationMs, () => end(taskName, runId, how));
            }
        },
        stop: ({ taskName, runId }) => time.after(stopDurationMs, () => end(taskName, runId, runEnds.stopped)),
        list: (acknowledgedEndNumber, waitMs, respond) => {
            ends = ends.filter(each => each.endNumber > acknowledgedEndNumber);
            let isOpen = true;
            const finish = (): void => {
                if (isOpen) {
                    isOpen = false;
                    openPolls = openPolls.filter(each => each !== finish);
                    respond({ bornWallMs: 0, running: [...running.values()], ended: [...ends] });
                }
            };
            if (ends.length > 0 || waitMs === 0) {
                finish();
                return;
            }
            openPolls.push(finish);
            time.after(waitMs, finish);
        },
    };
}
