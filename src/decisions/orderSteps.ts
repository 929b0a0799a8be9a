/**
 * Determines the order in which waiting steps get workers. It is designed for overload: for some seconds, a queue asks for
 * several times the capacity of its pool, or one team submits many times its usual load.
 *
 * Long-running tasks come first, because they serve users directly. Then come steps that can still meet their deadline,
 * within these the jobs within their team's share, then jobs that have already used capacity, and then the smallest job
 * first, which completes the most jobs with the same capacity.
 */

/** Properties of a waiting step that determine its place in the order. */
export interface StepOrderInput {
    isLongRunning: boolean;
    workMillicoreS: number;
    /** Whether the job lies within its team's share. */
    isWithinShare: boolean;
    submittedWallMs: number;
    /** Latest end of the job that still meets its latency objective. */
    deadlineWallMs: number;
    /** Estimated time from the start of this step to the end of the job. */
    criticalPathMs: number;
    /** Whether the job has already used capacity, which is wasted if the rest of it completes too late. */
    hasStarted: boolean;
}

/** A job whose latency exceeds its objective by this factor has no value left. */
export const valueLossFactor = 3;

/** Returns 0 if the job can meet its deadline, 1 if it is late but still has value, 2 if it has none but must still run. */
export function latenessClass(
    step: Pick<StepOrderInput, "criticalPathMs" | "deadlineWallMs" | "submittedWallMs">,
    wallMs: number,
): 0 | 1 | 2 {
    const endWallMs = wallMs + step.criticalPathMs;
    if (endWallMs <= step.deadlineWallMs) {
        return 0;
    }
    const valueLossWallMs = step.submittedWallMs + valueLossFactor * (step.deadlineWallMs - step.submittedWallMs);
    return endWallMs <= valueLossWallMs ? 1 : 2;
}

/**
 * A step with a lower number comes before all with a higher one, whatever their size: long-running tasks, then by lateness, then by the team's
 * share.
 */
export function orderClass(
    step: Pick<StepOrderInput, "isLongRunning" | "isWithinShare" | "criticalPathMs" | "deadlineWallMs" | "submittedWallMs">,
    wallMs: number,
): number {
    return step.isLongRunning ? 0 : 1 + 2 * latenessClass(step, wallMs) + (step.isWithinShare ? 0 : 1);
}

/** Sorts steps into the order in which they get workers. */
export function orderSteps<T extends StepOrderInput>(steps: readonly T[], wallMs: number): T[] {
    const keyed = steps.map(step => ({ step, lateness: step.isLongRunning ? 0 : latenessClass(step, wallMs) }));
    keyed.sort((a, b) =>
        Number(b.step.isLongRunning) - Number(a.step.isLongRunning) ||
        a.lateness - b.lateness ||
        Number(b.step.isWithinShare) - Number(a.step.isWithinShare) ||
        Number(b.step.hasStarted) - Number(a.step.hasStarted) ||
        a.step.workMillicoreS - b.step.workMillicoreS ||
        a.step.submittedWallMs - b.step.submittedWallMs
    );
    return keyed.map(each => each.step);
}
