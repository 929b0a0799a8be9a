/**
 * Decides whether a cancel of a job that does not exist may be stored. It is designed for callers that cancel unknown ids as often as they
 * like, by mistake or on purpose: each such cancel costs a write of the store and a key that stays there for minutes, and both are shared with
 * the other teams. What one caller leaves and writes is therefore bounded, apart from what others do.
 */
import { type ShareTokenBucket, takeShareToken } from "./teamShare.js";

/** Keys of one caller in the store. */
const maxKeptCount = 500;
/** Writes for one caller by one process; five seconds of them may come at once. */
const writesPerS = 20;

export interface WithdrawalLimit {
    /** `countKept` returns the number of the caller's keys in the store. */
    mayStore(caller: string, countKept: () => number, nowMs: number): boolean;
}

export function createWithdrawalLimit(): WithdrawalLimit {
    const buckets = new Map<string, ShareTokenBucket>();
    return {
        mayStore: (caller, countKept, nowMs) => {
            const { isWithinShare, bucket } = takeShareToken(buckets.get(caller), writesPerS, nowMs);
            buckets.set(caller, bucket);
            return isWithinShare && countKept() < maxKeptCount;
        },
    };
}
