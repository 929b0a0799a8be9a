/** Assigns waiting tasks to workers, in one pass over all pools. */
import { orderSteps, type StepOrderInput } from "../decisions/orderSteps.js";
import { placeTask } from "../decisions/placeTask.js";
import { type Suspicion, suspicionOf, suspicions } from "./crashCounts.js";
import { mayHoldGang } from "./gangRoom.js";
import { deadlineWallMs } from "./jobLateness.js";
import { countCrashes, isFinalState, isStepReady, type JobRecord, type OccurrenceRecord, type StepRecord } from "./jobRecord.js";
import { isServing, type QueuePolicy, reservedResources, type Resources } from "./jobTypes.js";
import { cancelStaleStarts, isFencedByNewerOwner, isHeldBack, sendPersistedStarts } from "./plannedStarts.js";
import { type Candidate, createPoolCandidates, hasRoom, maxUnansweredStarts, type PoolCandidates } from "./poolCandidates.js";
import { updatePossibleTeamUsage } from "./possibleTeamUsage.js";
import type { Moment } from "./reconcileListing.js";
import { runNeeds } from "./runNeeds.js";
import { attachRun, detachRun, nextRunId, type SchedulerState } from "./schedulerState.js";
import { formatTaskName } from "./taskNames.js";
import { isWithinTeamLimit } from "./teamUsage.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import { mayStartBeside } from "./workerCrashes.js";
import { createRun, type Run, type WorkerRecord } from "./workerRecord.js";

interface WaitingStep extends StepOrderInput {
    job: JobRecord;
    step: StepRecord;
    /** Whether only tasks that have been adopted may start. */
    isHeldBack: boolean;
}

/** A pool during a pass: its workers, and the waiting steps that may fit on them. */
interface PoolPass {
    candidates: PoolCandidates;
    /** Whether any step waits for the pool, with or without room for it. */
    hasWaiting: boolean;
    waiting: WaitingStep[];
}

/** A queue, and the pass over its pool. */
interface QueuePass {
    queue: QueuePolicy;
    pool: PoolPass;
}

/** A worker gets no new runs once its last response is older than this; listings are answered within two seconds. */
export const responseTimeoutMs = 2_500;

/** Whether new runs may start on the worker now. */
function isSchedulable(state: SchedulerState, worker: WorkerRecord, nowMs: number): boolean {
    return worker.isRegistered && isFencedByNewerOwner(state, worker) && worker.snapshotState === snapshotStates.none &&
        !worker.entry.isDraining && !worker.hasEnded &&
        !worker.isCordoned &&
        worker.avoidedUntilMs <= nowMs && worker.lastResponseAtMs !== undefined && nowMs - worker.lastResponseAtMs < responseTimeoutMs;
}

function createWaitingStep(
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
        criticalPathMs: step.criticalPathMs,
        hasStarted: job.hasStarted,
    };
}

/** Whether a task of the step waits and may start. */
function hasStartableTask(step: StepRecord, isJobHeldBack: boolean): boolean {
    return isJobHeldBack ? !step.spec.isGang && [...step.adopted].some(task => step.waiting.has(task)) : step.waiting.size > 0;
}

