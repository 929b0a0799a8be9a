/**
 * On which worker a task runs. Load pattern: many small tasks beside a few long-running ones on workers that fail rack by
 * rack. Short tasks go where they fit most closely, which keeps whole workers free for large ones. The long-running tasks of
 * one step spread over workers and racks, so that one loss takes few of them; those of different steps share workers, up to a
 * part of their room, so that other workers stay empty and can follow the demand from pool to pool.
 */

/** A worker that may run the task. */
export interface PlacementCandidate {
    workerId: string;
    rack: string;
    zone: string;
    freeCpuMillicores: number;
    freeMemoryMb: number;
    /** Whether the store allows starts of the job there already; another worker costs a write first. */
    isStartRecorded: boolean;
    /** Tasks of the same step on the worker, and on its rack. */
    sameStepCount: number;
    sameStepOnRackCount: number;
    longRunningCount: number;
    /** Part of the worker's processor room that long-running tasks hold, 0 to 1. */
    longRunningPart: number;
}

export interface PlacementNeeds {
    isLongRunning: boolean;
    isFiller: boolean;
    preferredRack: string | undefined;
}

/** Beyond this part of a worker, long-running tasks go elsewhere: one loss ends fewer, and short tasks find room beside them. */
const longRunningPartMax = 0.5;

/** Lower is better, compared entry by entry. */
function rank(needs: PlacementNeeds, candidate: PlacementCandidate): number[] {
    const isOffRack = needs.preferredRack !== undefined && candidate.rack !== needs.preferredRack ? 1 : 0;
    if (needs.isFiller) {
        return [isOffRack, candidate.longRunningCount, candidate.sameStepCount, -candidate.freeCpuMillicores];
    }
    if (needs.isLongRunning) {
        return [
            isOffRack,
            candidate.sameStepCount,
            candidate.sameStepOnRackCount,
            candidate.longRunningPart > longRunningPartMax ? 1 : 0,
            candidate.longRunningCount > 0 ? 0 : 1,
            candidate.freeCpuMillicores,
        ];
    }
    return [isOffRack, candidate.isStartRecorded ? 0 : 1, candidate.freeCpuMillicores, candidate.freeMemoryMb];
}

function isBefore(left: readonly number[], right: readonly number[]): boolean {
    const index = left.findIndex((value, place) => value !== right[place]);
    return index >= 0 && left[index]! < right[index]!;
}

/** The best of the candidates, `undefined` without any. */
export function placeTask<T extends PlacementCandidate>(needs: PlacementNeeds, candidates: readonly T[]): T | undefined {
    let best: { candidate: T; rank: number[] } | undefined;
    for (const candidate of candidates) {
        const ranked = rank(needs, candidate);
        if (!best || isBefore(ranked, best.rank)) {
            best = { candidate, rank: ranked };
        }
    }
    return best?.candidate;
}
