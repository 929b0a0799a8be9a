/** Contract of `PlatformStore`, including fault cases, run for the etcd adapter against a stand-in of etcd. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setStoreFaults, type StandIn, startStore } from "../../harness/standIns.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { createTimerService } from "../../src/common/timerService.js";
import { createEtcdStore } from "../../src/connection/etcdStore.js";
import type { PlatformStore, StoredValue } from "../../src/connection/platformStore.js";

interface Implementation {
    name: string;
    open(standIn: StandIn, signal: AbortSignal): PlatformStore;
}

const callTimeoutMs = 300;
const implementations: Implementation[] = [{
    name: "etcd v3 JSON interface",
    open: (standIn, signal) =>
        createEtcdStore({
            address: standIn.address,
            callTimeoutMs,
            timers: createTimerService(),
            onAvailability: () => undefined,
            onWatchRestart: () => undefined,
            signal,
        }),
}];

implementations.forEach(({ name, open }) => {
    describe(`platform store over the ${name}`, () => {
        const lifetime = new AbortController();
        let standIn: StandIn;
        let store: PlatformStore;
        let nextKey = 0;

        before(async () => {
            standIn = await startStore();
            store = open(standIn, lifetime.signal);
        });
        after(() => {
            lifetime.abort();
            standIn.child.kill("SIGKILL");
        });
        const newKey = (): string => `/contract/${nextKey++}`;
        const write = async (key: string, value: string): Promise<number> => {
            const present = (await store.read(key)).unwrap();
            const swapped = await store.swap([{ key, expectedRevision: present?.revision ?? 0 }], [{ key, value }]);
            return swapped.unwrap().revision;
        };

        it("should read undefined for a key that does not exist", async () => {
            assert.equal((await store.read(newKey())).unwrap(), undefined);
        });

        it("should apply a swap whose guard holds, and read back the value", async () => {
            const key = newKey();
            const revision = await write(key, "þjónusta ñandú");
            assert.deepEqual((await store.read(key)).unwrap(), { key, value: "þjónusta ñandú", revision });
        });

        it("should reject a swap whose guard does not hold, and return the current value", async () => {
            const key = newKey();
            const revision = await write(key, "first");
            const swapped = (await store.swap([{ key, expectedRevision: 0 }], [{ key, value: "second" }])).unwrap();
            assert.equal(swapped.isSwapped, false);
            assert.deepEqual(swapped.current, [{ key, value: "first", revision }]);
        });

        it("should apply exactly one of many concurrent swaps", async () => {
            const key = newKey();
            const swaps = await Promise.all(
                Array.from({ length: 10 }, (_, index) => store.swap([{ key, expectedRevision: 0 }], [{ key, value: String(index) }])),
            );
            assert.equal(swaps.filter(swap => swap.unwrap().isSwapped).length, 1);
        });

        it("should delete a key explicitly and when its lease is revoked", async () => {
            const [deleted, leased] = [newKey(), newKey()];
            await write(deleted, "x");
            (await store.swap([], [{ key: deleted, value: undefined }])).unwrap();
            assert.equal((await store.read(deleted)).unwrap(), undefined);
            const leaseId = (await store.grantLease(60)).unwrap();
            (await store.swap([], [{ key: leased, value: "x", leaseId }])).unwrap();
            assert.equal((await store.keepLeaseAlive(leaseId)).unwrap(), true);
            (await store.revokeLease(leaseId)).unwrap();
            assert.equal((await store.read(leased)).unwrap(), undefined);
            assert.equal((await store.keepLeaseAlive(leaseId)).unwrap(), false);
        });

        const faults: { title: string; faults: Parameters<typeof setStoreFaults>[1]; hasTakenEffect: boolean }[] = [
            { title: "is down", faults: { isDown: true }, hasTakenEffect: false },
            { title: "is slower than the timeout", faults: { delayMs: callTimeoutMs * 2 }, hasTakenEffect: true },
            { title: "loses its response after the write", faults: { lostAnswers: 1 }, hasTakenEffect: true },
        ];
        faults.forEach(fault => {
            it(`should return an error, not throw, when the service ${fault.title}`, async () => {
                const key = newKey();
                await setStoreFaults(standIn, fault.faults);
                const swapped = await store.swap([{ key, expectedRevision: 0 }], [{ key, value: "x" }]);
                assert.equal(swapped.err, true);
                await setStoreFaults(standIn, { isDown: false, delayMs: 0, lostAnswers: 0 });
                if (fault.hasTakenEffect) {
                    await waitUntil("the write is visible", async () => (await store.read(key)).unwrap() !== undefined);
                }
                else {
                    assert.equal((await store.read(key)).unwrap(), undefined);
                }
            });
        });

        it("should deliver values that a silent watch stream missed, and continue after an outage", async () => {
            const prefix = `${newKey()}/`;
            const watching = new AbortController();
            let seen: StoredValue[] = [];
            store.watchPrefix(prefix, watching.signal, values => seen = values);
            const waitFor = (value: string): Promise<void> => waitUntil(`${value} is seen`, () => seen.some(each => each.value === value));
            await write(`${prefix}a`, "first");
            await waitFor("first");
            await setStoreFaults(standIn, { isWatchSilent: true });
            await write(`${prefix}a`, "while silent");
            await waitFor("while silent");
            await setStoreFaults(standIn, { isWatchSilent: false });
            await setStoreFaults(standIn, { isDown: true });
            await setStoreFaults(standIn, { isDown: false });
            await write(`${prefix}b`, "after");
            await waitFor("after");
            assert.equal(seen.length, 2);
            watching.abort();
        });
    });
});
