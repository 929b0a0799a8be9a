/** Guards against tasks that wait after a takeover for workers on which nothing can run any more. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeSnapshot } from "../../src/process/workerSnapshotWriter.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { encodeSnapshot, snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
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

    it("should hold a job back again when a worker restarts that a start of an earlier owner may still reach", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100, formerOwnersEndAtMs: 4_000, cpuMillicores: 0 });
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.list("w1", { sentAtMs: 0 });
        harness.advance(10);
        harness.restartWorker("w1");
        harness.updateEntry("w2", { capacity: { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 } });
        harness.list("w2", {});
        assert.deepEqual(harness.startedTasks(), [], "the new incarnation of w1 has seen no fencing token and may have begun the task");
        harness.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        assert.deepEqual(harness.startedTasks(), []);
    });

    it("should restart a task whose run it has adopted while other tasks of the job may run on an unreachable worker", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("job", { taskCount: 2, isLongRunning: true, formerWorkerIds: ["w1", "w2"] });
        harness.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", runId: 7, end: "failed" }] });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"], "the other task may run on w2");
    });

    it("should store that a job runs whose first start the earlier owner has not stored", () => {
        const harness = createSchedulerHarness({ workers: 1, token: 100, isSavedManually: true });
        harness.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1"] });
        harness.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        assert.deepEqual(harness.scheduler.takeUnsavedJobs(1).map(({ progress }) => progress.state), ["running"]);
    });

    it("should hold back a task whose run had ended before the takeover, since a later one may run on an unreachable worker", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1", "w2"] });
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", runId: 7, end: "failed" }] });
        assert.deepEqual(harness.startedTasks(), []);
    });

    it("should not find a worker that had left among those on which a job may run", () => {
        const harness = createSchedulerHarness({ workers: 2, isSavedManually: true });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        harness.list("w2", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2, isLongRunning: true });
        harness.saveAll();
        harness.answerStarts(commandOutcomes.accepted);
        assert.deepEqual(harness.commands(commandKinds.start).map(run => run.workerId).sort(), ["w1", "w2"]);
        harness.saveAll();
        scheduler.unregisterWorker("w1");
        endIncarnation(scheduler.state, { workerId: "w1", bornWallMs: 0 }, "its VM has moved", { nowMs: 0, wallMs: 0 });
        harness.advance(10);
        assert.equal(harness.commands(commandKinds.start).at(-1)?.workerId, "w2", "a start that needs no write");
        assert.deepEqual(scheduler.takeUnsavedJobs(1).map(({ progress }) => progress.workerIds), [["w2"]]);
    });

    it("should wait for the tasks in a snapshot only until the leases have ended that they had when it was written", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.restoreSnapshot("w1", [["job.0.0.0", 7]], 1_500);
        harness.list("w2", { sentAtMs: 0 });
        harness.advance(1_400);
        assert.deepEqual(harness.startedTasks(), []);
        harness.advance(200);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should not read a snapshot that does not tell how long the leases last, so that the worker stays unknown", () => {
        const { entry } = createSchedulerHarness({ workers: 1 }).scheduler.state.workers.get("w1")!;
        assert.throws(() => decodeSnapshot("w1", JSON.stringify({ entry, runs: [["job.0.0.0", 7]] })), /leaseLeftMs/);
        assert.equal(decodeSnapshot("w1", encodeSnapshot({ entry, runs: [], leaseLeftMs: 0 })).leaseLeftMs, 0);
    });

    it("should not extend the leases of a worker before its snapshot is removed", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        assert.equal(scheduler.mayExtendLeases("w1"), true);
        scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.advance(10);
        scheduler.snapshotStateChanged("w1", snapshotStates.written);
        harness.list("w1", {});
        assert.equal(scheduler.mayExtendLeases("w1"), false, "the next owner may still read the snapshot");
        scheduler.snapshotStateChanged("w1", snapshotStates.none);
        assert.equal(scheduler.mayExtendLeases("w1"), true);
    });
});
