/** Calls of the store, as processes ask each other to make them. */
import type { RelayRequest } from "../../src/connection/callRelayMessages.js";

export type StoreCall = Omit<RelayRequest, "callId" | "timeoutMs">;

export interface StoredItem {
    key: string;
    value: string;
}

const unusedKey = "~a";

/** Waits for changes that do not come. */
export function watchCall(waitMs: number): StoreCall {
    return { method: "GET", path: `/api/kv-watch?prefix=~&after=1000000&waitMs=${waitMs}`, body: undefined };
}

/** Writes an item without guards. */
export function writeCall(item: StoredItem): StoreCall {
    return { method: "POST", path: "/api/kv-txn", body: { expectedRev: [], writes: [item], deletes: [] } };
}

/** Is rejected by the store, whatever its size. */
export function rejectedWriteCall(value: string): StoreCall {
    const body = { expectedRev: [{ key: unusedKey, revision: 1 }], writes: [{ key: unusedKey, value }], deletes: [] };
    return { method: "POST", path: "/api/kv-txn", body };
}

export function readCall(key: string): StoreCall {
    return { method: "GET", path: `/api/kv-key?key=${encodeURIComponent(key)}`, body: undefined };
}
