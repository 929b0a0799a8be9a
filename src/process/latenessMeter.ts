/** Measures how late this process is: a process with more to do than its processor allows runs its timers late. */

export interface LatenessMeter {
    /** Must be called by a timer that is due every `intervalMs`. */
    recordTick(nowMs: number): void;
    /** Recent lateness in milliseconds; rises at once and falls over some ticks. */
    latenessMs(): number;
}

/** Part of the lateness that remains after a tick in time. */
const decayPerTick = 0.7;

export function createLatenessMeter(intervalMs: number): LatenessMeter {
    let tickedAtMs: number | undefined;
    let latenessMs = 0;
    return {
        recordTick: nowMs => {
            const lateByMs = tickedAtMs === undefined ? 0 : Math.max(0, nowMs - tickedAtMs - intervalMs);
            tickedAtMs = nowMs;
            latenessMs = Math.max(lateByMs, latenessMs * decayPerTick);
        },
        latenessMs: () => latenessMs,
    };
}
