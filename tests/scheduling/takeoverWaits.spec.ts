/** Guards against tasks that wait after a takeover for workers on which nothing can run any more. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("a new owner", () => {
    it("should not hold a job back for a worker that has left since the takeover", () => {
        const harness = createSchedulerHarness({ workers: 3, token: 100 });
        const { scheduler } = harness;
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1", "w2"] });
        scheduler.unregisterWorker("w1");
        endIncarnation(scheduler.state, { workerId: "w1", bornWallMs: 0 }, "its VM has moved", { nowMs: 0, wallMs: 0 });
        harness.list("w3", { sentAtMs: 0 });
        assert.deepEqual([...scheduler.state.workers.keys()], ["w2", "w3"]);
        assert.deepEqual(harness.startedTasks(), [], "w2 may run the task");
        harness.list("w2", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });
});
