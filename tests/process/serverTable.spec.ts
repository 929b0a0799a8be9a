/** Guards against a backend server that stays ejected long after its restart, because of the requests that its former life took with it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createServerTable } from "../../src/process/serverTable.js";
import type { AppliedVersion } from "../../src/version/fleetVersion.js";

const requestsCount = 40;

function createTable() {
    const timers = createManualTimerService();
    const table = createServerTable({ timers, logger: createSilentLogger(), signal: new AbortController().signal });
    const server = { pool: "pool", availabilityZone: "zone", vmId: "vm", address: "127.0.0.1:9", slotsCount: requestsCount };
    const backendServers = { first: server, second: { ...server, vmId: "vm2", address: "127.0.0.1:10" } };
    table.apply({ fleet: { backendServers }, drainedServerIds: new Set() } as unknown as AppliedVersion);
    const isRoutable = (): boolean => table.serversInPool("pool").find(({ serverId }) => serverId === "first")!.isRoutable;
    return { timers, table, first: table.get("first")!, isRoutable };
}

describe("a backend server that crashes under many requests", () => {
    it("should be ejected once for them, and be probed when that ejection has expired", () => {
        const { timers, table, first, isRoutable } = createTable();
        const sentAtMs = timers.nowMs();
        timers.advance(10);
        for (let request = 0; request < requestsCount - 1; request++) {
            table.recordOutcome(first, false, sentAtMs);
        }
        assert.equal(isRoutable(), false);
        timers.advance(1_000);
        assert.equal(isRoutable(), true);
        // The last of them, whose connection ended unnoticed, runs into its timeout.
        table.recordOutcome(first, false, sentAtMs);
        assert.equal(isRoutable(), true);
    });

    it("should be ejected for longer each time that a probe fails", () => {
        const { timers, table, first, isRoutable } = createTable();
        for (let request = 0; request < 5; request++) {
            table.recordOutcome(first, false, timers.nowMs());
        }
        for (const ejectionMs of [1_000, 2_000, 4_000]) {
            timers.advance(ejectionMs - 1);
            assert.equal(isRoutable(), false);
            timers.advance(1);
            assert.equal(isRoutable(), true);
            table.recordOutcome(first, false, timers.nowMs());
            assert.equal(isRoutable(), false);
        }
    });
});
