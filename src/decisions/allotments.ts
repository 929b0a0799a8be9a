/**
 * The allotment state machine: a team's limit is divided into allotments, each held by one gateway incarnation.
 *
 * An allotment ends only when its holder gives it back, or when the platform has reported the holder gone and the longest
 * run time of its requests has passed. Each step is one compare-and-swap of the document.
 */
import { divideLimit } from "./divideLimit.js";

/** The slots of a team's limit that one holder has. */
export interface Allotment {
    grantedSlots: number;
    /** Slots that the holder could use, according to its recent demand. */
    wantedSlots: number;
}

export interface TeamAllotments {
    limitSlots: number;
    /** Configuration version that set `limitSlots`. */
    limitVersion: number;
    /** Allotments by holder incarnation. */
    holders: Record<string, Allotment>;
}

/** All allotments of one shard of teams. */
export interface AllotmentDocument {
    /** Identifies the last write. */
    changeId: string;
    teams: Record<string, TeamAllotments>;
}

/** A holder's own use of and demand for one team's slots. */
export interface HolderDemand {
    /** Requests that are running or whose completion is unknown. */
    usedSlots: number;
    /** Highest recent number of running and waiting requests. */
    wantedSlots: number;
}

/** Fraction of a limit reserved for holders without demand, so that a partitioned zone can still serve requests. */
const minimumFraction = 0.1;
/** A difference below this fraction of a holder's target causes no write. */
const toleranceFraction = 0.1;
/** Published demand is rounded to about this many significant bits, so that small changes cause no write. */
const demandPrecisionBits = 3;

export const emptyAllotments: AllotmentDocument = { changeId: "", teams: {} };

/** Returns the number of slots granted to all holders together. */
export function sumGranted(team: TeamAllotments): number {
    return Object.values(team.holders).reduce((sum, allotment) => sum + allotment.grantedSlots, 0);
}

/** Whether the granted slots fit the limit. A lowered limit counts as accepted only once they do. */
export function isWithinLimit(team: TeamAllotments): boolean {
    return sumGranted(team) <= team.limitSlots;
}

/** Returns the slots that each holder is entitled to regardless of its demand. */
function minimumSlotsPerHolder(team: TeamAllotments): number {
    return Math.max(1, Math.floor(team.limitSlots * minimumFraction / Object.keys(team.holders).length));
}

function divide(team: TeamAllotments): Map<string, number> {
    const claims = Object.entries(team.holders).map(([holderId, allotment]) => ({ holderId, wantedSlots: allotment.wantedSlots }));
    return divideLimit(team.limitSlots, claims, minimumSlotsPerHolder(team));
}

/** Returns the smallest difference from a target that causes a write. */
function updateThresholdSlots(targetSlots: number): number {
    return Math.max(1, Math.floor(targetSlots * toleranceFraction));
}

/** Returns the slots that a holder is entitled to: its demand, but at least the minimum and at most its target. */
function entitledSlots(team: TeamAllotments, targets: Map<string, number>, holderId: string): number {
    const wantedSlots = team.holders[holderId]?.wantedSlots ?? 0;
    return Math.min(Math.max(wantedSlots, minimumSlotsPerHolder(team)), targets.get(holderId) ?? 0);
}

/** Whether a holder has less than it is entitled to by at least the update threshold. */
function isUnderallocated(team: TeamAllotments, targets: Map<string, number>, holderId: string): boolean {
    const entitled = entitledSlots(team, targets, holderId);
    return entitled - (team.holders[holderId]?.grantedSlots ?? 0) >= updateThresholdSlots(entitled);
}

function isAnyHolderUnderallocated(team: TeamAllotments, targets: Map<string, number>): boolean {
    return Object.keys(team.holders).some(holderId => isUnderallocated(team, targets, holderId));
}

/** Rounds demand up to `demandPrecisionBits` significant bits. */
export function roundUpDemand(slots: number): number {
    const step = 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, slots))) - demandPrecisionBits);
    return Math.ceil(slots / step) * step;
}

function withDemand(team: TeamAllotments, holderId: string, wantedSlots: number): TeamAllotments {
    const own = team.holders[holderId] ?? { grantedSlots: 0 };
    return { ...team, holders: { ...team.holders, [holderId]: { ...own, wantedSlots } } };
}

