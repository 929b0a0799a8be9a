/** What makes a held configuration fresh again after a pause. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeSmallFleet } from "../../harness/smallFleet.js";
import { Ok } from "../../src/common/results.js";
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

const storedAs = (version: number): StoredValue => ({
    key: storeKeys.fleetVersion,
    value: JSON.stringify(makeVersion(version)),
    revision: version,
});

/** A holder over a fake store: the test delivers watch events, and reads return what it sets. */
function createHolder() {
    const lifetime = new AbortController();
    const timers = createManualTimerService();
    const fake: { stored: StoredValue; deliver(values: StoredValue[]): void } = { stored: storedAs(1), deliver: () => undefined };
    const store = {
        read: async () => Ok(fake.stored),
        watchPrefix: (_prefix: string, _signal: AbortSignal, onChange: (values: StoredValue[]) => void) => fake.deliver = onChange,
    } as Partial<PlatformStore> as PlatformStore;
    const holder = createConfigurationManager({
        store,
        timers,
        logger: createSilentLogger(),
        system: startActorSystem(lifetime.signal),
        signal: lifetime.signal,
    });
    const applied = (version: number) =>
        new Promise<void>(resolve => holder.onApplied(each => each.record.version === version && resolve()));
    return { holder, timers, fake, applied, end: () => lifetime.abort() };
}

describe("configuration holder after a pause", () => {
    it("should not take what waited in a buffer for fresh", async () => {
        const { holder, fake, applied, end } = createHolder();
        const first = applied(1);
        fake.deliver([storedAs(1)]);
        await first;
        const epochBefore = holder.epoch();
        holder.markStale(limitMs);
        fake.deliver([storedAs(1)]);
        holder.applyIfNewer(makeVersion(1), "peer", epochBefore);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(holder.isFresh(), false);
        end();
    });

    it("should be fresh once the store, asked after the pause, has answered and the answer is applied", async () => {
        const { holder, fake, applied, end } = createHolder();
        fake.stored = storedAs(2);
        const second = applied(2);
        holder.markStale(limitMs);
        await holder.refresh();
        await second;
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(holder.isFresh(), true);
        assert.equal(holder.version(), 2);
        end();
    });

    it("should serve on with what it holds when nobody answers in time", () => {
        const { holder, timers, end } = createHolder();
        holder.markStale(limitMs);
        timers.advance(limitMs);
        assert.equal(holder.isFresh(), true);
        end();
    });
});
