/** Divides a team's limit among the holders of allotments by max-min fairness (water-filling) on their demand. */

/** The demand of one holder. */
export interface LimitClaim {
    holderId: string;
    wantedSlots: number;
}

/**
 * Distributes up to `slots` slots evenly, round by round, until each holder has reached `capOf(claim)`. A holder with the
 * higher cap never gets less, except for the remainder of the division. Returns the slots that are left.
 */
function waterFill(
    claims: readonly LimitClaim[],
    slots: number,
    allocated: Map<string, number>,
    capOf: (claim: LimitClaim) => number,
): number {
    let remaining = slots;
    let unsatisfied = claims.filter(claim => allocated.get(claim.holderId)! < capOf(claim));
    while (remaining > 0 && unsatisfied.length > 0) {
        const level = Math.max(1, Math.floor(remaining / unsatisfied.length));
        for (const claim of unsatisfied) {
            const addedSlots = Math.min(level, remaining, capOf(claim) - allocated.get(claim.holderId)!);
            allocated.set(claim.holderId, allocated.get(claim.holderId)! + addedSlots);
            remaining -= addedSlots;
        }
        unsatisfied = unsatisfied.filter(claim => allocated.get(claim.holderId)! < capOf(claim));
    }
    return remaining;
}

/**
 * Divides `limitSlots`: first a minimum for each holder, then up to each holder's demand, then the remainder evenly, so
 * that a holder has free slots when its demand grows or its zone is partitioned. The result is deterministic: all holders
 * compute the same division.
 */
export function divideLimit(limitSlots: number, claims: readonly LimitClaim[], minimumSlots: number): Map<string, number> {
    const ordered = [...claims].sort((a, b) => a.holderId < b.holderId ? -1 : 1);
    const allocated = new Map(ordered.map(claim => [claim.holderId, 0]));
    const remainingAfterMinimum = waterFill(ordered, limitSlots, allocated, () => minimumSlots);
    const remainingAfterDemand = waterFill(ordered, remainingAfterMinimum, allocated, claim => Math.max(claim.wantedSlots, minimumSlots));
    waterFill(ordered, remainingAfterDemand, allocated, () => limitSlots);
    return allocated;
}
