/** Workers that stop responding, respond again, or lose commands, and what a new owner concludes about them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { allowedDisruptionsByStep } from "../../src/scheduling/availability.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, taskStopMs } from "./schedulerHarness.js";

describe("unresponsive workers", () => {
    it("should not treat new runs as lost on a worker that responds after its lease has ended", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.extendLease("w1");
        harness.advance(20_000);
        harness.submit("job", { taskCount: 1 });
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"], "the task was started twice");
    });

    it("should start a task on another worker only once the lease of an unresponsive worker has certainly ended", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.extendLease("w1");
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(5_900);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1);
        harness.advance(600);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should not expire the leases of unresponsive workers while the ownership is not proven", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.setOwnershipProven(false);
        harness.advance(30_000);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1);
        harness.scheduler.setOwnershipProven(true);
        harness.advance(100);
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should start nothing on a worker that restarted while the ownership was not proven, since it has forgotten newer owners", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        scheduler.setOwnershipProven(false);
        scheduler.registerWorker({ ...scheduler.state.workers.get("w1")!.entry, bornWallMs: 1 }, { nowMs: 0, wallMs: 0 });
        const listAgain = (): void => {
            const nowMs = harness.nowMs();
            scheduler.listingReceived("w1", { bornWallMs: 1, running: [], ended: [] }, nowMs, { nowMs, wallMs: nowMs });
            harness.advance(10);
        };
        harness.submit("job", { taskCount: 1 });
        listAgain();
        assert.deepEqual(harness.startedTasks(), []);
        scheduler.setOwnershipProven(true);
        listAgain();
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should not take a run for lost that the next incarnation of its worker may have accepted", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        const listNextIncarnation = (sentAtMs: number, runs: readonly Run[]): void => {
            const running = runs.map(({ taskName, runId }) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
            const moment = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
            scheduler.listingReceived("w1", { bornWallMs: 1, running, ended: [] }, sentAtMs, moment);
            harness.advance(10);
        };
        harness.advance(100);
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w2", {});
        // Requested before the new incarnation accepted the start, and received after the response to it.
        listNextIncarnation(50, []);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1, "the task was started twice");
        listNextIncarnation(harness.nowMs(), [run!]);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1);
        listNextIncarnation(harness.nowMs(), []);
        assert.equal(harness.startedTasks().length, 2, "the run is gone");
    });

    it("should send a stop for a start without a response, and wait until the worker is known not to run it", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.unknown);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1);
        assert.deepEqual(harness.commands(commandKinds.stop).map(run => run.taskName), ["job.0.0.0"]);
        harness.answerStops(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", {});
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should reserve the resources of a run until its end is listed", () => {
        const harness = createSchedulerHarness({ workers: 1, cpuMillicores: 1_000 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("first", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.cancelJob("first", harness.nowMs());
        harness.submit("second", { taskCount: 1 });
        harness.answerStops(commandOutcomes.accepted);
        harness.advance(10);
        assert.deepEqual(harness.startedTasks(), ["first.0.0.0"]);
        harness.list("w1", { ended: [{ taskName: "first.0.0.0", end: "stopped" }] });
        assert.deepEqual(harness.startedTasks(), ["first.0.0.0", "second.0.0.0"]);
    });

    it("should acknowledge an end only once it is stored", () => {
        const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2 });
        harness.saveAll();
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }], running: ["job.0.0.1"] });
        assert.equal(harness.scheduler.takeAcknowledgement("w1", harness.nowMs()), 0);
        harness.saveAll();
        assert.equal(harness.scheduler.takeAcknowledgement("w1", harness.nowMs()), 1);
    });

    it("should adopt runs of an earlier owner, and hold their jobs back until the workers stored for them have responded", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("old", { taskCount: 1, formerWorkerIds: ["w2"] });
        harness.list("w1", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", { running: [{ taskName: "old.0.0.0", runId: 7 }] });
        assert.deepEqual(harness.startedTasks(), [], "the run was not adopted");
        harness.list("w2", { ended: [{ taskName: "old.0.0.0", runId: 7, end: "failed" }] });
        assert.deepEqual(harness.startedTasks(), ["old.0.0.0"]);
        assert.ok(harness.commands(commandKinds.start)[0]!.runId > 7);
    });

    it("should hold back after a takeover only the jobs that may run on an unreachable worker", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("there", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.submit("gone", { taskCount: 1, formerWorkerIds: ["w9"] });
        harness.submit("here", { taskCount: 1, formerWorkerIds: ["w2"] });
        harness.submit("never started", { taskCount: 1 });
        harness.list("w2", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["here.0.0.0", "never started.0.0.0"]);
        harness.answerStarts(commandOutcomes.accepted);
        for (let second = 0; second <= 10; second++) {
            harness.extendLease("w2");
            harness.list("w2", { running: ["here.0.0.0", "never started.0.0.0"] });
            harness.advance(1_000);
        }
        harness.list("w2", { running: ["here.0.0.0", "never started.0.0.0"] });
        assert.deepEqual(harness.startedTasks().slice(2).sort(), ["gone.0.0.0", "there.0.0.0"]);
    });

    it("should send a start only once the store lists the worker for the job", () => {
        const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2, laterSteps: [{ taskCount: 1 }] });
        assert.deepEqual(harness.startedTasks(), []);
        harness.saveAll();
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0", "job.0.0.1"]);
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w1", { ended: harness.startedTasks().map(taskName => ({ taskName, end: "done" as const })) });
        assert.equal(harness.startedTasks().at(-1), "job.0.1.0", "another start on the same worker must not need a write");
    });

    it("should send starts only to workers that the store already lists while it takes no writes", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("first", { taskCount: 1, laterSteps: [{ taskCount: 1 }] });
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.setStoreWritable(false);
        harness.submit("second", { taskCount: 1 });
        harness.list("w1", { ended: [{ taskName: "first.0.0.0", end: "done" }] });
        assert.deepEqual(harness.startedTasks(), ["first.0.0.0", "first.0.1.0"]);
        harness.scheduler.setStoreWritable(true);
        harness.advance(10);
        assert.equal(harness.startedTasks().at(-1), "second.0.0.0");
    });

    it("should start jobs that were submitted after the takeover at once", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("new", { taskCount: 1 });
        harness.list("w1", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["new.0.0.0"]);
    });

    it("should start nothing on a worker before its snapshot is removed", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.advance(10);
        harness.scheduler.snapshotStateChanged("w1", snapshotStates.written);
        harness.submit("job", { taskCount: 1 });
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), []);
        harness.scheduler.snapshotStateChanged("w1", snapshotStates.none);
        harness.advance(10);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should wait only for the tasks in the snapshot that an earlier owner wrote of an unresponsive worker", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("recorded", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.submit("other", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.restoreSnapshot("w1", [["recorded.0.0.0", 7]]);
        harness.list("w2", { sentAtMs: 0 });
        harness.answerStarts(commandOutcomes.accepted);
        assert.deepEqual(harness.startedTasks(), ["other.0.0.0"]);
        harness.advance(2_000);
        harness.extendLease("w2");
        harness.advance(4_500);
        harness.list("w2", { running: ["other.0.0.0"] });
        assert.deepEqual(harness.startedTasks(), ["other.0.0.0", "recorded.0.0.0"]);
    });

    it("should keep the later of two runs when a snapshot contains the earlier one", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1", "w2"] });
        harness.restoreSnapshot("w1", [["job.0.0.0", 7]]);
        harness.list("w2", { running: [{ taskName: "job.0.0.0", runId: 8 }] });
        assert.deepEqual(harness.commands(commandKinds.stop), []);
        harness.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        assert.deepEqual(harness.commands(commandKinds.stop).map(run => run.runId), [7]);
    });

    it("should repeat a stop until it is accepted", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.unknown);
        harness.answerStops(commandOutcomes.refused);
        harness.answerStops(commandOutcomes.unknown);
        harness.answerStops(commandOutcomes.accepted);
        assert.equal(harness.commands(commandKinds.stop).length, 3);
        harness.advance(10);
        harness.list("w1", {});
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should count long-running tasks on an unresponsive worker as unavailable", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.list("w2", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2, isLongRunning: true, maxUnavailable: 1, maxTasksPerWorker: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        const [first, second] = harness.startedTasks();
        harness.advance(10);
        harness.list(harness.commands(commandKinds.start)[0]!.workerId, { running: [first!] });
        harness.list(harness.commands(commandKinds.start)[1]!.workerId, { running: [second!] });
        assert.deepEqual([...allowedDisruptionsByStep(harness.scheduler.state).values()], [1]);
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        assert.deepEqual([...allowedDisruptionsByStep(harness.scheduler.state).values()], [0]);
    });

    it("should count an adopted long-running task as unavailable while a stop of an earlier owner may be in progress", () => {
        const harness = createSchedulerHarness({ workers: 2, token: 100 });
        harness.submit("job", {
            taskCount: 2,
            isLongRunning: true,
            maxUnavailable: 1,
            maxTasksPerWorker: 1,
            formerWorkerIds: ["w1", "w2"],
        });
        const listBoth = (): void => {
            harness.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
            harness.list("w2", { running: [{ taskName: "job.0.0.1", runId: 8 }] });
        };
        listBoth();
        assert.deepEqual([...allowedDisruptionsByStep(harness.scheduler.state).values()], [0]);
        harness.advance(taskStopMs);
        assert.deepEqual([...allowedDisruptionsByStep(harness.scheduler.state).values()], [0], "nothing was listed since");
        listBoth();
        assert.deepEqual([...allowedDisruptionsByStep(harness.scheduler.state).values()], [1]);
    });

    it("should start nothing on the worker of a run of unknown size until that run has ended", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { running: [{ taskName: "over.0.0.0", runId: 3 }], sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.answerStops(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { ended: [{ taskName: "over.0.0.0", runId: 3, end: "stopped" }] });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });
});
