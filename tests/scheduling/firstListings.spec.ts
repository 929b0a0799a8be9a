/** Checks that a new owner first asks those workers what they run on which waiting tasks can start then. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { orderFirstListings } from "../../src/scheduling/firstListings.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("the first listings of a term", () => {
    it("should begin with workers that tasks wait for, and end with those that get no starts", () => {
        const harness = createSchedulerHarness({ workers: 5, token: 100 });
        harness.updateEntry("w1", { poolName: "other" });
        harness.updateEntry("w3", { poolName: "other" });
        harness.scheduler.unregisterWorker("w2");
        harness.restoreSnapshot("w5", [], 1_000);
        harness.submit("new", { taskCount: 4 });
        harness.submit("held", { taskCount: 2, formerWorkerIds: ["w3"] });
        const { state } = harness.scheduler;
        const ordered = orderFirstListings(state, [...state.workers.values()], harness.nowMs());
        assert.deepEqual(ordered.map(({ entry }) => entry.workerId), ["w5", "w4", "w3", "w1", "w2"]);
    });
});