/** Whether new demand would change the holder's target, or would show that the holder has less than it is entitled to. */
function shouldPublishDemand(before: TeamAllotments, after: TeamAllotments, holderId: string): boolean {
    const targetsBefore = divide(before);
    const targetsAfter = divide(after);
    const targetSlots = targetsAfter.get(holderId) ?? 0;
    const isTargetChanged = Math.abs(targetSlots - (targetsBefore.get(holderId) ?? 0)) >= updateThresholdSlots(targetSlots);
    return isTargetChanged || (isUnderallocated(after, targetsAfter, holderId) && !isUnderallocated(before, targetsBefore, holderId));
}

/** The next step of one holder. */
export interface HolderPlan {
    /** The holder's new allotment, or `undefined` if no write is needed. */
    write: Allotment | undefined;
    /**
     * The holder starts no request beyond this number of used slots, so that it can give back what others are entitled
     * to.
     */
    ceilingSlots: number;
}

/**
 * Plans the next step of one holder: publish its demand, give back slots that others need, take free slots.
 * Demand that would not change a target by the update threshold is not published: every write makes the concurrent
 * compare-and-swaps of other holders fail, and they have to repeat them.
 */
export function planHolderStep(team: TeamAllotments, holderId: string, demand: HolderDemand): HolderPlan {
    const own = team.holders[holderId];
    const before = withDemand(team, holderId, own?.wantedSlots ?? 0);
    const after = withDemand(team, holderId, roundUpDemand(demand.wantedSlots));
    const isPublishing = own === undefined || shouldPublishDemand(before, after, holderId);
    const next = isPublishing ? after : before;
    const targets = divide(next);
    const grantedBefore = own?.grantedSlots ?? 0;
    const targetSlots = targets.get(holderId) ?? 0;
    const freeSlots = team.limitSlots - sumGranted(team);
    const mustGiveBack = targetSlots < grantedBefore && (freeSlots < 0 || isAnyHolderUnderallocated(next, targets));
    const grantedSlots = mustGiveBack ?
        // Running requests keep their slots until they end; the ceiling prevents new requests from replacing them.
        Math.max(targetSlots, Math.min(grantedBefore, demand.usedSlots)) :
        planGrowth(grantedBefore, targetSlots, freeSlots);
    const isWriteNeeded = isPublishing || grantedSlots !== grantedBefore;
    return {
        write: isWriteNeeded ? { grantedSlots, wantedSlots: next.holders[holderId]!.wantedSlots } : undefined,
        ceilingSlots: mustGiveBack ? targetSlots : Number.POSITIVE_INFINITY,
    };
}

function planGrowth(grantedSlots: number, targetSlots: number, freeSlots: number): number {
    const missingSlots = targetSlots - grantedSlots;
    return missingSlots >= updateThresholdSlots(targetSlots) ? grantedSlots + Math.max(0, Math.min(missingSlots, freeSlots)) : grantedSlots;
}

/** Replaces the allotment of one holder. */
export function setAllotment(document: AllotmentDocument, team: string, holderId: string, allotment: Allotment): AllotmentDocument {
    const before = document.teams[team]!;
    return { ...document, teams: { ...document.teams, [team]: { ...before, holders: { ...before.holders, [holderId]: allotment } } } };
}

/** Removes a holder that has given back all its slots, or that is gone and whose requests have ended. */
export function removeHolder(document: AllotmentDocument, holderId: string): AllotmentDocument {
    const teams = Object.entries(document.teams).map(([name, team]) => {
        const holders = Object.fromEntries(Object.entries(team.holders).filter(([id]) => id !== holderId));
        return [name, { ...team, holders }] as const;
    });
    return { ...document, teams: Object.fromEntries(teams) };
}

/**
 * Applies the limits of a configuration version; a limit set by a later version stays. Returns the same document if
 * nothing changes.
 */
export function setLimits(document: AllotmentDocument, limits: ReadonlyMap<string, number>, version: number): AllotmentDocument {
    const names = new Set([...limits.keys(), ...Object.keys(document.teams)]);
    const changed = [...names].flatMap(name => {
        const before = document.teams[name];
        const limitSlots = limits.get(name) ?? 0;
        const isNewer = !before || (version > before.limitVersion && before.limitSlots !== limitSlots);
        return isNewer ? [[name, { limitSlots, limitVersion: version, holders: before?.holders ?? {} }] as const] : [];
    });
    return changed.length === 0 ? document : { ...document, teams: { ...document.teams, ...Object.fromEntries(changed) } };
}

/** Returns the ids of all holders in the document. */
export function listHolders(document: AllotmentDocument): Set<string> {
    return new Set(Object.values(document.teams).flatMap(team => Object.keys(team.holders)));
}
