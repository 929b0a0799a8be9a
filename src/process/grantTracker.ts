/**
 * Tracks how many slots of each team this process may use, based on the documents it has read and written.
 *
 * A cap is lowered before a write that returns slots is sent. It stays low while the response to that write is missing,
 * because the write can still take effect until the document has moved past the revision that guards it. After the store
 * was restored to an older state, no cap increases until the longest run time of a request has passed.
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

/** Creates a tracker that has not read a document yet; all its caps are 0. */
export function createGrantTracker(options: GrantTrackerOptions) {
    const caps = new Map<string, number>();
    let known = { document: emptyAllotments, revision: -1 };
    let pending: PendingWrite[] = [];
    let increaseBlockedUntilMs = 0;

    const getGrantedSlots = (document: AllotmentDocument, team: string): number =>
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
        teamsOf(document).forEach(team => setCap(team, Math.min(caps.get(team) ?? 0, getGrantedSlots(document, team))));

    const canIncrease = (): boolean => options.nowMs() >= increaseBlockedUntilMs;

    /** Sets each cap to the lowest grant in the latest document and in all pending writes. */
    const updateCaps = (): void => {
        const increased = teamsOf(known.document).map(team => {
            const bounds = [known.document, ...pending.map(write => write.document)].map(document => getGrantedSlots(document, team));
            const capSlots = Math.min(...bounds);
            return setCap(team, canIncrease() ? capSlots : Math.min(capSlots, caps.get(team) ?? 0));
        });
        if (increased.includes(true)) {
            options.onCapIncrease();
        }
    };

    const accept = (document: AllotmentDocument, revision: number): void => {
        known = { document, revision };
        pending = pending.filter(write => revision <= write.expectedRevision);
        updateCaps();
    };

    return {
        known: () => ({ document: known.document, revision: Math.max(0, known.revision) }),
        hasObserved: () => known.revision >= 0,
        capSlots: (team: string): number => caps.get(team) ?? 0,
        teams: (): string[] => [...caps.keys()],
        /**
         * Processes a document that was read. `revisionBefore` is the latest revision that was known when the read began,
         * if the caller knows it: a lower revision then proves that the store was restored. Returns `false` for an older
         * document without it, which may be late or come from a restored store: the document has to be read again.
         */
        observe: (document: AllotmentDocument, revision: number, revisionBefore?: number): boolean => {
            if (revisionBefore !== undefined && revision < revisionBefore) {
                increaseBlockedUntilMs = options.nowMs() + options.longestRunMs();
                pending = [];
            }
            else if (revision < known.revision) {
                return revisionBefore !== undefined;
            }
            accept(document, revision);
            return true;
        },
        /** Applies increases that were blocked and no longer are. */
        refresh: updateCaps,
        /** Limits a planned grant to the current cap while increases are blocked. */
        clampGrant: (team: string, planned: Allotment): Allotment =>
            canIncrease() ? planned : { ...planned, grantedSlots: Math.min(planned.grantedSlots, caps.get(team) ?? 0) },
        /** Records a write that is about to be sent; a cap that the write reduces is lowered now. */
        beginWrite: (document: AllotmentDocument, expectedRevision: number): void => {
            lowerCaps(document);
            pending.push({ document, expectedRevision });
        },
        confirmWrite: (document: AllotmentDocument, revision: number): void => {
            pending = pending.filter(write => write.document !== document);
            if (revision > known.revision) {
                accept(document, revision);
            }
        },
        /** Forgets the last write, which was rejected and can no longer take effect. */
        discardLastWrite: (): void => {
            pending.pop();
        },
    };
}
