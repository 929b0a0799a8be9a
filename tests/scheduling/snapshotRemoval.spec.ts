/** Guards against a snapshot that outlives its worker's record: the next owner would take runs that began since for ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
import { createSchedulerHarness, type SchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";

const leasesHaveEndedMs = 2 * workerLeaseMs;

/** The store holds a snapshot of w1, whose entry is gone and whose leases have ended. */
function createOwnerWithDepartedWorker(): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 1 });
    const { scheduler } = harness;
    harness.list("w1", { sentAtMs: 0 });
    scheduler.workerUnresponsive("w1", harness.nowMs());
    harness.advance(10);
    scheduler.snapshotStateChanged("w1", snapshotStates.written);
    scheduler.unregisterWorker("w1");
    return harness;
}

describe("a worker whose entry is gone", () => {
    it("should get no starts while the store may hold its snapshot if its entry returns", () => {
        const harness = createOwnerWithDepartedWorker();
        const { scheduler } = harness;
        const { entry } = scheduler.state.workers.get("w1")!;
        harness.advance(leasesHaveEndedMs);
        assert.ok(harness.sent().some(({ kind }) => kind === commandKinds.removeSnapshot));
        scheduler.registerWorker(entry, { nowMs: harness.nowMs(), wallMs: harness.nowMs() });
        harness.list("w1", {});
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), [], "the removal has no response yet");
        scheduler.snapshotStateChanged("w1", snapshotStates.none);
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should have its snapshot removed even if that fails at first", () => {
        const harness = createOwnerWithDepartedWorker();
        const { scheduler } = harness;
        const removalsCount = (): number => harness.sent().filter(({ kind }) => kind === commandKinds.removeSnapshot).length;
        harness.advance(leasesHaveEndedMs);
        assert.deepEqual([...scheduler.state.workers.keys()], []);
        scheduler.snapshotStateChanged("w1", snapshotStates.written);
        harness.advance(10);
        assert.equal(removalsCount(), 2);
        scheduler.snapshotStateChanged("w1", snapshotStates.none);
        harness.advance(10);
        assert.equal(removalsCount(), 2);
    });
});
