/** Assigns waiting tasks to workers, in one pass over all pools. */
import { latenessClass, orderClass, orderSteps } from "../decisions/orderSteps.js";
import { placeTask } from "../decisions/placeTask.js";
import { collectWaiting, isSchedulable, type PoolPass, type WaitingStep } from "./collectWaiting.js";
import { type Suspicion, suspicionOf, suspicions } from "./crashCounts.js";
import { mayHoldGang } from "./gangRoom.js";
import { countCrashes, failedRunIdsOf, type StepRecord } from "./jobRecord.js";
import { reservedResources, type Resources } from "./jobTypes.js";
import { cancelStaleStarts, sendPersistedStarts } from "./plannedStarts.js";
import { type Candidate, hasRoom, type HeldRooms, noHeldRooms } from "./poolCandidates.js";
import { dropUnusedReservations, updateReservations } from "./poolReservations.js";
import { updatePossibleTeamUsage } from "./possibleTeamUsage.js";
import type { Moment } from "./reconcileListing.js";
import type { PlacingStep, ReservationGate } from "./reservationGate.js";
import { runNeeds } from "./runNeeds.js";
import { attachRun, detachRun, nextRunId, type SchedulerState } from "./schedulerState.js";
import { formatTaskName } from "./taskNames.js";
import { isWithinTeamLimit } from "./teamUsage.js";
import { mayStartBeside } from "./workerCrashes.js";
import { createRun, type Run } from "./workerRecord.js";

/** What earlier runs of a task say about it, and the run id if other tasks of its gang have one already. */
interface RunHistory {
    suspicion: Suspicion;
    gangRunId?: number;
    /** Whether earlier runs of the task have failed. */
    hasFailures?: boolean;
}

/** A pool during a pass, with the capacity that is reserved in it. */
interface PlacementPool extends PoolPass {
    gate: ReservationGate | undefined;
    nowMs: number;
}

/** A step that looks for workers, and what decides whether reserved capacity is free for it. */
interface PlacementStep extends WaitingStep {
    placing: PlacingStep | undefined;
}

function mayPlace({ gate }: PlacementPool, candidate: Candidate, placing: PlacingStep | undefined): boolean {
    return !gate || !placing || gate.mayPlace(candidate, placing);
}

/** Whether something must be stored before the start is sent, besides the worker. */
function needsWrite({ suspicion, hasFailures }: RunHistory): boolean {
    return suspicion === suspicions.nextCrashMayBeLast || hasFailures === true;
}

/** Whether a task of the step, which reserves the needed resources, can start on the candidate. */
export function canRun(state: SchedulerState, candidate: Candidate, { spec }: StepRecord, needed: Resources, history: RunHistory): boolean {
    return hasRoom(candidate, needed) && (spec.isGang || candidate.unansweredStartsCount < state.maxStartsPerWorker) &&
        mayStartBeside(candidate.suspects, history.suspicion, history.gangRunId) &&
        (state.isStoreWritable || (candidate.isStartRecorded && !needsWrite(history))) &&
        (spec.requiredLabel === undefined || candidate.worker.entry.labels.includes(spec.requiredLabel)) &&
        (spec.maxTasksPerWorker === undefined || candidate.sameStepCount < spec.maxTasksPerWorker);
}

/** Reserves resources for one task on the best of the candidates that can run it. */
function planTask(
    state: SchedulerState,
    { job, step, placing }: PlacementStep,
    taskIndex: number,
    pool: PlacementPool,
    candidates: readonly Candidate[],
    gangRunId?: number,
): Run | undefined {
    const { spec } = step;
    if (!isWithinTeamLimit(state, job.submission.teamName, spec.request)) {
        return undefined;
    }
    const needed = reservedResources(spec);
    const needs = runNeeds(job, step, taskIndex);
    const hasFailures = failedRunIdsOf(step, taskIndex).length > 0;
    const history = { suspicion: needs.suspicion, gangRunId, hasFailures };
    const { isLongRunning, isFiller, preferredRack } = spec;
    const requirements = { isLongRunning, isFiller, preferredRack, isSuspect: needs.suspicion !== suspicions.none };
    const best = placeTask(
        requirements,
        candidates,
        candidate => canRun(state, candidate, step, needed, history) && mayPlace(pool, candidate, placing),
    );
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
        pool.nowMs,
    );
    run.requiredVersion = hasFailures ? job.version : 0;
    attachRun(state, best.worker, step, run);
    pool.candidates.recordPlanned(best, step);
    pool.gate?.recordChanged(best);
    return run;
}

/** Plans starts for all tasks of a gang, or for none; returns how many. */
function planGang(state: SchedulerState, waiting: PlacementStep, pool: PlacementPool): number {
    const { step, placing } = waiting;
    const { gate } = pool;
    if (step.runs.size > 0) {
        return 0;
    }
    const all = pool.candidates.all();
    const roomLimit = gate && placing ? (candidate: Candidate): Resources | undefined => gate.roomFor(candidate, placing) : undefined;
    const racks = step.spec.isRackBound ? [...new Set(all.map(each => each.rack))] : [undefined];
    for (const rack of racks) {
        const candidates = rack === undefined ? all : all.filter(each => each.rack === rack);
        if (!mayHoldGang(candidates, step, roomLimit)) {
            continue;
        }
        const runs: Run[] = [];
        for (const taskIndex of [...step.waiting]) {
            const run = planTask(state, waiting, taskIndex, pool, candidates, runs[0]?.runId);
            if (!run) {
                break;
            }
            runs.push(run);
        }
        if (runs.length === step.spec.taskCount) {
            return runs.length;
        }
        runs.forEach(run => detachRun(state, run));
        pool.candidates.recordCancelled(candidates);
        candidates.forEach(candidate => gate?.recordChanged(candidate));
    }
    return 0;
}

