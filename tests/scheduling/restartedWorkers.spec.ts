/** Guards against taking a worker that has restarted under its id for its former incarnation: for its clock, its leases, and its ends. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

/** A pool of two workers that have listed their runs, of which the first starts the only task. */
function createPool(): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 2 });
    harness.list("w1", { sentAtMs: 0 });
    harness.submit("job", { taskCount: 1, isLongRunning: true });
    harness.list("w2", { sentAtMs: 0 });
    return harness;
}

describe("a worker that has restarted under its id", () => {
    it("should get no start before it has listed its runs", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", {});
        harness.restartWorker("w1");
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should lose at once what its former incarnation had listed", () => {
        const harness = createPool();
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { running: ["job.0.0.0"] });
        harness.restartWorker("w1");
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should settle by its first listing the starts that were meant for its former incarnation", () => {
        const harness = createPool();
        harness.restartWorker("w1");
        harness.list("w1", {});
        assert.equal(harness.startedTasks().length, 2, "the start without a response is refused from now on");
    });

    it("should not be taken at its word by a listing that was requested from its former incarnation", () => {
        const harness = createPool();
        harness.scheduler.listingReceived("w1", { bornWallMs: 1, running: [], ended: [] }, 5, { nowMs: 10, wallMs: 10 });
        harness.advance(20);
        assert.equal(harness.startedTasks().length, 1, "a late start may still begin there");
        assert.equal(harness.scheduler.state.workers.get("w1")!.entry.bornWallMs, 1);
    });
});
