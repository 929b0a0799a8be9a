/** Measures how late this process is: a process with more to do than its processor allows runs its timers late. */
import type { TimerService } from "../common/timerService.js";

export interface LatenessMeter {
    /** Measures until `signal` aborts; what was measured before is forgotten. */
    start(signal: AbortSignal): void;
    /** Recent lateness in milliseconds; rises at once and falls over some ticks. */
    latenessMs(): number;
}

const tickMs = 100;
/** Part of the lateness that remains after a tick in time. */
const decayPerTick = 0.7;

export function createLatenessMeter(timers: TimerService): LatenessMeter {
    let latenessMs = 0;
    return {
        start: signal => {
            let tickedAtMs = timers.nowMs();
            latenessMs = 0;
            timers.every(tickMs, signal, nowMs => {
                latenessMs = Math.max(nowMs - tickedAtMs - tickMs, latenessMs * decayPerTick);
                tickedAtMs = nowMs;
            });
        },
        latenessMs: () => latenessMs,
    };
}
