/**
 * Limits how many starts of short tasks are without a response at a time. It is designed for a surge of more tasks than the owner's
 * processor can start: starts that are sent all at once wait for each other in the order in which they were sent, until all of them are late.
 * Those beyond the window wait in the scheduler instead, which starts first what can still be in time.
 *
 * The window follows an additive-increase, multiplicative-decrease rule, since what a start costs differs by VM and load.
 */
export interface StartWindow {
    /** Returns how many starts may be without a response now; `latenessMs` is how late the owner's timers fire. */
    update(latenessMs: number, nowMs: number): number;
}

/**
 * A task waits about this long for its start, for the response to it and for the listing of its end; together that is short against the time
 * that callers allow beyond the work of their jobs.
 */
const toleratedLatenessMs = 60;
const initialSize = 64;
const minSize = 4;
const maxSize = 2_000;
/** About the time in which a change of the window shows. */
const updateIntervalMs = 100;
const decreaseFactor = 0.7;
const increaseFactor = 1.1;
const leastIncrease = 8;

export function createStartWindow(): StartWindow {
    let size = initialSize;
    let updatedAtMs = Number.NEGATIVE_INFINITY;
    return {
        update: (latenessMs, nowMs) => {
            if (nowMs - updatedAtMs >= updateIntervalMs) {
                updatedAtMs = nowMs;
                size = latenessMs > toleratedLatenessMs ?
                    Math.max(minSize, size * decreaseFactor) :
                    Math.min(maxSize, Math.max(size * increaseFactor, size + leastIncrease));
            }
            return Math.floor(size);
        },
    };
}
