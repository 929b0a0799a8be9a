/**
 * Decides when the scheduler's next pass runs. Under load, an event arrives about every millisecond, and a pass after each of them
 * would cost more than the events. Events shortly after a pass are therefore handled together, which also lets fewer and larger
 * writes of progress reach the store.
 */
import type { TimerService } from "../common/timerService.js";

export interface PassTrigger {
    /** Must be called after each event that may let tasks start. */
    request(): void;
}

/** Shortest time from the end of a pass to the next one. It adds at most this to a task's start, and is short against any task. */
export const minPassIntervalMs = 5;

/** Returns how long to wait with the next pass; 0 after a quiet time, so that a single event is handled at once. */
export function passDelayMs(lastPassEndedAtMs: number, nowMs: number): number {
    return Math.max(0, lastPassEndedAtMs + minPassIntervalMs - nowMs);
}

export function createPassTrigger(timers: TimerService, runPass: () => void): PassTrigger {
    let isRequested = false;
    let lastPassEndedAtMs = Number.NEGATIVE_INFINITY;
    const run = (): void => {
        isRequested = false;
        runPass();
        lastPassEndedAtMs = timers.nowMs();
    };
    return {
        request: () => {
            if (isRequested) {
                return;
            }
            isRequested = true;
            const delayMs = passDelayMs(lastPassEndedAtMs, timers.nowMs());
            if (delayMs > 0) {
                timers.after(delayMs, run);
            }
            else {
                // Events that were read in the same turn of the event loop are handled first.
                setImmediate(run);
            }
        },
    };
}
