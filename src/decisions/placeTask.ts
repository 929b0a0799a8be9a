/**
 * Chooses the worker on which a task runs. It is designed for many short tasks beside a few long-running ones, on workers
 * that may fail a rack at a time.
 *
 * Short tasks are placed best-fit, which keeps whole workers free for large tasks. The long-running tasks of one step are
 * spread over workers and racks, so that one failure ends few of them. Those of different steps share workers, up to a
 * fraction of the capacity, so that other workers stay empty and their VMs can be moved to the pools that need them.
 */

/** A worker on which the task could run. */
export interface PlacementCandidate {
    workerId: string;
    rack: string;
    zone: string;
    freeCpuMillicores: number;
    freeMemoryMb: number;
    /** Whether the store already lists this worker for the job; a start on another worker needs a write first. */
    isStartRecorded: boolean;
    /** Tasks of the same step on the worker. */
    sameStepCount: number;
    /** Tasks of the same step on all workers of the rack. */
    sameStepOnRackCount: number;
    longRunningCount: number;
    /** Runs of tasks that may have crashed other workers. */
    suspectsCount: number;
    /** Fraction of the worker's CPU capacity that long-running tasks have reserved, 0 to 1. */
    longRunningPart: number;
}

export interface PlacementRequirements {
    isLongRunning: boolean;
    isFiller: boolean;
    /** The task may have crashed other workers. */
    isSuspect: boolean;
    preferredRack: string | undefined;
}

/**
 * Workers above this fraction are avoided for further long-running tasks: a failure ends fewer of them, and short tasks
 * find capacity beside them.
 */
const maximumLongRunningFraction = 0.5;

/** Returns a negative number if `left` is the better candidate, a positive one if `right` is, and 0 if they are equally good. */
function compareCandidates(requirements: PlacementRequirements, left: PlacementCandidate, right: PlacementCandidate): number {
    const { preferredRack } = requirements;
    const byRack = preferredRack === undefined ? 0 : Number(left.rack !== preferredRack) - Number(right.rack !== preferredRack);
    if (byRack !== 0) {
        return byRack;
    }
    // Suspects that run apart show by the next crash which of them is the cause.
    if (requirements.isSuspect && left.suspectsCount !== right.suspectsCount) {
        return left.suspectsCount - right.suspectsCount;
    }
    if (requirements.isFiller) {
        return left.longRunningCount - right.longRunningCount ||
            left.sameStepCount - right.sameStepCount ||
            right.freeCpuMillicores - left.freeCpuMillicores;
    }
    if (requirements.isLongRunning) {
        return left.sameStepCount - right.sameStepCount ||
            left.sameStepOnRackCount - right.sameStepOnRackCount ||
            Number(left.longRunningPart > maximumLongRunningFraction) - Number(right.longRunningPart > maximumLongRunningFraction) ||
            Number(right.longRunningCount > 0) - Number(left.longRunningCount > 0) ||
            left.freeCpuMillicores - right.freeCpuMillicores;
    }
    return Number(right.isStartRecorded) - Number(left.isStartRecorded) ||
        left.freeCpuMillicores - right.freeCpuMillicores ||
        left.freeMemoryMb - right.freeMemoryMb;
}

/** Returns the best of the candidates that can run the task, the first of equally good ones, or `undefined` if there are none. */
export function placeTask<T extends PlacementCandidate>(
    requirements: PlacementRequirements,
    candidates: readonly T[],
    canRun: (candidate: T) => boolean = () => true,
): T | undefined {
    let best: T | undefined;
    for (const candidate of candidates) {
        if (canRun(candidate) && (!best || compareCandidates(requirements, candidate, best) < 0)) {
            best = candidate;
        }
    }
    return best;
}
