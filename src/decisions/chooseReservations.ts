/**
 * Chooses the steps of a pool for which capacity is reserved. It is designed for a pool in which small and large work wait together: a few
 * reservations let the large steps that have waited longest start, while the other workers take small work as before. They follow the order
 * in which steps get workers, so that overdue work reserves nothing that work in time could have.
 */
import {
    findEarliestPlace,
    type PlaceRequest,
    type ReservableWorker,
    type ReservedPlace,
} from "./reserveCapacity.js";
import type { Resources } from "./resources.js";

/** A step that may need a reservation; `TStep` identifies it from pass to pass. */
export interface ReservationCandidate<TStep> {
    step: TStep;
    /** Steps with a lower number get workers first, whatever is reserved; see `orderClass`. */
    orderClass: number;
    submittedWallMs: number;
    request: PlaceRequest;
    /** Whether tasks of the step may run on the worker if it has room. */
    mayRunOn(worker: ReservableWorker): boolean;
}

export interface Reservation<TStep> {
    step: TStep;
    orderClass: number;
    submittedWallMs: number;
    request: PlaceRequest;
    place: ReservedPlace;
    madeAtMs: number;
    /** When it is given up; the expected time may prove wrong again and again. */
    expiresAtMs: number;
}

export interface ReservationChoice<TStep> {
    /** In the order in which the steps were chosen; no worker is part of two. */
    reservations: Reservation<TStep>[];
    made: Reservation<TStep>[];
    expired: Reservation<TStep>[];
    /** Steps that fit nowhere, whatever ends. */
    unplaceable: TStep[];
}

/** Part of the largest worker's capacity, in any resource, from which on a task or a gang is large; smaller ones wait for one or two ends only. */
const largeFraction = 0.25;

/** Whether the need is so large that smaller work may keep taking the gaps that it waits for. */
export function isLargeNeed(needed: Resources, tasksCount: number, largestWorker: Resources): boolean {
    const isLarge = (need: number, capacity: number): boolean => need > 0 && need * tasksCount >= largeFraction * capacity;
    return isLarge(needed.cpuMillicores, largestWorker.cpuMillicores) || isLarge(needed.memoryMb, largestWorker.memoryMb) ||
        isLarge(needed.accelerators, largestWorker.accelerators);
}

/** The largest number of reservations in a pool. */
export const maxReservationsPerPool = 4;
/** There is at most one reservation for so many workers, though always one: with one for four, so much was kept free that large work waited longer. */
const workersPerReservation = 12;
/** Bounds the time of a pass; a step that is looked at in vain is left out for a while, so that all get their turn. */
export const maxSearchesPerPass = 8;
/** A reservation is kept for this multiple of the time to its expected start; estimates are off by a factor of two easily. */
const expiryFactor = 3;
const minimumHoldMs = 2_000;
/** Another place must be better by more than the time between two passes. */
const minimumGainMs = 100;

function holdMs(place: ReservedPlace, nowMs: number): number {
    return Math.max(minimumHoldMs, expiryFactor * (place.startsAtMs - nowMs));
}

/** For how long a step gets no reservation after one has expired: what waits behind it has a third of the time for itself. */
export function pauseAfterExpiryMs(expired: Pick<Reservation<unknown>, "madeAtMs" | "expiresAtMs">): number {
    return (expired.expiresAtMs - expired.madeAtMs) / 2;
}

/** Returns a place on the workers of the reservation, from which work was already kept away, if all of them are left. */
function placeAgain<TStep>(
    { request }: ReservationCandidate<TStep>,
    { place: { tasksCounts } }: Reservation<TStep>,
    workers: readonly ReservableWorker[],
    nowMs: number,
): ReservedPlace | undefined {
    return findEarliestPlace(request, workers.filter(({ workerId }) => tasksCounts.has(workerId)), nowMs);
}

/** Returns the place of a step that has a reservation: the same one, unless it is late and others are free markedly earlier. */
function findPlace<TStep>(
    candidate: ReservationCandidate<TStep>,
    held: Reservation<TStep> | undefined,
    workers: readonly ReservableWorker[],
    nowMs: number,
): ReservedPlace | undefined {
    const kept = held && placeAgain(candidate, held, workers, nowMs);
    if (kept && kept.startsAtMs <= Math.max(nowMs, held.place.startsAtMs)) {
        return kept;
    }
    const found = findEarliestPlace(candidate.request, workers, nowMs);
    return kept && found && kept.startsAtMs <= found.startsAtMs + minimumGainMs ? kept : found;
}

/** `candidates` are all steps with a reservation that still wait, and those for which one could be made. */
export function chooseReservations<TStep>(
    candidates: readonly ReservationCandidate<TStep>[],
    heldBefore: readonly Reservation<TStep>[],
    workers: readonly ReservableWorker[],
    nowMs: number,
): ReservationChoice<TStep> {
    const heldByStep = new Map(heldBefore.map(held => [held.step, held]));
    const maxReservations = Math.min(maxReservationsPerPool, Math.max(1, Math.floor(workers.length / workersPerReservation)));
    const ordered = [...candidates].sort((a, b) =>
        a.orderClass - b.orderClass ||
        Number(heldByStep.has(b.step)) - Number(heldByStep.has(a.step)) ||
        a.submittedWallMs - b.submittedWallMs
    );
    const choice: ReservationChoice<TStep> = { reservations: [], made: [], expired: [], unplaceable: [] };
    const reservedWorkerIds = new Set<string>();
    let searchesCount = 0;
    for (const candidate of ordered) {
        if (choice.reservations.length >= maxReservations || searchesCount >= maxSearchesPerPass) {
            break;
        }
        const { step, orderClass, request } = candidate;
        const held = heldByStep.get(step);
        if (held && held.expiresAtMs <= nowMs) {
            choice.expired.push(held);
            continue;
        }
        searchesCount += 1;
        const usable = workers.filter(worker => !reservedWorkerIds.has(worker.workerId) && candidate.mayRunOn(worker));
        const place = findPlace(candidate, held, usable, nowMs);
        if (!place) {
            choice.unplaceable.push(step);
            continue;
        }
        if (!held && place.startsAtMs <= nowMs) {
            // It fits now, and starts in its turn.
            continue;
        }
        const reservation: Reservation<TStep> = held ?
            { ...held, orderClass, request, place } :
            {
                step,
                orderClass,
                submittedWallMs: candidate.submittedWallMs,
                request,
                place,
                madeAtMs: nowMs,
                expiresAtMs: nowMs + holdMs(place, nowMs),
            };
        choice.reservations.push(reservation);
        if (!held) {
            choice.made.push(reservation);
        }
        [...reservation.place.tasksCounts.keys()].forEach(workerId => reservedWorkerIds.add(workerId));
    }
    return choice;
}
