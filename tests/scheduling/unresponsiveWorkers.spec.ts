/** Workers that fall silent, answer again, start anew or lose orders. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { allowedDisruptionsByStep } from "../../src/scheduling/availability.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
import { createSchedulerHarness, taskStopMs } from "./schedulerHarness.js";

describe("silent workers", () => {
    it("should not take new runs for lost on a worker that answers after its lease has ended", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.extendLease("w1");
        driven.advance(20_000);
        driven.submit("job", { taskCount: 1 });
        driven.list("w1", {});
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0"]);
        driven.advance(100);
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0"], "the task was started again");
    });

    it("should start a task elsewhere once the lease of a silent worker has surely ended, and not before", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        driven.extendLease("w1");
        driven.answerStarts(commandOutcomes.accepted);
        driven.advance(5_900);
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 1);
        driven.advance(600);
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 2);
    });

    it("should conclude nothing from silence while the ownership is not proven", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        driven.answerStarts(commandOutcomes.accepted);
        driven.scheduler.setOwnershipProven(false);
        driven.advance(30_000);
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 1);
        driven.scheduler.setOwnershipProven(true);
        driven.advance(100);
        assert.equal(driven.startedTasks().length, 2);
    });

    it("should stop a start that was not answered and wait until the worker is known not to run it", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        driven.answerStarts(commandOutcomes.unknown);
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 1);
        assert.deepEqual(driven.commands(commandKinds.stop).map(run => run.taskName), ["job.0.0.0"]);
        driven.answerStops(commandOutcomes.accepted);
        driven.advance(10);
        driven.list("w1", {});
        assert.equal(driven.startedTasks().length, 2);
    });

    it("should reserve the room of a run until its end is listed", () => {
        const driven = createSchedulerHarness({ workers: 1, cpuMillicores: 1_000 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("first", { taskCount: 1 });
        driven.answerStarts(commandOutcomes.accepted);
        driven.scheduler.cancelJob("first", driven.nowMs());
        driven.submit("second", { taskCount: 1 });
        driven.answerStops(commandOutcomes.accepted);
        driven.advance(10);
        assert.deepEqual(driven.startedTasks(), ["first.0.0.0"]);
        driven.list("w1", { ended: [{ taskName: "first.0.0.0", end: "stopped" }] });
        assert.deepEqual(driven.startedTasks(), ["first.0.0.0", "second.0.0.0"]);
    });

    it("should acknowledge an end only once the store holds it", () => {
        const driven = createSchedulerHarness({ workers: 1, isSavedManually: true });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 2 });
        driven.saveAll();
        driven.answerStarts(commandOutcomes.accepted);
        driven.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }], running: ["job.0.0.1"] });
        assert.equal(driven.scheduler.acknowledgedEndNumber("w1"), 0);
        driven.saveAll();
        assert.equal(driven.scheduler.acknowledgedEndNumber("w1"), 1);
    });

    it("should adopt what an earlier owner started, and hold its jobs back until the workers on record have answered", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("old", { taskCount: 1, formerWorkerIds: ["w2"] });
        driven.list("w1", { sentAtMs: 0 });
        assert.deepEqual(driven.startedTasks(), []);
        driven.list("w2", { running: [{ taskName: "old.0.0.0", runId: 7 }] });
        assert.deepEqual(driven.startedTasks(), [], "the run was not adopted");
        driven.list("w2", { ended: [{ taskName: "old.0.0.0", runId: 7, end: "failed" }] });
        assert.deepEqual(driven.startedTasks(), ["old.0.0.0"]);
        assert.ok(driven.commands(commandKinds.start)[0]!.runId > 7);
    });

    it("should hold back after a takeover only the jobs that may run on a worker out of reach", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("there", { taskCount: 1, formerWorkerIds: ["w1"] });
        driven.submit("gone", { taskCount: 1, formerWorkerIds: ["w9"] });
        driven.submit("here", { taskCount: 1, formerWorkerIds: ["w2"] });
        driven.submit("never started", { taskCount: 1 });
        driven.list("w2", { sentAtMs: 0 });
        assert.deepEqual(driven.startedTasks(), ["here.0.0.0", "never started.0.0.0"]);
        driven.answerStarts(commandOutcomes.accepted);
        for (let second = 0; second <= 10; second++) {
            driven.extendLease("w2");
            driven.list("w2", { running: ["here.0.0.0", "never started.0.0.0"] });
            driven.advance(1_000);
        }
        driven.list("w2", { running: ["here.0.0.0", "never started.0.0.0"] });
        assert.deepEqual(driven.startedTasks().slice(2).sort(), ["gone.0.0.0", "there.0.0.0"]);
    });

    it("should send a start only once the store holds that the job may run there", () => {
        const driven = createSchedulerHarness({ workers: 1, isSavedManually: true });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 2, laterSteps: [{ taskCount: 1 }] });
        assert.deepEqual(driven.startedTasks(), []);
        driven.saveAll();
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0", "job.0.0.1"]);
        driven.answerStarts(commandOutcomes.accepted);
        driven.list("w1", { ended: driven.startedTasks().map(taskName => ({ taskName, end: "done" as const })) });
        assert.equal(driven.startedTasks().at(-1), "job.0.1.0", "another start on the same worker needs no write");
    });

    it("should start only where the store allows it already while it takes no writes", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("first", { taskCount: 1, laterSteps: [{ taskCount: 1 }] });
        driven.answerStarts(commandOutcomes.accepted);
        driven.scheduler.setStoreWritable(false);
        driven.submit("second", { taskCount: 1 });
        driven.list("w1", { ended: [{ taskName: "first.0.0.0", end: "done" }] });
        assert.deepEqual(driven.startedTasks(), ["first.0.0.0", "first.0.1.0"]);
        driven.scheduler.setStoreWritable(true);
        driven.advance(10);
        assert.equal(driven.startedTasks().at(-1), "second.0.0.0");
    });

    it("should start jobs that came after the takeover at once", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("new", { taskCount: 1 });
        driven.list("w1", { sentAtMs: 0 });
        assert.deepEqual(driven.startedTasks(), ["new.0.0.0"]);
    });

    it("should start nothing on a worker before the note of its silence is emptied", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.scheduler.workerUnresponsive("w1", driven.nowMs());
        driven.advance(10);
        driven.scheduler.snapshotStateChanged("w1", snapshotStates.written);
        driven.submit("job", { taskCount: 1 });
        driven.list("w1", {});
        assert.deepEqual(driven.startedTasks(), []);
        driven.scheduler.snapshotStateChanged("w1", snapshotStates.none);
        driven.advance(10);
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0"]);
    });

    it("should wait only for the tasks of a silent worker that an earlier owner wrote down", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("noted", { taskCount: 1, formerWorkerIds: ["w1"] });
        driven.submit("other", { taskCount: 1, formerWorkerIds: ["w1"] });
        driven.restoreSnapshot("w1", [["noted.0.0.0", 7]]);
        driven.list("w2", { sentAtMs: 0 });
        driven.answerStarts(commandOutcomes.accepted);
        assert.deepEqual(driven.startedTasks(), ["other.0.0.0"]);
        driven.advance(2_000);
        driven.extendLease("w2");
        driven.advance(4_500);
        driven.list("w2", { running: ["other.0.0.0"] });
        assert.deepEqual(driven.startedTasks(), ["other.0.0.0", "noted.0.0.0"]);
    });

    it("should keep the later of two runs when a note names the earlier one", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("job", { taskCount: 1, formerWorkerIds: ["w1", "w2"] });
        driven.restoreSnapshot("w1", [["job.0.0.0", 7]]);
        driven.list("w2", { running: [{ taskName: "job.0.0.0", runId: 8 }] });
        assert.deepEqual(driven.commands(commandKinds.stop), []);
        driven.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        assert.deepEqual(driven.commands(commandKinds.stop).map(run => run.runId), [7]);
    });

    it("should repeat a stop until it is answered", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        driven.answerStarts(commandOutcomes.unknown);
        driven.answerStops(commandOutcomes.refused);
        driven.answerStops(commandOutcomes.unknown);
        driven.answerStops(commandOutcomes.accepted);
        assert.equal(driven.commands(commandKinds.stop).length, 3);
        driven.advance(10);
        driven.list("w1", {});
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 2);
    });

    it("should count long-running tasks on a silent worker as unavailable", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.list("w2", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 2, isLongRunning: true, maxUnavailable: 1, maxTasksPerWorker: 1 });
        driven.answerStarts(commandOutcomes.accepted);
        const [first, second] = driven.startedTasks();
        driven.advance(10);
        driven.list(driven.commands(commandKinds.start)[0]!.workerId, { running: [first!] });
        driven.list(driven.commands(commandKinds.start)[1]!.workerId, { running: [second!] });
        assert.deepEqual([...allowedDisruptionsByStep(driven.scheduler.state).values()], [1]);
        driven.scheduler.workerUnresponsive("w1", driven.nowMs());
        assert.deepEqual([...allowedDisruptionsByStep(driven.scheduler.state).values()], [0]);
    });

    it("should count an adopted long-running task as unavailable while an earlier owner's stop may be under way", () => {
        const driven = createSchedulerHarness({ workers: 2, token: 100 });
        driven.submit("job", {
            taskCount: 2,
            isLongRunning: true,
            maxUnavailable: 1,
            maxTasksPerWorker: 1,
            formerWorkerIds: ["w1", "w2"],
        });
        const listBoth = (): void => {
            driven.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
            driven.list("w2", { running: [{ taskName: "job.0.0.1", runId: 8 }] });
        };
        listBoth();
        assert.deepEqual([...allowedDisruptionsByStep(driven.scheduler.state).values()], [0]);
        driven.advance(taskStopMs);
        assert.deepEqual([...allowedDisruptionsByStep(driven.scheduler.state).values()], [0], "nothing was listed since");
        listBoth();
        assert.deepEqual([...allowedDisruptionsByStep(driven.scheduler.state).values()], [1]);
    });

    it("should start nothing beside a run of unknown size until it has ended", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { running: [{ taskName: "over.0.0.0", runId: 3 }], sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        assert.deepEqual(driven.startedTasks(), []);
        driven.answerStops(commandOutcomes.accepted);
        driven.advance(10);
        driven.list("w1", { ended: [{ taskName: "over.0.0.0", runId: 3, end: "stopped" }] });
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0"]);
    });
});
