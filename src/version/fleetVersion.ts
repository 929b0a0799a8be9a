/** One version of all that operators decide: the fleet document, team keys and drains. */
import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import type { Finding } from "../common/findings.js";
import { Err, Ok, type Result } from "../common/results.js";
import { type FleetDocument, fleetDocument } from "./fleetDocument.js";
import { type ResolvedFleet, resolveFleet } from "./resolveFleet.js";

/** A team's key as it is kept: never the key itself. */
export const keyRecord = z.strictObject({
    keyId: z.string(),
    team: z.string(),
    /** SHA-256 of the key's secret part, in base64url. */
    secretHash: z.string(),
});
export type KeyRecord = z.infer<typeof keyRecord>;

/** A drain that an operator asked for. */
export const drainRecord = z.strictObject({ serverId: z.string(), reason: z.string(), sinceMs: z.number() });

export const fleetVersion = z.strictObject({
    /** Counts up by one with each accepted write; 0 is the empty fleet. */
    version: z.int().min(1),
    /** Identifies the write, so that a lost answer can be told from a lost race. */
    changeId: z.string(),
    /** Which operator made the change, and when. */
    operator: z.string(),
    changedAtMs: z.number(),
    document: fleetDocument,
    keys: z.array(keyRecord),
    drains: z.array(drainRecord),
});
export type FleetVersion = z.infer<typeof fleetVersion>;

/** A version together with what is derived from it once. */
export interface AppliedVersion {
    record: FleetVersion;
    fleet: ResolvedFleet;
    keysById: ReadonlyMap<string, KeyRecord>;
    drainedServerIds: ReadonlySet<string>;
}

/** The upper limits of all teams. */
export interface TeamLimits {
    /** Slots by team. */
    limitSlots: ReadonlyMap<string, number>;
    version: number;
}

/** The document of a fleet that no operator has configured yet. */
export const emptyDocument: FleetDocument = { base: {}, overlays: {} };

/** Resolves a version's document; most changes concern keys and drains only and leave the last one's result as it is. */
function resolveAfter(record: FleetVersion, previous: AppliedVersion | undefined): Result<ResolvedFleet, Finding[]> {
    return previous && isDeepStrictEqual(previous.record.document, record.document) ? Ok(previous.fleet) : resolveFleet(record.document);
}

/** Derives what a process needs of a version, or tells why it cannot be used. */
export function applyVersion(record: FleetVersion, previous?: AppliedVersion): Result<AppliedVersion, string> {
    const resolved = resolveAfter(record, previous);
    if (resolved.err) {
        return Err(`version ${record.version} has ${resolved.val.length} findings, the first at ${resolved.val[0]?.path}`);
    }
    return Ok({
        record,
        fleet: resolved.val,
        keysById: new Map(record.keys.map(key => [key.keyId, key])),
        drainedServerIds: new Set(record.drains.map(drain => drain.serverId)),
    });
}

/** Reads a version from the store or a peer. */
export function parseVersion(text: string): Result<FleetVersion, string> {
    try {
        return Ok(fleetVersion.parse(JSON.parse(text)));
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
}

/** The teams' limits of a version; they hold for the whole fleet, so any site tells them. */
export function getTeamLimits(version: AppliedVersion): TeamLimits {
    const teams = Object.values(version.fleet.sites)[0]?.teams ?? {};
    return {
        version: version.record.version,
        limitSlots: new Map(Object.entries(teams).map(([team, configured]) => [team, configured.limitSlots])),
    };
}

/** Longest time that any request may run, in milliseconds. */
export function getLongestRunMs(version: AppliedVersion): number {
    const services = Object.values(version.fleet.sites).flatMap(site => Object.values(site.services));
    return Math.max(0, ...services.map(service => service.longestRunMs));
}
