/**
 * At which share of full speed fillers work beside tasks that serve users. Load pattern: fillers disturb the tail latency of
 * serving tasks by amounts that change within seconds. Pace falls by half as soon as a task comes near its target, and rises
 * in small steps once all are well below.
 */

export interface ServingTask {
    tailLatencyMs: number;
    targetMs: number;
}

/** Part of the target from which on fillers are slowed down; the figure lags by half a second. */
const slowDownPart = 0.75;
/** Part of the target below which fillers may work faster. */
const speedUpPart = 0.55;
const stepPercent = 10;
/** A pace below this is as good as a stop, which is what it becomes. */
const lowestPercent = 10;

/** The next pace of all fillers on a worker, in percent of full speed. */
export function paceFillers(currentPercent: number, serving: readonly ServingTask[]): number {
    const worstPart = Math.max(0, ...serving.map(task => task.tailLatencyMs / task.targetMs));
    if (worstPart > slowDownPart) {
        const slower = Math.floor(currentPercent / 2);
        return slower < lowestPercent ? 0 : slower;
    }
    return worstPart < speedUpPart ? Math.min(100, currentPercent + stepPercent) : currentPercent;
}