/** Adds the job's steps that wait and may fit on a worker of the pool. */
function collectJob(state: SchedulerState, job: JobRecord, { queue, pool }: QueuePass, moment: Moment): void {
    const { candidates } = pool;
    if (isFinalState(job.state) || (pool.hasWaiting && !candidates.mayFit(job.smallestNeed))) {
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
                if (candidates.mayFit(reservedResources(step.spec))) {
                    pool.waiting.push(createWaitingStep(job, occurrence, step, queue, isJobHeldBack));
                }
            }
        }
    }
}
function groupByPool(state: SchedulerState, nowMs: number): Map<string, WorkerRecord[]> {
    const byPool = new Map<string, WorkerRecord[]>();
    for (const worker of state.workers.values()) {
        if (!isSchedulable(state, worker, nowMs)) {
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
function collectWaiting(state: SchedulerState, moment: Moment): PoolPass[] {
    const workersByPool = groupByPool(state, moment.nowMs);
    const pools = new Map<string, PoolPass>();
    const queues = new Map<string, QueuePass | undefined>();
    const createQueuePass = (queue: QueuePolicy): QueuePass | undefined => {
        const workers = workersByPool.get(queue.poolName);
        if (!workers) {
            return undefined;
        }
        const pool = pools.get(queue.poolName) ?? { candidates: createPoolCandidates(workers), hasWaiting: false, waiting: [] };
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

/** What the crashes under earlier runs of a task say about it, and the run id if other tasks of its gang have one already. */
interface RunHistory {
    suspicion: Suspicion;
    gangRunId?: number;
}

function canRun(state: SchedulerState, candidate: Candidate, { spec }: StepRecord, needed: Resources, history: RunHistory): boolean {
    return hasRoom(candidate, needed) && (spec.isGang || candidate.unansweredStartsCount < maxUnansweredStarts) &&
        mayStartBeside(candidate.suspects, history.suspicion, history.gangRunId) &&
        (state.isStoreWritable || (candidate.isStartRecorded && history.suspicion !== suspicions.nextCrashMayBeLast)) &&
        (spec.requiredLabel === undefined || candidate.worker.entry.labels.includes(spec.requiredLabel)) &&
        (spec.maxTasksPerWorker === undefined || candidate.sameStepCount < spec.maxTasksPerWorker);
}

/** Reserves resources for one task on the best of the candidates that can run it. */
function planTask(
    state: SchedulerState,
    { job, step }: WaitingStep,
    taskIndex: number,
    pool: PoolCandidates,
    candidates: readonly Candidate[],
    nowMs: number,
    gangRunId?: number,
): Run | undefined {
    const { spec } = step;
    if (!isWithinTeamLimit(state, job.submission.teamName, spec.request)) {
        return undefined;
    }
    const needed = reservedResources(spec);
    const needs = runNeeds(job, step, taskIndex);
    const history = { suspicion: needs.suspicion, gangRunId };
    const { isLongRunning, isFiller, preferredRack } = spec;
    const requirements = { isLongRunning, isFiller, preferredRack, isSuspect: needs.suspicion !== suspicions.none };
    const best = placeTask(requirements, candidates, candidate => canRun(state, candidate, step, needed, history));
    if (!best) {
        return undefined;
    }
    const run = createRun(
        {
            taskName: formatTaskName(job.jobId, step.occurrence, step.index, taskIndex),
            jobId: job.jobId,
            occurrence: step.occurrence,
            stepIndex: step.index,
            taskIndex,
            runId: gangRunId ?? nextRunId(state),
            workerId: best.workerId,
        },
        needs,
        nowMs,
    );
    attachRun(state, best.worker, step, run);
    pool.recordPlanned(best, step);
    return run;
}

/** Plans starts for all tasks of a gang, or for none. */
function planGang(state: SchedulerState, waiting: WaitingStep, pool: PoolCandidates, nowMs: number): boolean {
    const { step } = waiting;
    if (step.runs.size > 0) {
        return false;
    }
    const racks = step.spec.isRackBound ? [...new Set(pool.all().map(each => each.rack))] : [undefined];
    for (const rack of racks) {
        const candidates = rack === undefined ? pool.all() : pool.all().filter(each => each.rack === rack);
        if (!mayHoldGang(candidates, step)) {
            continue;
        }
        const runs: Run[] = [];
        for (const taskIndex of [...step.waiting]) {
            const run = planTask(state, waiting, taskIndex, pool, candidates, nowMs, runs[0]?.runId);
            if (!run) {
                break;
            }
            runs.push(run);
        }
        if (runs.length === step.spec.taskCount) {
            return true;
        }
        runs.forEach(run => detachRun(state, run));
        pool.recordCancelled(candidates);
    }
    return false;
}

/** Plans starts for as many tasks of the step as fit. */
function planTasks(state: SchedulerState, waiting: WaitingStep, pool: PoolCandidates, nowMs: number): boolean {
    const { step } = waiting;
    let hasPlanned = false;
    for (const taskIndex of step.waiting) {
        if (waiting.isHeldBack && !step.adopted.has(taskIndex)) {
            continue;
        }
        if (!planTask(state, waiting, taskIndex, pool, pool.all(), nowMs)) {
            const needed = reservedResources(step.spec);
            if (!pool.all().some(candidate => hasRoom(candidate, needed))) {
                pool.recordMisfit(needed);
                break;
            }
            if (suspicionOf(countCrashes(step, taskIndex)) === suspicions.none) {
                break;
            }
            // The step's other tasks need not run apart from suspects.
            continue;
        }
        hasPlanned = true;
    }
    return hasPlanned;
}

function planStep(state: SchedulerState, waiting: WaitingStep, pool: PoolCandidates, nowMs: number): void {
    const { job, step } = waiting;
    if (
        !pool.mayFit(reservedResources(step.spec)) || !isWithinTeamLimit(state, job.submission.teamName, step.spec.request) ||
        (!state.isStoreWritable && job.persistedWorkerIds.size === 0)
    ) {
        return;
    }
    pool.prepareFor(job, step);
    const hasPlanned = step.spec.isGang ? planGang(state, waiting, pool, nowMs) : planTasks(state, waiting, pool, nowMs);
    if (hasPlanned) {
        sendPersistedStarts(state, job, nowMs);
    }
}

/** Plans starts for the waiting tasks that fit now, and sends those that need no write to the store first. */
export function dispatchWaitingTasks(state: SchedulerState, moment: Moment): void {
    updatePossibleTeamUsage(state, moment);
    cancelStaleStarts(state, worker => isSchedulable(state, worker, moment.nowMs));
    for (const { candidates, waiting } of collectWaiting(state, moment)) {
        for (const each of orderSteps(waiting, moment.wallMs)) {
            planStep(state, each, candidates, moment.nowMs);
        }
    }
}
