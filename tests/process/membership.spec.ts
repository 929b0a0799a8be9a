/**
 * Guards against a process that the others do not know any more, because the store was restored to a state from before its registration.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { waitUntil } from "../../harness/waitUntil.js";
import { Ok } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import { memberKey, memberRoles } from "../../src/connection/members.js";
import type { PlatformStore, StoredValue, StoreGuard, StoreWrite } from "../../src/connection/platformStore.js";
import { startActorSystem } from "../../src/process/actors.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createMembership } from "../../src/process/membership.js";

const syncIntervalMs = 250;

describe("the member record of a process", () => {
    const lifetime = new AbortController();
    after(() => lifetime.abort());

    it("should be written again once the store has lost it, and only then", async () => {
        const timers = createManualTimerService();
        const items = new Map<string, StoredValue>();
        let revision = 0;
        let writesCount = 0;
        let onMembers: (values: StoredValue[]) => void = () => undefined;
        const store = {
            readPrefix: () => Promise.resolve(Ok([...items.values()])),
            swap: ([guard]: StoreGuard[], [write]: StoreWrite[]) => {
                const current = items.get(guard!.key);
                if ((current?.revision ?? 0) !== guard!.expectedRevision) {
                    return Promise.resolve(Ok({ isSwapped: false, revision: 0, current: current ? [current] : [] }));
                }
                revision += 1;
                writesCount += 1;
                items.set(write!.key, { key: write!.key, value: write!.value!, revision });
                return Promise.resolve(Ok({ isSwapped: true, revision, current: [] }));
            },
            watchPrefix: (_prefix: string, _signal: AbortSignal, onChange: (values: StoredValue[]) => void) => void (onMembers = onChange),
        } as unknown as PlatformStore;
        const membership = createMembership({
            own: {
                memberId: "own",
                role: memberRoles.gateway,
                availabilityZone: "zone",
                vmId: "vm",
                peerAddress: "127.0.0.1:1",
                callerAddress: "127.0.0.1:2",
                ownAddress: "127.0.0.1:2",
            },
            store,
            timers,
            logger: createSilentLogger(),
            system: startActorSystem(lifetime.signal),
            signal: lifetime.signal,
            heldVersion: () => 1,
        });
        const sync = async (): Promise<void> => {
            timers.advance(syncIntervalMs);
            // The actor handles the message, and the store's answers, in later turns.
            await new Promise(resolve => setTimeout(resolve, 20));
            onMembers([...items.values()]);
        };
        membership.start();
        await waitUntil("the process is registered", membership.isRegistered);
        onMembers([...items.values()]);
        await sync();
        await sync();
        assert.equal(writesCount, 1);

        // The store was restored to a state from before the registration.
        items.clear();
        onMembers([]);
        for (let round = 0; round < 4; round++) {
            await sync();
        }
        assert.ok(items.has(memberKey("own")), "the record is back");
        assert.ok(membership.isRegistered());
        assert.equal(writesCount, 2);
    });
});
