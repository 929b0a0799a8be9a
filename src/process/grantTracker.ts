/**
 * Tracks how many slots of each team this process may use, given what it has read and written.
 *
 * A cap shrinks before a write that gives slots back is sent, and while the answer of such a write is missing it stays
 * low: the write may still take effect later, until the document has moved past the revision that the write was guarded
 * by. After the store was restored to an older state, no cap grows for the longest run time of a request.
 */
import { type Allotment, type AllotmentDocument, emptyAllotments } from "../decisions/allotments.js";

export interface GrantTrackerOptions {
    holderId: string;
    nowMs(): number;
    longestRunMs(): number;
    onCapChange(team: string, beforeSlots: number, capSlots: number): void;
    onCapIncrease(): void;
}

interface PendingWrite {
    document: AllotmentDocument;
    expectedRevision: number;
}

export type GrantTracker = ReturnType<typeof createGrantTracker>;

/** Creates a tracker that has read nothing and may use nothing. */
export function createGrantTracker(options: GrantTrackerOptions) {
    const caps = new Map<string, number>();
    let known = { document: emptyAllotments, revision: -1 };
    let pending: PendingWrite[] = [];
    let growthBlockedUntilMs = 0;

    const grantedIn = (document: AllotmentDocument, team: string): number =>
        document.teams[team]?.holders[options.holderId]?.grantedSlots ?? 0;

    const setCap = (team: string, capSlots: number): boolean => {
        const before = caps.get(team) ?? 0;
        if (before === capSlots) {
            return false;
        }
        caps.set(team, capSlots);
        options.onCapChange(team, before, capSlots);
        return capSlots > before;
    };

    const teamsOf = (document: AllotmentDocument): string[] => [...new Set([...Object.keys(document.teams), ...caps.keys()])];

    const lowerCaps = (document: AllotmentDocument): void =>
        teamsOf(document).forEach(team => setCap(team, Math.min(caps.get(team) ?? 0, grantedIn(document, team))));

    const mayGrow = (): boolean => options.nowMs() >= growthBlockedUntilMs;

    /** Takes the caps of the newest document, as far as no write on its way may still lower them. */
    const adopt = (): void => {
        const hasGrown = teamsOf(known.document).map(team => {
            const bounds = [known.document, ...pending.map(write => write.document)].map(document => grantedIn(document, team));
            const capSlots = Math.min(...bounds);
            return setCap(team, mayGrow() ? capSlots : Math.min(capSlots, caps.get(team) ?? 0));
        });
        if (hasGrown.includes(true)) {
            options.onCapIncrease();
        }
    };

    const take = (document: AllotmentDocument, revision: number): void => {
        known = { document, revision };
        pending = pending.filter(write => revision <= write.expectedRevision);
        adopt();
    };

    return {
        known: () => ({ document: known.document, revision: Math.max(0, known.revision) }),
        hasObserved: () => known.revision >= 0,
        capSlots: (team: string): number => caps.get(team) ?? 0,
        teams: (): string[] => [...caps.keys()],
        /**
         * Takes in a document as read. `revisionBefore` is the revision that was known when the read began, if that is
         * known: a lower one then shows that the store was restored. Returns `false` for an older document of which
         * that cannot be told; it is late, or the store was restored.
         */
        observe: (document: AllotmentDocument, revision: number, revisionBefore?: number): boolean => {
            if (revisionBefore !== undefined && revision < revisionBefore) {
                growthBlockedUntilMs = options.nowMs() + options.longestRunMs();
                pending = [];
            }
            else if (revision < known.revision) {
                return revisionBefore !== undefined;
            }
            take(document, revision);
            return true;
        },
        /** Takes up growth that was blocked for a time. */
        refresh: adopt,
        /** Bounds a planned part by what this process may take now. */
        clampGrant: (team: string, planned: Allotment): Allotment =>
            mayGrow() ? planned : { ...planned, grantedSlots: Math.min(planned.grantedSlots, caps.get(team) ?? 0) },
        beginWrite: (document: AllotmentDocument, expectedRevision: number): void => {
            lowerCaps(document);
            pending.push({ document, expectedRevision });
        },
        confirmWrite: (document: AllotmentDocument, revision: number): void => {
            pending = pending.filter(write => write.document !== document);
            if (revision > known.revision) {
                take(document, revision);
            }
        },
        /** The last write was not carried out and never will be. */
        discardLastWrite: (): void => {
            pending.pop();
        },
    };
}
