/** Moves long-running tasks out of evacuated zones, and holds the room that they need elsewhere until they have stopped. */
import { placeTask } from "../decisions/placeTask.js";
import { type EvacuationUnit, planEvacuation } from "../decisions/planEvacuation.js";
import { allowedDisruptionsByStep, stepKey } from "./availability.js";
import { schedulableWorkersByPool } from "./collectWaiting.js";
import { suspicionOf, suspicions } from "./crashCounts.js";
import { canRun } from "./dispatchWaitingTasks.js";
import { countCrashes, isFinalState, type JobRecord, readyStepsOf, type StepRecord } from "./jobRecord.js";
import { addResources, isServing, noResources, reservedResources, type Resources } from "./jobTypes.js";
import { type Candidate, createPoolCandidates, type HeldRooms, noHeldRooms, type PoolCandidates } from "./poolCandidates.js";
import type { Moment } from "./reconcileListing.js";
import { findStep, type SchedulerState, stopRun } from "./schedulerState.js";
import { isInEvacuatedZone } from "./startPermission.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/** The runs of a long-running step in evacuated zones. */
interface LeavingStep {
    job: JobRecord;
    step: StepRecord;
    running: Run[];
    stoppingCount: number;
}

interface Unit extends EvacuationUnit {
    leaving: LeavingStep;
    runs: readonly Run[];
}

interface RoomPlan {
    /** Reserves room for so many tasks of the step; a gang gets room as a whole, and on one rack if it is bound to it. */
    reserve(job: JobRecord, step: StepRecord, taskCount: number, holds: Map<string, Resources>): boolean;
    /** The room reserved so far, by worker. */
    reserved: ReadonlyMap<string, Resources>;
}

/** Whether a stop would reach the worker, and nothing else is about to end its runs. */
function isStoppable({ unresponsiveSinceMs, isRunStateKnown, isVmStopping, hasEnded, entry }: WorkerRecord): boolean {
    return unresponsiveSinceMs === undefined && isRunStateKnown && !isVmStopping && !hasEnded && !entry.isDraining;
}

function collectLeaving(state: SchedulerState): LeavingStep[] {
    const leaving = new Map<StepRecord, LeavingStep>();
    for (const worker of state.workers.values()) {
        if (!isInEvacuatedZone(state.startPermission, worker)) {
            continue;
        }
        for (const run of worker.runs.values()) {
            const job = state.jobs.get(run.jobId);
            const step = findStep(state, run);
            if (!job || !step?.spec.isLongRunning || isFinalState(job.state)) {
                continue;
            }
            const each = leaving.get(step) ?? { job, step, running: [], stoppingCount: 0 };
            leaving.set(step, each);
            if (run.phase === runPhases.stopping) {
                each.stoppingCount += 1;
            }
            else if (run.phase === runPhases.running && isStoppable(worker)) {
                each.running.push(run);
            }
        }
    }
    return [...leaving.values()];
}

function addHold(holds: Map<string, Resources>, workerId: string, amount: Resources, factor: 1 | -1): void {
    const sum = holds.get(workerId) ?? { ...noResources };
    holds.set(workerId, sum);
    addResources(sum, amount, factor);
}

function createRoomPlan(state: SchedulerState, nowMs: number): RoomPlan {
    const workersByPool = schedulableWorkersByPool(state, nowMs);
    const reserved = new Map<string, Resources>();
    const pools = new Map<string, PoolCandidates>();
    const placedByStep = new Map<StepRecord, Candidate[]>();
    const poolOf = (job: JobRecord): PoolCandidates => {
        const poolName = state.policy.queues.get(job.submission.queueName)?.poolName ?? "";
        const pool = pools.get(poolName) ?? createPoolCandidates(workersByPool.get(poolName) ?? [], reserved);
        pools.set(poolName, pool);
        return pool;
    };
    const place = (job: JobRecord, step: StepRecord, taskCount: number, rack: string | undefined): Candidate[] => {
        const pool = poolOf(job);
        const { spec } = step;
        const needed = reservedResources(spec);
        const suspicion = suspicionOf(countCrashes(step, 0));
        const requirements = { ...spec, isSuspect: suspicion !== suspicions.none };
        const earlier = placedByStep.get(step) ?? [];
        pool.prepareFor(job, step);
        earlier.forEach(candidate => pool.recordHeld(candidate, step));
        const candidates = rack === undefined ? pool.all() : pool.all().filter(each => each.rack === rack);
        const placed: Candidate[] = [];
        while (placed.length < taskCount) {
            const best = placeTask(requirements, candidates, candidate => canRun(state, candidate, step, needed, { suspicion }));
            if (!best) {
                placed.forEach(candidate => addHold(reserved, candidate.workerId, needed, -1));
                pool.recordCancelled(placed);
                return [];
            }
            addHold(reserved, best.workerId, needed, 1);
            pool.recordHeld(best, step);
            placed.push(best);
        }
        placedByStep.set(step, [...earlier, ...placed]);
        return placed;
    };
    return {
        reserved,
        reserve: (job, step, taskCount, holds) => {
            const { isGang, isRackBound } = step.spec;
            const racks = isGang && isRackBound ? new Set(poolOf(job).all().map(each => each.rack)) : [undefined];
            for (const rack of racks) {
                const placed = place(job, step, taskCount, rack);
                if (placed.length > 0) {
                    placed.forEach(({ workerId }) => addHold(holds, workerId, reservedResources(step.spec), 1));
                    return true;
                }
            }
            return false;
        },
    };
}

