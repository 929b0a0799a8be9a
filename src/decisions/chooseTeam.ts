/** Chooses the next request of a queue: urgent before patient requests, then weighted fair sharing between teams. */

/** A team with waiting requests in one priority class. */
export interface TeamBacklog {
    team: string;
    shareWeight: number;
    /** Slot time that the team has recently used in the whole zone, in milliseconds. */
    recentUsageMs: number;
}

/** Returns the team with the lowest recent usage relative to its weight, or `undefined` if no team has waiting requests. */
export function chooseTeam(backlogs: readonly TeamBacklog[]): string | undefined {
    let best: TeamBacklog | undefined;
    backlogs.forEach(backlog => {
        if (!best || backlog.recentUsageMs * best.shareWeight < best.recentUsageMs * backlog.shareWeight) {
            best = backlog;
        }
    });
    return best?.team;
}

/**
 * Whether the next start goes to a patient request; reserves a fraction of all starts so that urgent requests never
 * starve them.
 */
export function isPatientTurn(startsCount: number, minimumPatientFraction: number): boolean {
    return Math.floor((startsCount + 1) * minimumPatientFraction) > Math.floor(startsCount * minimumPatientFraction);
}

/** Properties of a waiting request that decide which request is rejected when a queue is full. */
export interface RequestValue {
    worth: number;
    expectedRunMs: number;
}

/** Returns the worth of a request per millisecond of slot time. */
export function worthPerSlotMs(request: RequestValue): number {
    return request.worth / request.expectedRunMs;
}
