/**
 * Estimate of a worker's clock, which starts anew with each incarnation of the worker. A reading that cannot be of the estimated clock
 * shows another incarnation.
 */

import type { SchedulerState } from "./schedulerState.js";
import type { Run } from "./workerRecord.js";

/** When a response was requested and read, on this process's clock; the worker wrote it in between. */
export interface ReadingTime {
    sentAtMs: number;
    readAtMs: number;
}

export interface WorkerClock {
    /** `undefined` before the first reading. */
    estimateMs(nowMs: number): number | undefined;
    /**
     * Returns by how much the reading certainly differs from the estimated clock: above 0 if the worker's clock is ahead of it, 0 if both
     * may be the same clock.
     */
    deviationMs(clockMs: number, time: ReadingTime): number;
    /** Bases the estimate on this reading. */
    set(clockMs: number, time: ReadingTime): void;
}

const maxDriftRatio = 0.02;
/** Allowance for the rounding of readings. */
const toleranceMs = 20;

export function createWorkerClock(): WorkerClock {
    let reading: { clockMs: number; time: ReadingTime } | undefined;

    const estimateMs = (nowMs: number): number | undefined => reading && reading.clockMs + (nowMs - reading.time.readAtMs);
    return {
        estimateMs,
        deviationMs: (clockMs, { sentAtMs, readAtMs }) => {
            if (!reading) {
                return 0;
            }
            const driftMs = maxDriftRatio * Math.max(0, readAtMs - reading.time.sentAtMs) + toleranceMs;
            const earliestMs = reading.clockMs + (sentAtMs - reading.time.readAtMs) - driftMs;
            const latestMs = reading.clockMs + (readAtMs - reading.time.sentAtMs) + driftMs;
            return Math.max(0, clockMs - latestMs) + Math.min(0, clockMs - earliestMs);
        },
        set: (clockMs, time) => {
            reading = { clockMs, time };
        },
    };
}

/** Logs that a response came from an incarnation of the worker with another clock. */
export function logClockDeviation(
    { onDecision }: SchedulerState,
    deviationMs: number,
    { workerId, call, run }: { workerId: string; call: string; run?: Run },
): void {
    if (deviationMs !== 0) {
        const { taskName, runId } = run ?? {};
        const detail = `${Math.round(Math.abs(deviationMs))} ms ${
            deviationMs > 0 ? "ahead of" : "behind"
        } the clock that commands are timed by`;
        onDecision({ what: "other worker clock", workerId, taskName, runId, reason: `response to ${call}`, detail });
    }
}