/** Reserves the room that waiting long-running tasks are about to take: they get workers before all others. */
function reserveForWaiting(state: SchedulerState, rooms: RoomPlan, wallMs: number): void {
    for (const job of state.jobs.values()) {
        if (isFinalState(job.state)) {
            continue;
        }
        for (const { step } of readyStepsOf(job, wallMs)) {
            const isPlannable = isServing(step.spec) && (!step.spec.isGang || step.runs.size === 0);
            const unitSize = step.spec.isGang ? step.spec.taskCount : 1;
            for (let left = isPlannable ? step.waiting.size : 0; left > 0; left -= unitSize) {
                if (!rooms.reserve(job, step, unitSize, new Map())) {
                    break;
                }
            }
        }
    }
}

/** What can be stopped of a step: each of its tasks in the zones, or a gang with all its tasks, wherever they run. */
function unitsOf(state: SchedulerState, leaving: LeavingStep): Unit[] {
    const { step, running, stoppingCount } = leaving;
    const createUnit = (runs: readonly Run[]): Unit => ({
        leaving,
        runs,
        step: stepKey(runs[0]!),
        taskCount: runs.length,
        cpuMillicores: reservedResources(step.spec).cpuMillicores,
    });
    if (!step.spec.isGang) {
        return running.filter(run => step.runs.get(run.taskIndex)?.length === 1).map(run => createUnit([run]));
    }
    const all = [...step.runs.values()].flat();
    const isWhole = all.length === step.spec.taskCount && stoppingCount === 0 && running.length > 0 && all.every(run => {
        const worker = state.workers.get(run.workerId);
        return run.phase === runPhases.running && worker !== undefined && isStoppable(worker);
    });
    return isWhole ? [createUnit(all)] : [];
}

/**
 * Stops long-running tasks in evacuated zones that can run elsewhere, as far as their steps allow disruptions. Returns the room that is
 * held for these and for those that are still stopping, by worker: in the meantime, no other task may take it.
 */
export function moveTasksOutOfZones(state: SchedulerState, { nowMs, wallMs }: Moment): HeldRooms {
    const leaving = state.startPermission.evacuatedZones.size === 0 ? [] : collectLeaving(state);
    if (leaving.length === 0) {
        return noHeldRooms;
    }
    const rooms = createRoomPlan(state, nowMs);
    const holds = new Map<string, Resources>();
    // Without proof of the ownership, or while the store takes no writes, a stopped task could not start elsewhere.
    const mayStop = state.isOwnershipProven && state.isStoreWritable && nowMs < state.startPermission.untilMs;
    const units = mayStop ? leaving.flatMap(each => unitsOf(state, each)) : [];
    if (units.length > 0) {
        reserveForWaiting(state, rooms, wallMs);
    }
    for (const { job, step, stoppingCount } of leaving) {
        const unitSize = step.spec.isGang ? step.spec.taskCount : 1;
        for (let left = stoppingCount; left > 0; left -= unitSize) {
            rooms.reserve(job, step, unitSize, holds);
        }
    }
    const stopped = units.length === 0 ? [] : planEvacuation(
        units,
        allowedDisruptionsByStep(state),
        ({ leaving: { job, step }, taskCount }) => rooms.reserve(job, step, taskCount, holds),
    );
    stopped.flatMap(({ runs }) => runs).forEach(run => stopRun(state, run, "its zone is evacuated"));
    return holds;
}