/** Plans starts for as many tasks of the step as fit, up to a number; returns how many. */
function planTasks(state: SchedulerState, waiting: PlacementStep, pool: PlacementPool, maxStarts: number): number {
    const { step, placing } = waiting;
    const { candidates, gate } = pool;
    let plannedCount = 0;
    for (const taskIndex of step.waiting) {
        if (plannedCount >= maxStarts) {
            break;
        }
        if (waiting.isHeldBack && !step.adopted.has(taskIndex)) {
            continue;
        }
        if (!planTask(state, waiting, taskIndex, pool, candidates.all())) {
            const needed = reservedResources(step.spec);
            const roomy = candidates.all().filter(candidate => hasRoom(candidate, needed));
            if (roomy.length === 0) {
                candidates.recordMisfit(needed);
                break;
            }
            if (placing && !roomy.some(candidate => mayPlace(pool, candidate, placing))) {
                gate?.recordRefused(placing);
                break;
            }
            if (suspicionOf(countCrashes(step, taskIndex)) === suspicions.none) {
                break;
            }
            // The step's other tasks need not run apart from suspects.
            continue;
        }
        plannedCount += 1;
    }
    return plannedCount;
}

/** Plans starts for the step; returns how many. A gang is planned as a whole, whatever its size. */
function planStep(state: SchedulerState, waiting: WaitingStep, pool: PlacementPool, maxStarts: number): number {
    const { job, step } = waiting;
    const { candidates, gate } = pool;
    const needed = reservedResources(step.spec);
    if (
        !candidates.mayFit(needed) || !isWithinTeamLimit(state, job.submission.teamName, step.spec.request) ||
        (!state.isStoreWritable && job.persistedWorkerIds.size === 0)
    ) {
        return 0;
    }
    const placing = gate?.placing(waiting, needed);
    if (placing && gate?.isRefused(placing)) {
        return 0;
    }
    candidates.prepareFor(job, step);
    const placement: PlacementStep = { ...waiting, placing };
    const plannedCount = step.spec.isGang ? planGang(state, placement, pool) : planTasks(state, placement, pool, maxStarts);
    if (plannedCount > 0) {
        gate?.recordPlaced(step);
        sendPersistedStarts(state, job, pool.nowMs);
    }
    return plannedCount;
}

function isOverdue(waiting: WaitingStep, wallMs: number): boolean {
    return !waiting.isLongRunning && latenessClass(waiting, wallMs) > 0;
}

/** The waiting steps of the pool in their order; a step whose reserved time has come goes first in its class. */
function orderWaiting({ waiting, gate, nowMs }: PlacementPool, wallMs: number): WaitingStep[] {
    const ordered = orderSteps(waiting, wallMs);
    const due = new Set(gate ? ordered.filter(({ step }) => gate.isDue(step, nowMs)) : []);
    return due.size === 0 ?
        ordered :
        ordered.map(each => ({ each, at: orderClass(each, wallMs) - (due.has(each) ? 0.5 : 0) })).sort((a, b) => a.at - b.at)
            .map(({ each }) => each);
}

/**
 * Plans starts for the waiting tasks that fit now, and sends those that need no write to the store first. At most `maxStarts` short tasks
 * start; those of all pools that can be in time come first. None takes the held room.
 */
export function dispatchWaitingTasks(state: SchedulerState, moment: Moment, maxStarts: number, heldRooms: HeldRooms = noHeldRooms): void {
    updatePossibleTeamUsage(state, moment);
    cancelStaleStarts(state, moment.nowMs, worker => isSchedulable(state, worker, moment.nowMs));
    const overdue: { waiting: WaitingStep; pool: PlacementPool }[] = [];
    let startsLeft = maxStarts;
    const plan = (waiting: WaitingStep, pool: PlacementPool): void => {
        if (waiting.isLongRunning) {
            planStep(state, waiting, pool, Number.POSITIVE_INFINITY);
        }
        else if (startsLeft > 0) {
            startsLeft -= planStep(state, waiting, pool, startsLeft);
        }
    };
    const pools = collectWaiting(state, moment, heldRooms);
    dropUnusedReservations(state, pools);
    for (const each of pools) {
        const pool = { ...each, gate: updateReservations(state, each, moment), nowMs: moment.nowMs };
        for (const waiting of orderWaiting(pool, moment.wallMs)) {
            if (isOverdue(waiting, moment.wallMs)) {
                overdue.push({ waiting, pool });
            }
            else {
                plan(waiting, pool);
            }
        }
    }
    overdue.forEach(({ waiting, pool }) => plan(waiting, pool));
}
