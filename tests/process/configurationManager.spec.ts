/**
 * When a configuration counts as fresh after a pause of the process, and when it is new enough to deny a request. Updates that were
 * buffered during the pause must not count, since they may be outdated.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeSmallFleet } from "../../harness/smallFleet.js";
import { Err, Ok } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import { storeKeys } from "../../src/connection/members.js";
import type { PlatformStore, StoredValue } from "../../src/connection/platformStore.js";
import { startActorSystem } from "../../src/process/actors.js";
import { createConfigurationManager } from "../../src/process/configurationManager.js";
import { createSilentLogger } from "../../src/process/logger.js";
import type { FleetVersion } from "../../src/version/fleetVersion.js";

const limitMs = 2_000;

function makeVersion(version: number): FleetVersion {
    const document = makeSmallFleet({ addressPrefix: "127.51", zones: ["az-1"], serversPerZone: 1, slotsPerServer: 8, limits: { vik: 8 } });
    return { version, changeId: `c${version}`, operator: "test", changedAtMs: 0, document, keys: [], drains: [] };
}

const makeStored = (version: number): StoredValue => ({
    key: storeKeys.fleetVersion,
    value: JSON.stringify(makeVersion(version)),
    revision: version,
});

/** Creates a manager with a fake store: `deliver` emits watch events, and reads return `stored`. */
function createManager() {
    const lifetime = new AbortController();
    const timers = createManualTimerService();
    const fake: { stored: StoredValue; isDown: boolean; readsCount: number; deliver(values: StoredValue[]): void } = {
        stored: makeStored(1),
        isDown: false,
        readsCount: 0,
        deliver: () => undefined,
    };
    const store = {
        read: async () => {
            fake.readsCount += 1;
            return fake.isDown ? Err({ call: "read", reason: "the store is down" }) : Ok(fake.stored);
        },
        watchPrefix: (_prefix: string, _signal: AbortSignal, onChange: (values: StoredValue[]) => void) => fake.deliver = onChange,
    } as Partial<PlatformStore> as PlatformStore;
    const manager = createConfigurationManager({
        store,
        timers,
        logger: createSilentLogger(),
        system: startActorSystem(lifetime.signal),
        signal: lifetime.signal,
    });
    const applied = (version: number) =>
        new Promise<void>(resolve => manager.onApplied(each => each.record.version === version && resolve()));
    return { manager, timers, fake, applied, end: () => lifetime.abort() };
}

describe("configuration manager after a pause", () => {
    it("should not become fresh by buffered updates", async () => {
        const { manager, fake, applied, end } = createManager();
        const first = applied(1);
        fake.deliver([makeStored(1)]);
        await first;
        const epochBefore = manager.epoch();
        manager.markStale(limitMs);
        fake.deliver([makeStored(1)]);
        manager.applyIfNewer(makeVersion(1), "peer", epochBefore);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(manager.isFresh(), false);
        end();
    });

    it("should become fresh when the store responds to a read made after the pause, once the version is applied", async () => {
        const { manager, fake, applied, end } = createManager();
        fake.stored = makeStored(2);
        const second = applied(2);
        manager.markStale(limitMs);
        await manager.refresh();
        await second;
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(manager.isFresh(), true);
        assert.equal(manager.version(), 2);
        end();
    });

    it("should count as fresh with the current version when no source responds in time", () => {
        const { manager, timers, end } = createManager();
        manager.markStale(limitMs);
        timers.advance(limitMs);
        assert.equal(manager.isFresh(), true);
        end();
    });
});

describe("configuration manager when a request is to be denied", () => {
    it("should not count a version as the newest while the store holds a newer one", async () => {
        const { manager, fake, timers, applied, end } = createManager();
        const [first, second] = [applied(1), applied(2)];
        fake.deliver([makeStored(1)]);
        await first;
        fake.stored = makeStored(2);
        assert.equal(await manager.isNewest(), false, "the watch has not delivered version 2");
        await second;
        timers.advance(1_100);
        assert.equal(await manager.isNewest(), true);
        end();
    });

    it("should not count a version as the newest while the store does not respond", async () => {
        const { manager, fake, timers, applied, end } = createManager();
        const first = applied(1);
        fake.deliver([makeStored(1)]);
        await first;
        assert.equal(await manager.isNewest(), true);
        fake.isDown = true;
        timers.advance(1_100);
        assert.equal(await manager.isNewest(), false);
        end();
    });

    it("should read the store once a second, whatever the number of requests", async () => {
        const { manager, fake, applied, end } = createManager();
        const first = applied(1);
        fake.deliver([makeStored(1)]);
        await first;
        await Promise.all(Array.from({ length: 50 }, manager.isNewest));
        await manager.isNewest();
        assert.equal(fake.readsCount, 1);
        end();
    });
});
