/** Keeps work off the capacity that is reserved for other steps, during one pass over a pool. */
import { type ExpectedEnd, mayBackfill, roomBeside, type WorkerReservation } from "../decisions/reserveCapacity.js";
import type { WaitingStep } from "./collectWaiting.js";
import type { StepRecord } from "./jobRecord.js";
import { fitsInto, type Resources } from "./jobTypes.js";
import type { Candidate } from "./poolCandidates.js";
import type { StepReservation } from "./reservationState.js";

/** A step that looks for workers, with what decides where it may be placed. */
export interface PlacingStep {
    step: StepRecord;
    needed: Resources;
    orderClass: number;
    submittedWallMs: number;
    /** When a task of the step is expected to end if it starts now. */
    endsAtMs: number;
}

export interface ReservationGate {
    placing(waiting: WaitingStep, needed: Resources): PlacingStep;
    /** Whether a task that has room on the candidate may be placed there. */
    mayPlace(candidate: Candidate, placing: PlacingStep): boolean;
    /** What tasks of the step may take on the candidate, if that is less than what is free. */
    roomFor(candidate: Candidate, placing: PlacingStep): Resources | undefined;
    /** Whether the reserved time of the step has come, so that it goes first in its class. */
    isDue(step: StepRecord, nowMs: number): boolean;
    /** Whether a step that needs no more was refused in this pass by all workers with room. */
    isRefused(placing: PlacingStep): boolean;
    recordRefused(placing: PlacingStep): void;
    /** The runs of the candidate have changed. */
    recordChanged(candidate: Candidate): void;
    /** Tasks of the step were placed: what was reserved for it is free for others again. */
    recordPlaced(step: StepRecord): void;
}

export interface ReservationGateOptions {
    reservations: readonly StepReservation[];
    expectedEnds(candidate: Candidate): readonly ExpectedEnd[];
    endsAtMs(waiting: WaitingStep): number;
    orderClass(waiting: WaitingStep): number;
    /** The step of the reservation was placed. */
    onUsed(reservation: StepReservation): void;
}

/** What is reserved on one worker, and for which step. */
interface ReservedPart extends WorkerReservation {
    step: StepRecord;
    orderClass: number;
    submittedWallMs: number;
    /** What is left beside it; `undefined` until it is needed. */
    beside: Resources | undefined;
}

/** Refusals are kept up to this number; further ones are looked for again. */
const maxRefusals = 16;

/**
 * Whether the step comes after what is reserved. Work of the same class that has waited longer does not: otherwise all that exceeds the pool
 * would be small work.
 */
function comesAfter(placing: PlacingStep, before: Pick<PlacingStep, "orderClass" | "submittedWallMs">): boolean {
    return placing.orderClass > before.orderClass ||
        (placing.orderClass === before.orderClass && placing.submittedWallMs >= before.submittedWallMs);
}

export function createReservationGate(options: ReservationGateOptions): ReservationGate {
    const parts = new Map<string, ReservedPart>();
    const byStep = new Map(options.reservations.map(each => [each.step, each]));
    for (const { step, orderClass, submittedWallMs, request: { needed }, place: { startsAtMs, tasksCounts } } of options.reservations) {
        for (const [workerId, tasksCount] of tasksCounts) {
            parts.set(workerId, { step, orderClass, submittedWallMs, tasksCount, needed, startsAtMs, beside: undefined });
        }
    }
    let refusals: PlacingStep[] = [];

    /** What is reserved on the candidate and goes before the step. */
    const partBefore = (candidate: Candidate, placing: PlacingStep): ReservedPart | undefined => {
        const part = parts.get(candidate.workerId);
        return part && part.step !== placing.step && comesAfter(placing, part) ? part : undefined;
    };
    const besideOf = (candidate: Candidate, part: ReservedPart): Resources => {
        const free = {
            cpuMillicores: candidate.freeCpuMillicores,
            memoryMb: candidate.freeMemoryMb,
            accelerators: candidate.freeAccelerators,
        };
        return part.beside ??= roomBeside({ free, ends: options.expectedEnds(candidate) }, part);
    };
    const isHarder = (placing: PlacingStep, refused: PlacingStep): boolean =>
        placing.endsAtMs >= refused.endsAtMs && comesAfter(placing, refused) && fitsInto(refused.needed, placing.needed);

    return {
        placing: (waiting, needed) => ({
            step: waiting.step,
            needed,
            orderClass: options.orderClass(waiting),
            submittedWallMs: waiting.submittedWallMs,
            endsAtMs: options.endsAtMs(waiting),
        }),
        mayPlace: (candidate, placing) => {
            const part = partBefore(candidate, placing);
            return !part || mayBackfill(part, besideOf(candidate, part), placing);
        },
        roomFor: (candidate, placing) => {
            const part = partBefore(candidate, placing);
            if (!part || placing.endsAtMs <= part.startsAtMs) {
                return undefined;
            }
            const beside = besideOf(candidate, part);
            return fitsInto(placing.needed, beside) ? beside : { cpuMillicores: -1, memoryMb: -1, accelerators: -1 };
        },
        isDue: (step, nowMs) => (byStep.get(step)?.place.startsAtMs ?? Number.POSITIVE_INFINITY) <= nowMs,
        isRefused: placing => !byStep.has(placing.step) && refusals.some(refused => isHarder(placing, refused)),
        recordRefused: placing => {
            if (!byStep.has(placing.step) && refusals.length < maxRefusals) {
                refusals = [...refusals.filter(refused => !isHarder(refused, placing)), placing];
            }
        },
        recordChanged: candidate => {
            const part = parts.get(candidate.workerId);
            if (part) {
                part.beside = undefined;
            }
        },
        recordPlaced: step => {
            const reservation = byStep.get(step);
            if (reservation) {
                byStep.delete(step);
                refusals = [];
                [...reservation.place.tasksCounts.keys()].forEach(workerId => parts.delete(workerId));
                options.onUsed(reservation);
            }
        },
    };
}
