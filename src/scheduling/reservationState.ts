/** The reservations that a scheduler holds. */
import type { Reservation } from "../decisions/chooseReservations.js";
import type { StepRecord } from "./jobRecord.js";

export type StepReservation = Reservation<StepRecord>;

export interface ReservationState {
    byPool: Map<string, StepReservation[]>;
    /** Steps that get no reservation until then, because one has expired, or because they fit nowhere. */
    pausedUntilMs: WeakMap<StepRecord, number>;
    /** Since the beginning of the term. */
    madeCount: number;
    expiredCount: number;
    /** Reservations whose steps were placed. */
    usedCount: number;
}

export function createReservationState(): ReservationState {
    return { byPool: new Map(), pausedUntilMs: new WeakMap(), madeCount: 0, expiredCount: 0, usedCount: 0 };
}
