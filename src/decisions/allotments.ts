/**
 * The allotment state machine: how a team's limit is held in parts by gateway incarnations.
 *
 * A part ends only when its holder gives it back, or is reclaimed after the platform's word that the holder is gone and
 * the longest run time of its requests. Every step is one compare-and-swap of the document.
 */
import { divideLimit } from "./divideLimit.js";

/** One holder's part of a team's limit. */
export interface Allotment {
    grantedSlots: number;
    /** What the holder could use, by its recent demand. */
    wantedSlots: number;
}

export interface TeamAllotments {
    limitSlots: number;
    /** Configuration version that set `limitSlots`. */
    limitVersion: number;
    /** Parts by holder incarnation. */
    holders: Record<string, Allotment>;
}

/** All allotments of one shard of teams. */
export interface AllotmentDocument {
    /** Identifies the last write. */
    changeId: string;
    teams: Record<string, TeamAllotments>;
}

/** What a holder knows of its own use of one team's slots. */
export interface HolderDemand {
    /** Requests that run now, or whose end is unknown. */
    usedSlots: number;
    /** Highest number that ran or waited lately. */
    wantedSlots: number;
}

/** Part of a limit that is kept for holders without demand, so that a zone which is cut off can serve. */
const floorPart = 0.1;
/** Differences below this part of a holder's target are not worth a write. */
const slackPart = 0.1;
/** Demand is published with about this many binary digits, so that small changes cost no write. */
const demandDigits = 3;

export const emptyAllotments: AllotmentDocument = { changeId: "", teams: {} };

/** Slots that all holders have together. */
export function sumGranted(team: TeamAllotments): number {
    return Object.values(team.holders).reduce((sum, allotment) => sum + allotment.grantedSlots, 0);
}

/** Whether the parts fit the limit, as they must before a lowered limit counts as accepted. */
export function isWithinLimit(team: TeamAllotments): boolean {
    return sumGranted(team) <= team.limitSlots;
}

/** Slots that each holder is due whatever it wants. */
function floorOf(team: TeamAllotments): number {
    return Math.max(1, Math.floor(team.limitSlots * floorPart / Object.keys(team.holders).length));
}

function divide(team: TeamAllotments): Map<string, number> {
    const claims = Object.entries(team.holders).map(([holderId, allotment]) => ({ holderId, wantedSlots: allotment.wantedSlots }));
    return divideLimit(team.limitSlots, claims, floorOf(team));
}

/** Smallest difference from a target that is worth a write. */
function slackOf(targetSlots: number): number {
    return Math.max(1, Math.floor(targetSlots * slackPart));
}

/** Slots that a holder is due: what it wants and its floor, as far as the division goes. */
function dueSlots(team: TeamAllotments, targets: Map<string, number>, holderId: string): number {
    const wantedSlots = team.holders[holderId]?.wantedSlots ?? 0;
    return Math.min(Math.max(wantedSlots, floorOf(team)), targets.get(holderId) ?? 0);
}

/** Whether a holder has clearly less than it is due. */
function isShort(team: TeamAllotments, targets: Map<string, number>, holderId: string): boolean {
    const due = dueSlots(team, targets, holderId);
    return due - (team.holders[holderId]?.grantedSlots ?? 0) >= slackOf(due);
}

function isAnyoneShort(team: TeamAllotments, targets: Map<string, number>): boolean {
    return Object.keys(team.holders).some(holderId => isShort(team, targets, holderId));
}

/** Rounds demand up to a coarse number. */
export function coarsenDemand(slots: number): number {
    const step = 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, slots))) - demandDigits);
    return Math.ceil(slots / step) * step;
}

function withDemand(team: TeamAllotments, holderId: string, wantedSlots: number): TeamAllotments {
    const own = team.holders[holderId] ?? { grantedSlots: 0 };
    return { ...team, holders: { ...team.holders, [holderId]: { ...own, wantedSlots } } };
}

/** Whether new demand would change the division, or would show that the holder has less than it is due. */
function isWorthPublishing(before: TeamAllotments, after: TeamAllotments, holderId: string): boolean {
    const targetsBefore = divide(before);
    const targetsAfter = divide(after);
    const targetSlots = targetsAfter.get(holderId) ?? 0;
    const isMoved = Math.abs(targetSlots - (targetsBefore.get(holderId) ?? 0)) >= slackOf(targetSlots);
    return isMoved || (isShort(after, targetsAfter, holderId) && !isShort(before, targetsBefore, holderId));
}

/** The next step of one holder. */
export interface HolderPlan {
    /** The holder's new part, or `undefined` if no write is due. */
    write: Allotment | undefined;
    /** Slots above which the holder must start nothing, so that it can give back what others are due. */
    ceilingSlots: number;
}

/**
 * Plans the next step of one holder: publish its demand, give back what others need, take what is free.
 * Demand that would not change the division by more than the slack is not published: with many holders at work, each
 * write costs the others a repeated one.
 */
export function planHolderStep(team: TeamAllotments, holderId: string, demand: HolderDemand): HolderPlan {
    const own = team.holders[holderId];
    const before = withDemand(team, holderId, own?.wantedSlots ?? 0);
    const after = withDemand(team, holderId, coarsenDemand(demand.wantedSlots));
    const isPublishing = own === undefined || isWorthPublishing(before, after, holderId);
    const next = isPublishing ? after : before;
    const targets = divide(next);
    const grantedBefore = own?.grantedSlots ?? 0;
    const targetSlots = targets.get(holderId) ?? 0;
    const freeSlots = team.limitSlots - sumGranted(team);
    const isAskedFor = targetSlots < grantedBefore && (freeSlots < 0 || isAnyoneShort(next, targets));
    const grantedSlots = isAskedFor ?
        // Running requests keep their slots until they end; the ceiling keeps new ones from taking their place.
        Math.max(targetSlots, Math.min(grantedBefore, demand.usedSlots)) :
        planGrowth(grantedBefore, targetSlots, freeSlots);
    const isWriting = isPublishing || grantedSlots !== grantedBefore;
    return {
        write: isWriting ? { grantedSlots, wantedSlots: next.holders[holderId]!.wantedSlots } : undefined,
        ceilingSlots: isAskedFor ? targetSlots : Number.POSITIVE_INFINITY,
    };
}

function planGrowth(grantedSlots: number, targetSlots: number, freeSlots: number): number {
    const missingSlots = targetSlots - grantedSlots;
    return missingSlots >= slackOf(targetSlots) ? grantedSlots + Math.max(0, Math.min(missingSlots, freeSlots)) : grantedSlots;
}

/** Replaces one holder's part. */
export function setAllotment(document: AllotmentDocument, team: string, holderId: string, allotment: Allotment): AllotmentDocument {
    const before = document.teams[team]!;
    return { ...document, teams: { ...document.teams, [team]: { ...before, holders: { ...before.holders, [holderId]: allotment } } } };
}

/** Removes a holder that has given back everything, or that is gone and whose requests have ended. */
export function removeHolder(document: AllotmentDocument, holderId: string): AllotmentDocument {
    const teams = Object.entries(document.teams).map(([name, team]) => {
        const holders = Object.fromEntries(Object.entries(team.holders).filter(([id]) => id !== holderId));
        return [name, { ...team, holders }] as const;
    });
    return { ...document, teams: Object.fromEntries(teams) };
}

/** Takes in the limits of a configuration version; a limit that a later version set stays. Returns the same document if nothing changes. */
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

/** All holders named anywhere in the document. */
export function listHolders(document: AllotmentDocument): Set<string> {
    return new Set(Object.values(document.teams).flatMap(team => Object.keys(team.holders)));
}
