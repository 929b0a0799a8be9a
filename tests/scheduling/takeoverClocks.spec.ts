/** Guards against a worker's clock, or this process's own, deciding that nothing of an earlier owner runs there. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("a worker whose start lies after the takeover by the clocks, although it was before", () => {
    // TWICE: the task that the worker runs is started on another worker too, before the first has been asked.
    it("should hold back the jobs of which it may run tasks until it has been listed", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        const { entry } = scheduler.state.workers.get("w1")!;
        // Its clock is 5 s ahead, and it started 2 s before the takeover.
        scheduler.registerWorker({ ...entry, workerId: "w2", address: "address2", bornWallMs: 3_000 }, { nowMs: 0, wallMs: 0 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w2"] });
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", { sentAtMs: harness.nowMs(), running: [{ taskName: "job.0.0.0", runId: 5_000_001 }] });
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), []);
    });
});
