/** Chooses the next request of a queue: urgent before patient, then the team that is furthest below its share. */

/** A team that has requests waiting in one priority class. */
export interface TeamBacklog {
    team: string;
    shareWeight: number;
    /** Slot time that the team has used lately in the whole zone, in milliseconds. */
    recentUsageMs: number;
}

/** Returns the team that is furthest below its share, or `undefined` if none waits. */
export function chooseTeam(backlogs: readonly TeamBacklog[]): string | undefined {
    let best: TeamBacklog | undefined;
    backlogs.forEach(backlog => {
        if (!best || backlog.recentUsageMs * best.shareWeight < best.recentUsageMs * backlog.shareWeight) {
            best = backlog;
        }
    });
    return best?.team;
}

/** Tells whether the next start goes to patient work, so that urgent work never starves it altogether. */
export function isPatientTurn(startsCount: number, patientFloorPart: number): boolean {
    return Math.floor((startsCount + 1) * patientFloorPart) > Math.floor(startsCount * patientFloorPart);
}

/** A waiting request as the refusal under surge sees it. */
export interface WaitingWorth {
    worth: number;
    expectedRunMs: number;
}

/** Worth that a request brings for each millisecond of a slot. */
export function worthPerSlotMs(request: WaitingWorth): number {
    return request.worth / request.expectedRunMs;
}
