/**
 * Limits how many starts are without a response at a time. It is designed for a surge of more short tasks than the owner's processor can
 * start: starts that are sent all at once wait for each other in the order in which they were sent, until all of them are late. Those beyond
 * the window wait in the scheduler instead, which starts first what can still be in time.
 *
 * What a start costs differs by VM and load, so the window grows in small steps while the owner keeps up, and shrinks faster while it is late.
 */
export interface StartWindow {
    /**
     * Returns how many more starts may be sent or planned, given those without a response and planned ones; `latenessMs` is how late the
     * owner's timers fire.
     */
    furtherStarts(unansweredStartsCount: number, latenessMs: number, nowMs: number): number;
    /** How many starts may be without a response at present. */
    size(): number;
}

/**
 * A task waits about this long for its start, for the response to it and for the listing of its end; together that is short against the time
 * that callers allow beyond the work of their jobs.
 */
export const toleratedLatenessMs = 60;
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
        furtherStarts: (unansweredStartsCount, latenessMs, nowMs) => {
            if (nowMs - updatedAtMs >= updateIntervalMs) {
                updatedAtMs = nowMs;
                size = latenessMs > toleratedLatenessMs ?
                    Math.max(minSize, size * decreaseFactor) :
                    Math.min(maxSize, Math.max(size * increaseFactor, size + leastIncrease));
            }
            return Math.max(0, Math.floor(size) - unansweredStartsCount);
        },
        size: () => Math.floor(size),
    };
}
