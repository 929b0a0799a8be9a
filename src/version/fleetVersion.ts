/** One version of everything that operators configure: the fleet document, team keys and drains. */
import { isDeepStrictEqual } from "node:util";
import * as z from "zod";
import type { Finding } from "../common/findings.js";
import { Err, Ok, type Result } from "../common/results.js";
import { type FleetDocument, fleetDocument } from "./fleetDocument.js";
import { type ResolvedFleet, resolveFleet } from "./resolveFleet.js";

/** The stored record of a team's key, which never contains the key itself. */
export const keyRecord = z.strictObject({
    keyId: z.string(),
    team: z.string(),
    /** SHA-256 of the key's secret part, in base64url. */
    secretHash: z.string(),
});
export type KeyRecord = z.infer<typeof keyRecord>;

/** A drain that an operator has requested. */
export const drainRecord = z.strictObject({ serverId: z.string(), reason: z.string(), sinceMs: z.number() });

export const fleetVersion = z.strictObject({
    /** Incremented by one with each accepted write; 0 denotes the empty fleet. */
    version: z.int().min(1),
    /** Identifies the write; distinguishes a write whose response was lost from one that lost a race. */
    changeId: z.string(),
    /** The operator who made the change; `changedAtMs` is the time of the change. */
    operator: z.string(),
    changedAtMs: z.number(),
    document: fleetDocument,
    keys: z.array(keyRecord),
    drains: z.array(drainRecord),
});
export type FleetVersion = z.infer<typeof fleetVersion>;

/** A version with the data that is derived from it once. */
export interface AppliedVersion {
    record: FleetVersion;
    fleet: ResolvedFleet;
    keysById: ReadonlyMap<string, KeyRecord>;
    drainedServerIds: ReadonlySet<string>;
}

/** The slot limits of all teams. */
export interface TeamLimits {
    /** Limit by team. */
    limitSlots: ReadonlyMap<string, number>;
    version: number;
}

/** The document of a fleet that has not been configured yet. */
export const emptyDocument: FleetDocument = { base: {}, overlays: {} };

/**
 * Resolves a version's document. Most changes affect only keys and drains, so an unchanged document reuses the previous
 * result.
 */
function resolveDocument(record: FleetVersion, previous: AppliedVersion | undefined): Result<ResolvedFleet, Finding[]> {
    return previous && isDeepStrictEqual(previous.record.document, record.document) ? Ok(previous.fleet) : resolveFleet(record.document);
}

/** Derives the data that a process needs from a version, or returns why the version cannot be used. */
export function applyVersion(record: FleetVersion, previous?: AppliedVersion): Result<AppliedVersion, string> {
    const resolved = resolveDocument(record, previous);
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

/** Parses a version received from the store or a peer. */
export function parseVersion(text: string): Result<FleetVersion, string> {
    try {
        return Ok(fleetVersion.parse(JSON.parse(text)));
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
}

/** Returns the teams' limits of a version. They apply to the whole fleet, so they are the same in every site. */
export function getTeamLimits(version: AppliedVersion): TeamLimits {
    const teams = Object.values(version.fleet.sites)[0]?.teams ?? {};
    return {
        version: version.record.version,
        limitSlots: new Map(Object.entries(teams).map(([team, configured]) => [team, configured.limitSlots])),
    };
}

/** Returns the longest time that a request of any service can run, in milliseconds. */
export function getLongestRunMs(version: AppliedVersion): number {
    const services = Object.values(version.fleet.sites).flatMap(site => Object.values(site.services));
    return Math.max(0, ...services.map(service => service.longestRunMs));
}
