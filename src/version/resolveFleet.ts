/** Merges the base with the overlays, validates the result, and collects all findings with their sources. */
import { isDeepStrictEqual } from "node:util";
import type { z } from "zod";
import { type Finding, quoteValue } from "../common/findings.js";
import { Err, Ok, type Result } from "../common/results.js";
import { checkFleet } from "./checkFleet.js";
import {
    type BackendServerConfiguration,
    baseSource,
    type FleetDocument,
    isPlainObject,
    type PlainObject,
    type SiteConfiguration,
    siteConfiguration,
} from "./fleetDocument.js";

/** The configuration of all availability zones. */
export interface ResolvedFleet {
    sites: Record<string, SiteConfiguration>;
    /** Backend servers of all zones by id. */
    backendServers: Record<string, BackendServerConfiguration>;
}

/** Fields that apply to the whole fleet and may therefore not occur in an overlay. */
const fleetWideFields = ["teams", "formatVersion", "pools"];

/** Merges an overlay into a base: objects are merged recursively, any other value is replaced. */
export function mergeObjects(base: PlainObject, overlay: PlainObject): PlainObject {
    const merged: PlainObject = { ...base };
    Object.entries(overlay).forEach(([key, value]) => {
        const baseValue = base[key];
        merged[key] = isPlainObject(value) && isPlainObject(baseValue) ? mergeObjects(baseValue, value) : value;
    });
    return merged;
}

function readPath(tree: PlainObject, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((value, key) => isPlainObject(value) ? value[String(key)] : undefined, tree);
}

/** Finds overlay values that are equal to the base. */
function findRedundantValues(source: string, base: PlainObject, overlay: PlainObject, path: string[] = []): Finding[] {
    return Object.entries(overlay).flatMap(([key, value]) => {
        const baseValue = base[key];
        const fieldPath = [...path, key];
        if (isPlainObject(value) && isPlainObject(baseValue)) {
            return findRedundantValues(source, baseValue, value, fieldPath);
        }
        if (!isDeepStrictEqual(value, baseValue)) {
            return [];
        }
        return [{
            source,
            path: fieldPath.join("."),
            found: quoteValue(value),
            allowed: "only values that differ from the base; remove it",
        }];
    });
}

function findFleetWideFields(source: string, overlay: PlainObject): Finding[] {
    return fleetWideFields.filter(field => field in overlay).map(field => ({
        source,
        path: field,
        found: quoteValue(overlay[field]),
        allowed: "only in the base: the field applies to the whole fleet",
    }));
}

function toFinding(issue: z.core.$ZodIssue, zone: string, overlay: PlainObject, merged: PlainObject): Finding {
    const path = issue.code === "unrecognized_keys" ? [...issue.path, issue.keys[0] ?? ""] : issue.path;
    const isFromOverlay = readPath(overlay, path) !== undefined;
    const allowed = issue.code === "unrecognized_keys" ? "no such field; check its spelling" : issue.message;
    return { source: isFromOverlay ? zone : baseSource, path: path.join("."), found: quoteValue(readPath(merged, path)), allowed };
}

function uniqueFindings(findings: Finding[]): Finding[] {
    return [...new Map(findings.map(finding => [JSON.stringify(finding), finding])).values()];
}

function collectServers(sites: Record<string, SiteConfiguration>): Record<string, BackendServerConfiguration> {
    const servers: Record<string, BackendServerConfiguration> = {};
    Object.entries(sites).forEach(([zone, site]) => {
        Object.entries(site.backendServers).forEach(([id, server]) => {
            servers[id] = { ...server, availabilityZone: server.availabilityZone ?? zone };
        });
    });
    return servers;
}

/** Resolves a fleet document, or returns all findings together. */
export function resolveFleet(document: FleetDocument): Result<ResolvedFleet, Finding[]> {
    const sites: Record<string, SiteConfiguration> = {};
    const findings: Finding[] = [];
    const zones = Object.entries(document.overlays);
    if (zones.length === 0) {
        findings.push({ source: baseSource, path: "overlays", found: "nothing", allowed: "one overlay per availability zone" });
    }
    zones.forEach(([zone, overlay]) => {
        const merged = mergeObjects(document.base, overlay);
        const parsed = siteConfiguration.safeParse(merged);
        findings.push(...findRedundantValues(zone, document.base, overlay), ...findFleetWideFields(zone, overlay));
        if (parsed.success) {
            sites[zone] = parsed.data;
        }
        else {
            findings.push(...parsed.error.issues.map(issue => toFinding(issue, zone, overlay, merged)));
        }
    });
    const fleet = { sites, backendServers: collectServers(sites) };
    findings.push(...checkFleet(fleet));
    return findings.length > 0 ? Err(uniqueFindings(findings)) : Ok(fleet);
}
