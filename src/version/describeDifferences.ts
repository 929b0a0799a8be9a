/** Describes what differs between two versions, one line a field. */
import { isDeepStrictEqual } from "node:util";
import { quoteValue } from "../common/findings.js";
import { isTree } from "./fleetDocument.js";
import type { FleetVersion } from "./fleetVersion.js";

/** Differences that are listed before the rest is only counted. */
const longestList = 100;

/** Lists the fields that differ between two values, with both values. */
export function compareValues(before: unknown, after: unknown, path = ""): string[] {
    if (isDeepStrictEqual(before, after)) {
        return [];
    }
    if (!isTree(before) || !isTree(after)) {
        return [`${path}: ${quoteValue(before)} -> ${quoteValue(after)}`];
    }
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap(name => compareValues(before[name], after[name], path === "" ? name : `${path}.${name}`));
}

/** Lists what differs between two versions; key records are named by their ids only. */
export function describeDifferences(before: FleetVersion | undefined, after: FleetVersion): string[] {
    const keyIds = (version: FleetVersion | undefined): string[] => (version?.keys ?? []).map(key => key.keyId);
    const documents = compareValues(before?.document ?? {}, after.document);
    const keys = compareValues(keyIds(before), keyIds(after), "keys");
    const drains = compareValues((before?.drains ?? []).map(drain => drain.serverId), after.drains.map(drain => drain.serverId), "drains");
    const all = [...documents, ...keys, ...drains];
    return all.length > longestList ? [...all.slice(0, longestList), `and ${all.length - longestList} more`] : all;
}
