/** Holds reservations for large steps of each pool and keeps other work off the reserved capacity, in each pass. */
import {
    chooseReservations,
    maxReservationsPerPool,
    maxSearchesPerPass,
    pauseAfterExpiryMs,
    type ReservationCandidate,
} from "../decisions/chooseReservations.js";
import { orderClass } from "../decisions/orderSteps.js";
import { type ExpectedEnd, expectedEndMs, type ReservableWorker } from "../decisions/reserveCapacity.js";
import type { PoolPass, WaitingStep } from "./collectWaiting.js";
import { suspicionOf, suspicions } from "./crashCounts.js";
import { countCrashes, type StepRecord } from "./jobRecord.js";
import { addResources, noResources, reservedResources, type Resources } from "./jobTypes.js";
import { type Candidate, hasRoom } from "./poolCandidates.js";
import type { Moment } from "./reconcileListing.js";
import { createReservationGate, type ReservationGate } from "./reservationGate.js";
import type { StepReservation } from "./reservationState.js";
import { findStep, type SchedulerState } from "./schedulerState.js";
import { durationParts, expectedDurationMs } from "./taskDurations.js";
import { isWithinTeamLimit } from "./teamUsage.js";
import { mayStartBeside } from "./workerCrashes.js";
import { type Run, runPhases } from "./workerRecord.js";

/** How long a step that fits nowhere is left out, so that others are looked at. */
const unplaceablePauseMs = 500;

function runEndsAtMs(state: SchedulerState, run: Run, nowMs: number): number {
    if (run.phase === runPhases.stopping) {
        return nowMs + state.taskStopMs;
    }
    const job = state.jobs.get(run.jobId);
    const step = findStep(state, run);
    if (!job || !step || step.spec.isLongRunning) {
        return Number.POSITIVE_INFINITY;
    }
    // The age of an adopted run counts from its first listing.
    const startedAtMs = Number.isFinite(run.startedAtMs) ? run.startedAtMs : run.respondedAtMs ?? nowMs;
    return expectedEndMs(startedAtMs, expectedDurationMs(state, job, step) ?? 0, nowMs);
}

/** The runs of a worker by their expected ends. */
function expectedEnds(state: SchedulerState, { worker }: Candidate, nowMs: number): ExpectedEnd[] {
    return [...worker.runs.values()]
        .map(run => ({ endsAtMs: runEndsAtMs(state, run, nowMs), reserved: run.reserved }))
        .sort((a, b) => a.endsAtMs - b.endsAtMs);
}

function freeOn({ freeCpuMillicores, freeMemoryMb, freeAccelerators }: Candidate): Resources {
    return { cpuMillicores: freeCpuMillicores, memoryMb: freeMemoryMb, accelerators: freeAccelerators };
}

/** The expected ends are determined when they are asked for, since most passes look at a few workers only. */
function createReservableWorker(state: SchedulerState, candidate: Candidate, nowMs: number): ReservableWorker {
    let ends: ExpectedEnd[] | undefined;
    return {
        workerId: candidate.workerId,
        rack: candidate.rack,
        free: freeOn(candidate),
        get ends() {
            return ends ??= expectedEnds(state, candidate, nowMs);
        },
    };
}

/** What must be free for the next task of the step, or for all tasks of a gang. */
function totalNeed(state: SchedulerState, { job, step }: WaitingStep): Resources | undefined {
    const { isGang, request } = step.spec;
    const requested = { ...noResources };
    addResources(requested, request, isGang ? step.spec.taskCount : 1);
    return isWithinTeamLimit(state, job.submission.teamName, requested) ? requested : undefined;
}

/** A large step with its place in the order. */
interface LargeStep {
    waiting: WaitingStep;
    orderClass: number;
}

/** Whether capacity may be reserved for the step: nothing but room must keep it from starting. */
function mayReserve(state: SchedulerState, waiting: WaitingStep, nowMs: number): boolean {
    const { step, isHeldBack } = waiting;
    const [firstTask] = step.waiting;
    return !isHeldBack && firstTask !== undefined && (!step.spec.isGang || step.runs.size === 0) &&
        (state.reservations.pausedUntilMs.get(step) ?? 0) <= nowMs &&
        suspicionOf(countCrashes(step, firstTask)) === suspicions.none && totalNeed(state, waiting) !== undefined;
}

function createCandidate(
    { waiting: { step, submittedWallMs }, orderClass: stepOrderClass }: LargeStep,
    byWorkerId: ReadonlyMap<string, Candidate>,
): ReservationCandidate<StepRecord> {
    const { spec } = step;
    const runsByWorker = new Map<string, number>();
    for (const run of spec.maxTasksPerWorker === undefined ? [] : [...step.runs.values()].flat()) {
        runsByWorker.set(run.workerId, (runsByWorker.get(run.workerId) ?? 0) + 1);
    }
    return {
        step,
        orderClass: stepOrderClass,
        submittedWallMs,
        request: {
            needed: reservedResources(spec),
            tasksCount: spec.isGang ? spec.taskCount : 1,
            maxTasksPerWorker: spec.maxTasksPerWorker,
            isRackBound: spec.isGang && spec.isRackBound,
        },
        mayRunOn: ({ workerId }) => {
            const { worker, suspects } = byWorkerId.get(workerId)!;
            return worker.unknownSizeCount === 0 && mayStartBeside(suspects, suspicions.none, undefined) &&
                (spec.requiredLabel === undefined || worker.entry.labels.includes(spec.requiredLabel)) &&
                (spec.maxTasksPerWorker === undefined || (runsByWorker.get(workerId) ?? 0) < spec.maxTasksPerWorker);
        },
    };
}

