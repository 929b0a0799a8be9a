/** Describes the load of each pool to the prediction of starts, from the scheduler's state. */
import { latenessClass } from "../decisions/orderSteps.js";
import type { FluidWork, PoolLoad } from "../decisions/predictStarts.js";
import type { Resources } from "../decisions/resources.js";
import { isSchedulable } from "../scheduling/collectWaiting.js";
import { isFinalState, isStepReady, type JobRecord, type OccurrenceRecord, type StepRecord } from "../scheduling/jobRecord.js";
import { noResources, type QueuePolicy } from "../scheduling/jobTypes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { findStep, type SchedulerState } from "../scheduling/schedulerState.js";
import { isWithinTeamLimit } from "../scheduling/teamUsage.js";
import { freeResources } from "../scheduling/workerRoom.js";

export interface DescribedPool extends Pick<PoolLoad, "queues" | "cpuMillicores" | "running" | "waiting"> {
    poolName: string;
    /** The most that any worker has left, for each resource by itself. */
    room: Resources;
    /** Whether work that still has value waits for workers. */
    isFull: boolean;
    /** Whether enough workers respond that the room is known. */
    isKnown: boolean;
}

export interface DescribedPools {
    /** Without pools in standby. */
    pools: readonly DescribedPool[];
    /** Teams of which work waits because of their own limits, whatever the pools have free. */
    teamsAtLimit: ReadonlySet<string>;
}

interface MutablePool extends DescribedPool {
    queues: { queueName: string; priority: number }[];
    running: { cpuMillicores: number; remainingMs: number }[];
    waiting: FluidWork[];
    workersCount: number;
    schedulableCount: number;
}

/** Below this part of workers that respond, nothing is said about a pool: after a takeover, the others may have room. */
const knownWorkersPart = 0.5;

export function objectiveMsOf(queue: QueuePolicy, criticalPathMs: number): number {
    return queue.criticalPathFactor * criticalPathMs + queue.latencyObjectiveMs;
}

/** Work of the step's tasks that have not been started. */
function unstartedWork({ spec, done, runs }: StepRecord): number {
    const count = Math.max(0, spec.taskCount - done.size - runs.size);
    return count * spec.request.cpuMillicores * spec.estimatedDurationMs / 1_000;
}

function describeWaiting(
    state: SchedulerState,
    job: JobRecord,
    occurrence: OccurrenceRecord,
    queue: QueuePolicy,
    wallMs: number,
    teamsAtLimit: Set<string>,
): { work: FluidWork; isWaiting: boolean } | undefined {
    const { teamName, queueName } = job.submission;
    const steps = occurrence.steps.filter(({ spec }) => !spec.isLongRunning && !spec.isFiller);
    const ready = steps.filter(step => step.waiting.size > 0 && isStepReady(occurrence, step));
    if (teamName !== undefined && ready.some(step => !isWithinTeamLimit(state, teamName, step.spec.request))) {
        teamsAtLimit.add(teamName);
        return undefined;
    }
    const leftMillicoreS = steps.reduce((sum, step) => sum + unstartedWork(step), 0);
    if (leftMillicoreS <= 0) {
        return undefined;
    }
    const left = ready.length > 0 ? ready : steps.filter(step => unstartedWork(step) > 0);
    const work: FluidWork = {
        queueName,
        isWithinShare: job.isWithinShare,
        hasStarted: job.hasStarted,
        jobWorkMillicoreS: job.workMillicoreS,
        leftMillicoreS,
        submittedMs: occurrence.dueWallMs - wallMs,
        objectiveMs: objectiveMsOf(queue, job.criticalPathMs),
        criticalPathMs: Math.max(...left.map(step => step.criticalPathMs)),
    };
    return { work, isWaiting: ready.length > 0 };
}

/** Adds the waiting work to the pools; returns the teams that are at their limits. */
function addWaiting(state: SchedulerState, pools: Map<string, MutablePool>, wallMs: number): Set<string> {
    const teamsAtLimit = new Set<string>();
    for (const job of state.jobs.values()) {
        const queue = state.policy.queues.get(job.submission.queueName);
        const pool = queue && pools.get(queue.poolName);
        if (!queue || !pool || isFinalState(job.state)) {
            continue;
        }
        for (const occurrence of job.occurrences.values()) {
            const described = occurrence.dueWallMs <= wallMs ?
                describeWaiting(state, job, occurrence, queue, wallMs, teamsAtLimit) :
                undefined;
            if (described) {
                const { work, isWaiting } = described;
                pool.waiting.push(work);
                const { submittedMs, objectiveMs, criticalPathMs } = work;
                const order = { submittedWallMs: submittedMs, deadlineWallMs: submittedMs + objectiveMs, criticalPathMs };
                pool.isFull ||= isWaiting && latenessClass(order, 0) < 2;
            }
        }
    }
    return teamsAtLimit;
}

function addWorkers(state: SchedulerState, pools: Map<string, MutablePool>, nowMs: number): void {
    for (const worker of state.workers.values()) {
        const pool = pools.get(worker.entry.poolName);
        if (!pool || !worker.isRegistered || worker.hasEnded) {
            continue;
        }
        pool.workersCount += 1;
        if (isSchedulable(state, worker, nowMs)) {
            pool.schedulableCount += 1;
            const free = freeResources(worker);
            pool.room.cpuMillicores = Math.max(pool.room.cpuMillicores, free.cpuMillicores);
            pool.room.memoryMb = Math.max(pool.room.memoryMb, free.memoryMb);
            pool.room.accelerators = Math.max(pool.room.accelerators, free.accelerators);
        }
        if (worker.isCordoned || worker.entry.isDraining) {
            continue;
        }
        // Workers that do not respond count too: what they can do again soon is not refused.
        pool.cpuMillicores += worker.entry.capacity.cpuMillicores;
        for (const run of worker.runs.values()) {
            const { cpuMillicores } = run.reserved;
            const estimatedMs = findStep(state, run)?.spec.estimatedDurationMs ?? 0;
            if (run.isServing) {
                pool.cpuMillicores -= cpuMillicores;
            }
            else {
                pool.running.push({ cpuMillicores, remainingMs: Math.max(0, estimatedMs - (nowMs - run.startedAtMs)) });
            }
        }
    }
}

export function describePools(state: SchedulerState, { nowMs, wallMs }: Moment): DescribedPools {
    const pools = new Map<string, MutablePool>();
    for (const { name, isStandby } of state.policy.pools.values()) {
        if (!isStandby) {
            pools.set(name, {
                poolName: name,
                queues: [],
                cpuMillicores: 0,
                running: [],
                waiting: [],
                room: { ...noResources },
                isFull: false,
                isKnown: false,
                workersCount: 0,
                schedulableCount: 0,
            });
        }
    }
    for (const { name, poolName, priority } of state.policy.queues.values()) {
        pools.get(poolName)?.queues.push({ queueName: name, priority });
    }
    addWorkers(state, pools, nowMs);
    const teamsAtLimit = addWaiting(state, pools, wallMs);
    for (const pool of pools.values()) {
        pool.isKnown = pool.schedulableCount > 0 && pool.schedulableCount >= knownWorkersPart * pool.workersCount;
    }
    return { pools: [...pools.values()], teamsAtLimit };
}
