/** The document with which the owner tells all processes which pools cannot serve all that arrives. */
import type { FullPool } from "../decisions/admitJob.js";

export interface LoadSummary {
    /** Token of the owner that wrote it; of no use under another owner. */
    token: number;
    writtenWallMs: number;
    /** Empty if nothing is to be refused any more. */
    pools: readonly FullPool[];
    /** Teams whose next job would be beyond their share. */
    teamsBeyondShare: readonly string[];
}

function round(key: string, value: unknown): unknown {
    return typeof value === "number" && key !== "token" ? Math.round(value) : value;
}

export function encodeLoadSummary(summary: LoadSummary): string {
    return JSON.stringify(summary, round);
}

function isNumber(value: unknown): boolean {
    return Number.isFinite(value);
}

function isReadablePool(pool: FullPool): boolean {
    return typeof pool.poolName === "string" &&
        [pool.room.cpuMillicores, pool.room.memoryMb, pool.room.accelerators].every(isNumber) &&
        pool.lateStarts.every(each =>
            typeof each.queueName === "string" && typeof each.isWithinShare === "boolean" &&
            [each.aboveWorkMillicoreS, each.startMs].every(isNumber)
        );
}

/** Throws if the text holds no summary, or one that cannot be read. */
export function decodeLoadSummary(text: string): LoadSummary {
    const value = JSON.parse(text) as LoadSummary;
    const isReadable = [value.token, value.writtenWallMs].every(isNumber) &&
        value.pools.every(isReadablePool) && value.teamsBeyondShare.every(name => typeof name === "string");
    if (!isReadable) {
        throw new Error(`the summary of the load has an unreadable field: ${text.slice(0, 200)}`);
    }
    return value;
}