/**
 * The large steps that need a reservation now, as many as are looked at: those that have one, gangs, and those whose tasks fit on no worker;
 * first those of the most urgent class, of these those that have waited longest.
 */
function findCandidates(state: SchedulerState, pool: PoolPass, held: readonly StepReservation[], { nowMs, wallMs }: Moment): LargeStep[] {
    const heldSteps = new Set(held.map(each => each.step));
    const hasRoomNow = (step: StepRecord): boolean => {
        const needed = reservedResources(step.spec);
        const isFitting = pool.candidates.mayFit(needed) && pool.candidates.all().some(candidate => hasRoom(candidate, needed));
        if (!isFitting) {
            pool.candidates.recordMisfit(needed);
        }
        return isFitting;
    };
    const ordered = pool.large.map(waiting => ({ waiting, orderClass: orderClass(waiting, wallMs), isHeld: heldSteps.has(waiting.step) }))
        .sort((a, b) =>
            a.orderClass - b.orderClass || Number(b.isHeld) - Number(a.isHeld) || a.waiting.submittedWallMs - b.waiting.submittedWallMs
        );
    const found: LargeStep[] = [];
    for (const large of ordered) {
        if (found.length === maxReservationsPerPool + maxSearchesPerPass) {
            break;
        }
        const { step } = large.waiting;
        if (mayReserve(state, large.waiting, nowMs) && (large.isHeld || step.spec.isGang || !hasRoomNow(step))) {
            found.push(large);
        }
    }
    return found;
}

function describe({ step, place }: StepReservation, nowMs: number): string {
    const tasksCount = [...place.tasksCounts.values()].reduce((sum, count) => sum + count, 0);
    return `step ${step.index} of occurrence ${step.occurrence}: ${tasksCount} tasks on ${place.tasksCounts.size} workers in ${
        Math.round(place.startsAtMs - nowMs)
    } ms`;
}

function reportReservation(
    state: SchedulerState,
    what: string,
    poolName: string,
    jobId: string | undefined,
    reservation: StepReservation,
    nowMs: number,
): void {
    const [workerId] = reservation.place.tasksCounts.keys();
    state.onDecision({ what, jobId, workerId, reason: `pool ${poolName}`, detail: describe(reservation, nowMs) });
}

/** Drops the reservations of pools for which nothing waits any more. */
export function dropUnusedReservations(state: SchedulerState, pools: readonly PoolPass[]): void {
    if (state.reservations.byPool.size > 0) {
        const poolNames = new Set(pools.map(each => each.poolName));
        [...state.reservations.byPool.keys()].filter(name => !poolNames.has(name)).forEach(name => state.reservations.byPool.delete(name));
    }
}

/**
 * Makes, keeps and gives up reservations in the pool; returns what keeps other work off them, or `undefined` if nothing is reserved. While the
 * store takes no writes, nothing is: what may start then depends on the workers that it lists, and not on room.
 */
export function updateReservations(state: SchedulerState, pool: PoolPass, moment: Moment): ReservationGate | undefined {
    const { reservations } = state;
    const { nowMs, wallMs } = moment;
    const held = reservations.byPool.get(pool.poolName) ?? [];
    if (!state.isStoreWritable || (pool.large.length === 0 && held.length === 0)) {
        reservations.byPool.delete(pool.poolName);
        return undefined;
    }
    const found = findCandidates(state, pool, held, moment);
    if (found.length === 0) {
        reservations.byPool.delete(pool.poolName);
        return undefined;
    }
    const byWorkerId = new Map(pool.candidates.all().map(each => [each.workerId, each]));
    const workers = pool.candidates.all().map(each => createReservableWorker(state, each, nowMs));
    const candidates = found.map(each => createCandidate(each, byWorkerId));
    const jobIds = new Map(found.map(({ waiting }) => [waiting.step, waiting.job.jobId]));
    const choice = chooseReservations(candidates, held, workers, nowMs);
    reservations.byPool.set(pool.poolName, choice.reservations);
    reservations.madeCount += choice.made.length;
    reservations.expiredCount += choice.expired.length;
    choice.made.forEach(each => reportReservation(state, "reservation made", pool.poolName, jobIds.get(each.step), each, nowMs));
    choice.expired.forEach(each => {
        reservations.pausedUntilMs.set(each.step, nowMs + pauseAfterExpiryMs(each));
        reportReservation(state, "reservation expired", pool.poolName, jobIds.get(each.step), each, nowMs);
    });
    choice.unplaceable.forEach(step => reservations.pausedUntilMs.set(step, nowMs + unplaceablePauseMs));
    return createReservationGate({
        reservations: choice.reservations,
        expectedEnds: candidate => expectedEnds(state, candidate, nowMs),
        endsAtMs: ({ job, step }) => {
            const durationMs = step.spec.isLongRunning ? undefined : expectedDurationMs(state, job, step, durationParts.most);
            return durationMs === undefined ? Number.POSITIVE_INFINITY : expectedEndMs(nowMs, durationMs, nowMs);
        },
        orderClass: waiting => orderClass(waiting, wallMs),
        onUsed: reservation => {
            reservations.usedCount += 1;
            const rest = (reservations.byPool.get(pool.poolName) ?? []).filter(each => each !== reservation);
            reservations.byPool.set(pool.poolName, rest);
        },
    });
}
