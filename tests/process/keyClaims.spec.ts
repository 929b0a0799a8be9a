/** Guards against key claims that fail for minutes because the store has lost the lease that they share. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { PlatformStore, StoreGuard, StoreWrite } from "../../src/connection/platformStore.js";
import { createKeyClaims } from "../../src/process/keyClaims.js";

/** Longer than the time in which claims are collected. */
const collectedMs = 100;

describe("key claims", () => {
    it("should be made under another lease once the store has lost the shared one", async () => {
        const timers = createManualTimerService();
        const values = new Map<string, string>();
        let leases = new Set<string>();
        let grantsCount = 0;
        const store = {
            read: (key: string) => Promise.resolve(Ok(values.has(key) ? { key, value: values.get(key)!, revision: 1 } : undefined)),
            grantLease: () => {
                grantsCount += 1;
                leases.add(`lease ${grantsCount}`);
                return Promise.resolve(Ok(`lease ${grantsCount}`));
            },
            swap: (_guards: StoreGuard[], writes: StoreWrite[]) => {
                if (writes.some(({ leaseId }) => !leases.has(leaseId!))) {
                    return Promise.resolve(Err({ call: "swap", reason: "requested lease not found" }));
                }
                writes.forEach(({ key, value }) => values.set(key, value!));
                return Promise.resolve(Ok({ isSwapped: true, revision: 1, current: [] }));
            },
        } as unknown as PlatformStore;
        const claims = createKeyClaims({ ownerId: "own", store, timers, signal: new AbortController().signal });
        const claim = async (key: string): ReturnType<typeof claims.claim> => {
            const claimed = claims.claim("team", key);
            timers.advance(collectedMs);
            return claimed;
        };

        assert.deepEqual(await claim("first"), { isOwnerKnown: true, ownerId: "own" });
        assert.deepEqual(await claim("second"), { isOwnerKnown: true, ownerId: "own" });
        assert.equal(grantsCount, 1, "claims share a lease");
        // The store was restored to a state from before the lease.
        leases = new Set();
        assert.deepEqual(await claim("third"), { isOwnerKnown: true, ownerId: "own" });
        assert.equal(grantsCount, 2);
    });
});
