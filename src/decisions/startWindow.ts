/**
 * Limits how many starts are without a response at a time. It is designed for a surge of more short tasks than the owner's processor can
 * start: starts that are sent all at once wait for each other in the order in which they were sent, until all of them are late. Those beyond
 * the window wait in the scheduler instead, which starts first what can still be in time.
 *
 * What a start costs differs by VM and load, so the window grows while the owner keeps up, and shrinks while it is late. It shrinks by the part that
 * starts have in what the owner handles: after a takeover, hundreds of listings make the owner late, and fewer starts would not help it.
 */
export interface OwnerLoad {
    /** How late the owner's timers fire. */
    latenessMs: number;
    /** Starts and all calls to workers so far; only the differences from one update to the next matter. */
    startsCount: number;
    callsCount: number;
}

export interface StartWindow {
    /** Returns how many more starts may be sent or planned, given those without a response and planned ones. */
    furtherStarts(unansweredStartsCount: number, load: OwnerLoad, nowMs: number): number;
    /** Returns how many starts of one worker may be planned or without a response; a late owner spreads them over more workers. */
    startsPerWorker(latenessMs: number): number;
    /** How many starts may be without a response at present. */
    size(): number;
}

/**
 * A task waits about this long for its start, for the response to it and for the listing of its end; together that is short against the time
 * that callers allow beyond the work of their jobs.
 */
export const toleratedLatenessMs = 60;
/**
 * A worker gets no further starts while so many have no response. More than it answers within the time for which a start is valid would
 * only expire and be planned again, and each that waits takes memory.
 */
export const maxUnansweredStarts = 64;
/** Starts to a worker that are on the way at a time; further ones wait in the connections' queue, for a turn of a late owner each. */
export const concurrentStarts = 2;
/** No worker gets a larger part of the window. */
const maxPartPerWorker = 1 / 16;
const initialSize = 64;
const minSize = 4;
const maxSize = 2_000;
/** About the time in which a change of the window shows. */
const updateIntervalMs = 100;
/** Decrease if all calls are starts. */
const maxDecrease = 0.3;
/** An owner that is later than this reads responses to starts only after it has given them up, whatever makes it late. */
const maxLatenessMs = 250;
const increaseFactor = 1.25;
const leastIncrease = 8;

export function createStartWindow(): StartWindow {
    let size = initialSize;
    let updatedAtMs = Number.NEGATIVE_INFINITY;
    let counted = { startsCount: 0, callsCount: 0 };
    const update = ({ latenessMs, startsCount, callsCount }: OwnerLoad): void => {
        const startsPart = latenessMs > maxLatenessMs ?
            1 :
            (startsCount - counted.startsCount) / Math.max(1, callsCount - counted.callsCount);
        counted = { startsCount, callsCount };
        size = latenessMs > toleratedLatenessMs ?
            Math.max(minSize, size * (1 - maxDecrease * startsPart)) :
            Math.min(maxSize, Math.max(size * increaseFactor, size + leastIncrease));
    };
    return {
        furtherStarts: (unansweredStartsCount, load, nowMs) => {
            if (nowMs - updatedAtMs >= updateIntervalMs) {
                updatedAtMs = nowMs;
                update(load);
            }
            return Math.max(0, Math.floor(size) - unansweredStartsCount);
        },
        startsPerWorker: latenessMs => {
            const answeredInTime = concurrentStarts * maxLatenessMs / Math.max(1, latenessMs);
            return Math.max(concurrentStarts, Math.floor(Math.min(maxUnansweredStarts, size * maxPartPerWorker, answeredInTime)));
        },
        size: () => Math.floor(size),
    };
}
