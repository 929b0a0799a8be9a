/**
 * Controls the pace of fillers (best-effort tasks) on a worker that also runs latency-sensitive tasks. Fillers raise the
 * tail latency of these tasks by amounts that change within seconds, so the pace follows an additive-increase,
 * multiplicative-decrease rule: it is halved as soon as a task comes close to its latency target, and rises in small
 * steps while all tasks are well below.
 */

/** A latency-sensitive task on the worker. */
export interface ServingTask {
    tailLatencyMs: number;
    targetMs: number;
}

/**
 * Fraction of the target above which fillers are slowed down; below 1 because the measured latency lags by half a second.
 */
const slowDownRatio = 0.75;
/** Fraction of the target below which fillers are sped up. */
const speedUpRatio = 0.55;
const increasePercent = 10;
/** A lower pace makes no useful progress; the fillers are paused instead. */
const minimumPercent = 10;

/** Returns the next pace of all fillers on a worker, in percent of full speed. */
export function paceFillers(currentPercent: number, serving: readonly ServingTask[]): number {
    const highestRatio = Math.max(0, ...serving.map(task => task.tailLatencyMs / task.targetMs));
    if (highestRatio > slowDownRatio) {
        const slower = Math.floor(currentPercent / 2);
        return slower < minimumPercent ? 0 : slower;
    }
    return highestRatio < speedUpRatio ? Math.min(100, currentPercent + increasePercent) : currentPercent;
}
