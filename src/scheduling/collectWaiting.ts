/** Collects the steps that wait and may fit on a worker, by pool, for one pass. */
import { isLargeNeed } from "../decisions/chooseReservations.js";
import type { StepOrderInput } from "../decisions/orderSteps.js";
import { deadlineWallMs } from "./jobLateness.js";
import { isFinalState, isStepReady, type JobRecord, type OccurrenceRecord, type StepRecord } from "./jobRecord.js";
import { isServing, noResources, type QueuePolicy, reservedResources, type Resources, type StepSpec } from "./jobTypes.js";
import { isHeldBack } from "./plannedStarts.js";
import { createPoolCandidates, type HeldRooms, type PoolCandidates } from "./poolCandidates.js";
import type { Moment } from "./reconcileListing.js";
import type { SchedulerState } from "./schedulerState.js";
import { findStartObstacle, startObstacles } from "./startObstacle.js";
import { expectedPathMs } from "./taskDurations.js";
import type { WorkerRecord } from "./workerRecord.js";

export interface WaitingStep extends StepOrderInput {
    job: JobRecord;
    step: StepRecord;
    /** Whether only tasks that have been adopted may start. */
    isHeldBack: boolean;
}

/** A pool during a pass: its workers, and the waiting steps that may fit on them. */
export interface PoolPass {
    poolName: string;
    candidates: PoolCandidates;
    /** Whether any step waits for the pool, with or without room for it. */
    hasWaiting: boolean;
    waiting: WaitingStep[];
    /** The waiting steps that capacity may be reserved for, whether or not they fit now; empty unless reservations are switched on. */
    large: WaitingStep[];
    /** The largest capacity of the workers, for each resource by itself; `undefined` unless reservations are switched on. */
    largestCapacity: Resources | undefined;
}

/** A queue, and the pass over its pool. */
interface QueuePass {
    queue: QueuePolicy;
    pool: PoolPass;
}

/** Whether new runs may start on the worker, now or once its ends are acknowledged. */
export function isSchedulable(state: SchedulerState, worker: WorkerRecord, nowMs: number): boolean {
    const obstacle = findStartObstacle(state, worker, nowMs);
    return obstacle === undefined || obstacle === startObstacles.unacknowledged;
}

function createWaitingStep(
    state: SchedulerState,
    job: JobRecord,
    occurrence: OccurrenceRecord,
    step: StepRecord,
    queue: QueuePolicy,
    isJobHeldBack: boolean,
): WaitingStep {
    return {
        job,
        step,
        isHeldBack: isJobHeldBack,
        isLongRunning: isServing(step.spec),
        workMillicoreS: job.workMillicoreS,
        isWithinShare: job.isWithinShare,
        submittedWallMs: occurrence.dueWallMs,
        deadlineWallMs: deadlineWallMs(job, occurrence, queue),
        criticalPathMs: expectedPathMs(state, job, step),
        hasStarted: job.hasStarted,
    };
}

/** Whether a task of the step waits and may start. */
function hasStartableTask(step: StepRecord, isJobHeldBack: boolean): boolean {
    return isJobHeldBack ? !step.spec.isGang && [...step.adopted].some(task => step.waiting.has(task)) : step.waiting.size > 0;
}

function isLarge(spec: StepSpec, { largestCapacity }: PoolPass): boolean {
    return largestCapacity !== undefined && !spec.isFiller &&
        isLargeNeed(spec.request, spec.isGang ? spec.taskCount : 1, largestCapacity);
}

/** Adds the job's steps that wait and may fit on a worker of the pool, and the large ones. */
function collectJob(state: SchedulerState, job: JobRecord, { queue, pool }: QueuePass, moment: Moment): void {
    const { candidates } = pool;
    const hasLarge = pool.largestCapacity !== undefined && job.submission.steps.some(spec => isLarge(spec, pool));
    if (isFinalState(job.state) || (pool.hasWaiting && !hasLarge && !candidates.mayFit(job.smallestNeed))) {
        return;
    }
    const isJobHeldBack = isHeldBack(state, job, moment.nowMs);
    for (const occurrence of job.occurrences.values()) {
        if (occurrence.dueWallMs > moment.wallMs) {
            continue;
        }
        for (const step of occurrence.steps) {
            if (hasStartableTask(step, isJobHeldBack) && isStepReady(occurrence, step)) {
                pool.hasWaiting = true;
                const mayFit = candidates.mayFit(reservedResources(step.spec));
                const isCandidate = hasLarge && isLarge(step.spec, pool);
                if (!mayFit && !isCandidate) {
                    continue;
                }
                const waiting = createWaitingStep(state, job, occurrence, step, queue, isJobHeldBack);
                if (mayFit) {
                    pool.waiting.push(waiting);
                }
                if (isCandidate) {
                    pool.large.push(waiting);
                }
            }
        }
    }
}

function largestCapacity(workers: readonly WorkerRecord[]): Resources {
    const largest = { ...noResources };
    for (const { entry: { capacity } } of workers) {
        largest.cpuMillicores = Math.max(largest.cpuMillicores, capacity.cpuMillicores);
        largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb);
        largest.accelerators = Math.max(largest.accelerators, capacity.accelerators);
    }
    return largest;
}

/** The workers on which new runs may start now, by pool. */
export function schedulableWorkersByPool(state: SchedulerState, nowMs: number): Map<string, WorkerRecord[]> {
    const byPool = new Map<string, WorkerRecord[]>();
    for (const worker of state.workers.values()) {
        if (findStartObstacle(state, worker, nowMs) !== undefined) {
            continue;
        }
        const workers = byPool.get(worker.entry.poolName);
        if (workers) {
            workers.push(worker);
        }
        else {
            byPool.set(worker.entry.poolName, [worker]);
        }
    }
    return byPool;
}

/** Collects the waiting steps by pool, in the order of the first job that waits for each pool. */
export function collectWaiting(state: SchedulerState, moment: Moment, heldRooms: HeldRooms): PoolPass[] {
    const workersByPool = schedulableWorkersByPool(state, moment.nowMs);
    const pools = new Map<string, PoolPass>();
    const queues = new Map<string, QueuePass | undefined>();
    const createQueuePass = (queue: QueuePolicy): QueuePass | undefined => {
        const workers = workersByPool.get(queue.poolName);
        if (!workers) {
            return undefined;
        }
        const pool: PoolPass = pools.get(queue.poolName) ?? {
            poolName: queue.poolName,
            candidates: createPoolCandidates(workers, heldRooms),
            hasWaiting: false,
            waiting: [],
            large: [],
            largestCapacity: state.features.reservations ? largestCapacity(workers) : undefined,
        };
        pools.set(queue.poolName, pool);
        return { queue, pool };
    };
    const ordered: PoolPass[] = [];
    for (const job of state.jobs.values()) {
        const { queueName } = job.submission;
        if (!queues.has(queueName)) {
            const queue = state.policy.queues.get(queueName);
            queues.set(queueName, queue && createQueuePass(queue));
        }
        const queuePass = queues.get(queueName);
        if (!queuePass) {
            continue;
        }
        const hadWaiting = queuePass.pool.hasWaiting;
        collectJob(state, job, queuePass, moment);
        if (!hadWaiting && queuePass.pool.hasWaiting) {
            ordered.push(queuePass.pool);
        }
    }
    return ordered;
}
