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
    /** Fraction of the worker's CPU capacity that long-running tasks have reserved, 0 to 1. */
    longRunningPart: number;
}

export interface PlacementRequirements {
    isLongRunning: boolean;
    isFiller: boolean;
    preferredRack: string | undefined;
}

/**
 * Workers above this fraction are avoided for further long-running tasks: a failure ends fewer of them, and short tasks
 * find capacity beside them.
 */
const maximumLongRunningFraction = 0.5;

/** Returns the sort key of a candidate; keys are compared lexicographically, lower is better. */
function sortKey(requirements: PlacementRequirements, candidate: PlacementCandidate): number[] {
    const isOffRack = requirements.preferredRack !== undefined && candidate.rack !== requirements.preferredRack ? 1 : 0;
    if (requirements.isFiller) {
        return [isOffRack, candidate.longRunningCount, candidate.sameStepCount, -candidate.freeCpuMillicores];
    }
    if (requirements.isLongRunning) {
        return [
            isOffRack,
            candidate.sameStepCount,
            candidate.sameStepOnRackCount,
            candidate.longRunningPart > maximumLongRunningFraction ? 1 : 0,
            candidate.longRunningCount > 0 ? 0 : 1,
            candidate.freeCpuMillicores,
        ];
    }
    return [isOffRack, candidate.isStartRecorded ? 0 : 1, candidate.freeCpuMillicores, candidate.freeMemoryMb];
}

function isLexicographicallyLess(left: readonly number[], right: readonly number[]): boolean {
    const index = left.findIndex((value, position) => value !== right[position]);
    return index >= 0 && left[index]! < right[index]!;
}

/** Returns the best candidate, or `undefined` if there are none. */
export function placeTask<T extends PlacementCandidate>(requirements: PlacementRequirements, candidates: readonly T[]): T | undefined {
    let best: { candidate: T; rank: number[] } | undefined;
    for (const candidate of candidates) {
        const candidateKey = sortKey(requirements, candidate);
        if (!best || isLexicographicallyLess(candidateKey, best.rank)) {
            best = { candidate, rank: candidateKey };
        }
    }
    return best?.candidate;
}
