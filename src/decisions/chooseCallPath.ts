/**
 * Chooses how a call reaches a service that refuses some processes while it serves others: directly, or through a neighbour.
 * It is designed for a service that resets or rejects a third of the processes for many seconds, for a zone whose processes
 * all lose the service together, and for an outage of the whole service, in which neighbours are of no use.
 *
 * A neighbour that was of use is kept, one of the own zone goes first, and one that failed rests for a while. Those on strong VMs get
 * more of the calls; a process with many calls, such as the owner of the scheduling, uses the strongest of all. Without a usable
 * neighbour the call goes the direct way.
 */

/** Another process that may pass calls on. */
export interface CallNeighbour {
    name: string;
    isSameZone: boolean;
    /** Processor and link of its VM, in an arbitrary unit that is the same for all. */
    capacity: number;
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
    /** Number from 0 to 1 that spreads the processes over the neighbours. */
    random: number;
    /** Whether this process makes more calls than a weak VM can pass on. */
    hasManyCalls: boolean;
}

/** Time for which a neighbour without success is left alone. */
const restAfterFailureMs = 1_500;

function isResting(neighbour: CallNeighbour, nowMs: number): boolean {
    return neighbour.failedAtMs !== undefined && nowMs - neighbour.failedAtMs < restAfterFailureMs;
}

/** Picks a member of the group at random, in proportion to its capacity. */
function pickByCapacity(group: readonly CallNeighbour[], random: number): CallNeighbour | undefined {
    let remaining = random * group.reduce((sum, each) => sum + each.capacity, 0);
    for (const neighbour of group) {
        remaining -= neighbour.capacity;
        if (remaining < 0) {
            return neighbour;
        }
    }
    return group.at(-1);
}

/** Returns the neighbour that passes the call on, or `undefined` if none is usable. */
export function chooseNeighbour({ nowMs, neighbours, tried, random, hasManyCalls }: NeighbourChoiceInput): string | undefined {
    const usable = neighbours.filter(neighbour => !tried.has(neighbour.name) && !isResting(neighbour, nowMs));
    const current = usable.filter(neighbour => neighbour.isCurrent);
    const inOwnZone = usable.filter(neighbour => neighbour.isSameZone);
    const preferred = [current, inOwnZone, usable].find(group => !hasManyCalls && group.length > 0) ?? usable;
    // After a failure in the own zone, which may be cut off as a whole, the next attempt leaves it.
    const hasTriedOwnZone = neighbours.some(neighbour => neighbour.isSameZone && tried.has(neighbour.name));
    const elsewhere = hasTriedOwnZone ? usable.filter(neighbour => !neighbour.isSameZone) : [];
    const group = elsewhere.length > 0 ? elsewhere : preferred;
    if (!hasManyCalls) {
        return pickByCapacity(group, random)?.name;
    }
    const strongest = Math.max(0, ...group.map(neighbour => neighbour.capacity));
    const candidates = group.filter(neighbour => neighbour.capacity === strongest);
    return (candidates.find(neighbour => neighbour.isCurrent) ?? pickByCapacity(candidates, random))?.name;
}
