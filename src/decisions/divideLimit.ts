/** Divides a team's limit among the holders of allotments by water-filling on what they want. */

/** What one holder wants. */
export interface LimitClaim {
    holderId: string;
    wantedSlots: number;
}

/** Hands out `slots` one level at a time: no holder gets more than `most(claim)`, none less than another that wants more. */
function fill(claims: readonly LimitClaim[], slots: number, given: Map<string, number>, most: (claim: LimitClaim) => number): number {
    let left = slots;
    let open = claims.filter(claim => given.get(claim.holderId)! < most(claim));
    while (left > 0 && open.length > 0) {
        const level = Math.max(1, Math.floor(left / open.length));
        for (const claim of open) {
            const part = Math.min(level, left, most(claim) - given.get(claim.holderId)!);
            given.set(claim.holderId, given.get(claim.holderId)! + part);
            left -= part;
        }
        open = open.filter(claim => given.get(claim.holderId)! < most(claim));
    }
    return left;
}

/**
 * Divides `limitSlots`: first a floor for each holder, then what each wants, then the rest evenly, so that a holder has
 * something to start with when its demand grows or its zone is cut off. All holders compute the same division.
 */
export function divideLimit(limitSlots: number, claims: readonly LimitClaim[], floorSlots: number): Map<string, number> {
    const ordered = [...claims].sort((a, b) => a.holderId < b.holderId ? -1 : 1);
    const given = new Map(ordered.map(claim => [claim.holderId, 0]));
    const afterFloor = fill(ordered, limitSlots, given, () => floorSlots);
    const afterDemand = fill(ordered, afterFloor, given, claim => Math.max(claim.wantedSlots, floorSlots));
    fill(ordered, afterDemand, given, () => limitSlots);
    return given;
}
