/** Describes the differences between two configuration versions, one line per field. */
import { isDeepStrictEqual } from "node:util";
import { quoteValue } from "../common/findings.js";
import { isPlainObject } from "./fleetDocument.js";
import type { FleetVersion } from "./fleetVersion.js";

/** Maximum number of listed differences; the rest is only counted. */
const maximumListedCount = 100;

/** Lists the fields that differ between two values, each with both values. */
export function diffValues(before: unknown, after: unknown, path = ""): string[] {
    if (isDeepStrictEqual(before, after)) {
        return [];
    }
    if (!isPlainObject(before) || !isPlainObject(after)) {
        return [`${path}: ${quoteValue(before)} -> ${quoteValue(after)}`];
    }
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap(name => diffValues(before[name], after[name], path === "" ? name : `${path}.${name}`));
}

/** Lists the differences between two versions; keys are shown only by their ids. */
export function describeDifferences(before: FleetVersion | undefined, after: FleetVersion): string[] {
    const keyIds = (version: FleetVersion | undefined): string[] => (version?.keys ?? []).map(key => key.keyId);
    const documents = diffValues(before?.document ?? {}, after.document);
    const keys = diffValues(keyIds(before), keyIds(after), "keys");
    const drains = diffValues((before?.drains ?? []).map(drain => drain.serverId), after.drains.map(drain => drain.serverId), "drains");
    const all = [...documents, ...keys, ...drains];
    return all.length > maximumListedCount ? [...all.slice(0, maximumListedCount), `and ${all.length - maximumListedCount} more`] : all;
}
