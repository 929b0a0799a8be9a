/**
 * Chooses how a call reaches a service that refuses some processes while it serves others: directly, or through a neighbour.
 * It is designed for a service that resets or rejects a third of the processes for many seconds, for a zone whose processes
 * all lose the service together, and for an outage of the whole service, in which neighbours are of no use.
 *
 * A neighbour that was of use is kept, one of the own zone goes first, and one that failed rests for a while. Without a
 * usable neighbour the call goes the direct way.
 */

/** Another process that may pass calls on. */
export interface CallNeighbour {
    name: string;
    isSameZone: boolean;
    /** When a call through it failed last, unless one has succeeded since. */
    failedAtMs: number | undefined;
    /** Whether it passes on the calls now. */
    isCurrent: boolean;
}

export interface NeighbourChoiceInput {
    nowMs: number;
    neighbours: readonly CallNeighbour[];
    /** Neighbours that this call has tried. */
    tried: ReadonlySet<string>;
    /** Number from 0 to 1 that spreads the processes over equal neighbours. */
    random: number;
}

/** Time for which a neighbour without success is left alone. */
const restAfterFailureMs = 1_500;

function isResting(neighbour: CallNeighbour, nowMs: number): boolean {
    return neighbour.failedAtMs !== undefined && nowMs - neighbour.failedAtMs < restAfterFailureMs;
}

/** Returns the neighbour that passes the call on, or `undefined` if none is usable. */
export function chooseNeighbour({ nowMs, neighbours, tried, random }: NeighbourChoiceInput): string | undefined {
    const usable = neighbours.filter(neighbour => !tried.has(neighbour.name) && !isResting(neighbour, nowMs));
    const current = usable.filter(neighbour => neighbour.isCurrent);
    const preferred = [current, usable.filter(neighbour => neighbour.isSameZone), usable].find(group => group.length > 0);
    // After a failure in the own zone, which may be cut off as a whole, the next attempt leaves it.
    const hasTriedOwnZone = neighbours.some(neighbour => neighbour.isSameZone && tried.has(neighbour.name));
    const elsewhere = hasTriedOwnZone ? usable.filter(neighbour => !neighbour.isSameZone) : [];
    const group = elsewhere.length > 0 ? elsewhere : preferred;
    return group?.[Math.min(group.length - 1, Math.floor(random * group.length))]?.name;
}
