/**
 * In which order waiting steps get workers. Load pattern: a queue asks for several times what its pool holds for some
 * seconds, or one team for many times its usual. Work that can still meet its objective goes before work that cannot, within
 * that what lies within its team's share, and then the smallest job first, which serves the most callers with the same room; long-running tasks come before everything, they serve users now.
 */

/** What the order depends on. */
export interface StepOrderInput {
    isLongRunning: boolean;
    workMillicoreS: number;
    /** Whether the job lies within its team's share. */
    isWithinShare: boolean;
    submittedWallMs: number;
    /** Latest time at which the job's end meets its objective. */
    deadlineWallMs: number;
    /** Time from the start of this step to the end of the job. */
    criticalPathMs: number;
    /** Whether the job has used room already, which is lost if the rest comes too late. */
    hasStarted: boolean;
}

/** A job whose latency is over this multiple of its objective has no value left. */
const worthlessFactor = 3;

/** 0: can meet the objective; 1: late, but of some value; 2: only owed. */
export function lateness(step: StepOrderInput, wallMs: number): 0 | 1 | 2 {
    const endWallMs = wallMs + step.criticalPathMs;
    if (endWallMs <= step.deadlineWallMs) {
        return 0;
    }
    const worthlessWallMs = step.submittedWallMs + worthlessFactor * (step.deadlineWallMs - step.submittedWallMs);
    return endWallMs <= worthlessWallMs ? 1 : 2;
}

/** Sorts steps by the order in which they get workers. */
export function orderSteps<T extends StepOrderInput>(steps: readonly T[], wallMs: number): T[] {
    const keyed = steps.map(step => ({ step, lateness: step.isLongRunning ? 0 : lateness(step, wallMs) }));
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
