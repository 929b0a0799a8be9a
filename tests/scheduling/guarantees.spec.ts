/** Guarantees that the scheduler gives for jobs, teams, gangs and long-running tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("the scheduler's guarantees", () => {
    it("should never exceed a team's limit, and start more of its tasks when some have ended", () => {
        const limit = { cpuMillicores: 2_500, memoryMb: 0, accelerators: 0 };
        const harness = createSchedulerHarness({ workers: 2, teams: [{ name: "team", weight: 1, limit }] });
        harness.list("w1", { sentAtMs: 0 });
        harness.list("w2", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 5, teamName: "team" });
        harness.answerStarts(commandOutcomes.accepted);
        assert.equal(harness.startedTasks().length, 2);
        const [first] = harness.commands(commandKinds.start);
        harness.advance(10);
        harness.list(first!.workerId, { ended: [{ taskName: first!.taskName, end: "done" }], running: [harness.startedTasks()[1]!] });
        assert.equal(harness.startedTasks().length, 3);
    });

    it("should not start a step before all tasks of the step that it depends on are done", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2, laterSteps: [{ taskCount: 1 }] });
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }], running: ["job.0.0.1"] });
        assert.equal(harness.startedTasks().length, 2);
        harness.list("w1", { ended: [{ taskName: "job.0.0.1", end: "done" }] });
        assert.equal(harness.startedTasks().at(-1), "job.0.1.0");
    });

    it("should fail a job when one task has used up its attempts, and count only failures as attempts", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        const endWith = (end: "failed" | "lapsed"): void => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.advance(10);
            harness.list("w1", { ended: [{ taskName: "job.0.0.0", end }] });
        };
        endWith("failed");
        endWith("lapsed");
        assert.equal(harness.scheduler.state.jobs.get("job")?.state, "running");
        endWith("failed");
        assert.equal(harness.scheduler.state.jobs.get("job")?.state, "failed");
        assert.equal(harness.startedTasks().length, 3);
    });

    it("should not fail a job because the configuration does not have its queue at present", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { policy } = harness.scheduler.state;
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.setPolicy({ ...policy, queues: new Map() });
        harness.advance(10);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        assert.equal(harness.scheduler.state.jobs.get("job")?.state, "running");
        harness.scheduler.setPolicy(policy);
        harness.advance(10);
        assert.equal(harness.startedTasks().length, 2);
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.setPolicy({ ...policy, queues: new Map() });
        harness.advance(10);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        assert.equal(harness.scheduler.state.jobs.get("job")?.state, "failed", "its two attempts are used up");
    });

    it("should count a failure once when the worker lists the same end to the next owner", () => {
        const earlier = createSchedulerHarness({ workers: 1, token: 10 });
        earlier.list("w1", { sentAtMs: 0 });
        earlier.submit("job", { taskCount: 1 });
        earlier.answerStarts(commandOutcomes.accepted);
        const { runId } = earlier.commands(commandKinds.start)[0]!;
        earlier.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        const progress = progressOf(earlier.scheduler.state.jobs.get("job")!);

        // The failure is stored but not acknowledged yet, so the worker lists the end again.
        const next = createSchedulerHarness({ workers: 1, token: 20 });
        next.submit("job", { taskCount: 1, progress });
        next.list("w1", { sentAtMs: 0, ended: [{ taskName: "job.0.0.0", runId, end: "failed" }] });
        assert.equal(next.scheduler.state.jobs.get("job")?.state, "running");
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"]);
        next.answerStarts(commandOutcomes.accepted);
        next.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        assert.equal(next.scheduler.state.jobs.get("job")?.state, "failed");
    });

    it("should restart a long-running task no matter how often it fails, from its last checkpoint", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        for (let failure = 1; failure <= 5; failure++) {
            harness.answerStarts(commandOutcomes.accepted);
            harness.advance(5_000);
            harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed", checkpoint: `c${failure}` }] });
            harness.list("w1", {});
        }
        assert.equal(harness.startedTasks().length, 6);
        assert.equal(harness.scheduler.state.jobs.get("job")?.state, "running");
    });

    it("should start all tasks of a gang with the same run id, or none of them", () => {
        const harness = createSchedulerHarness({ workers: 2, cpuMillicores: 2_000 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("gang", { taskCount: 4, isGang: true });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 4);
        assert.equal(new Set(harness.commands(commandKinds.start).map(run => run.runId)).size, 1);
    });

    it("should not exceed the maximum number of a step's tasks on one worker", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.list("w2", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 5, maxTasksPerWorker: 2 });
        assert.deepEqual(harness.commands(commandKinds.start).map(run => run.workerId).sort(), ["w1", "w1", "w2", "w2"]);
    });

    it("should start nothing on a draining worker and stop the long-running tasks on it", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("serving", { taskCount: 1, isLongRunning: true });
        harness.answerStarts(commandOutcomes.accepted);
        const worker = harness.scheduler.state.workers.get("w1")!;
        harness.scheduler.registerWorker({ ...worker.entry, isDraining: true }, { nowMs: harness.nowMs(), wallMs: harness.nowMs() });
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), ["serving.0.0.0"]);
        assert.deepEqual(harness.commands(commandKinds.stop).map(run => run.taskName), ["serving.0.0.0"]);
    });

    it("should stop the running tasks of a cancelled job and start no more of them", () => {
        const harness = createSchedulerHarness({ workers: 1, cpuMillicores: 1_000 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 2 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.cancelJob("job", harness.nowMs());
        harness.advance(10);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "stopped" }] });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        assert.deepEqual(harness.scheduler.takeUnsavedJobs(10).map(job => job.progress.state), ["cancelled"]);
    });

    it("should not start an occurrence before it is due", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("timed", { taskCount: 1, repeat: { firstDueWallMs: 1_000, intervalMs: 1_000, count: 2 } });
        assert.deepEqual(harness.startedTasks(), []);
        harness.advance(1_000);
        assert.deepEqual(harness.startedTasks(), ["timed.0.0.0"]);
        harness.advance(1_000);
        assert.deepEqual(harness.startedTasks(), ["timed.0.0.0", "timed.1.0.0"]);
    });

    it("should avoid a worker on which three jobs fail in a row, but not one on which a single job fails repeatedly", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("bad", { taskCount: 4 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { ended: [0, 1, 2, 3].map(task => ({ taskName: `bad.0.0.${task}`, end: "failed" as const })) });
        assert.equal(harness.startedTasks().length, 8, "the worker is avoided because of a single job");
        harness.submit("second", { taskCount: 1 });
        harness.submit("third", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { ended: ["second", "third"].map(jobId => ({ taskName: `${jobId}.0.0.0`, end: "failed" as const })) });
        harness.submit("fourth", { taskCount: 1 });
        assert.equal(harness.startedTasks().includes("fourth.0.0.0"), false);
        harness.advance(4_100);
        harness.list("w1", {});
        assert.equal(harness.startedTasks().includes("fourth.0.0.0"), true);
    });

    it("should not take a run for lost while the worker has more ends than it lists", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(100);
        harness.list("w1", { hasMoreEnds: true });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }] });
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should start no task of an earlier owner before all ends of its worker are listed", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        harness.list("w1", { hasMoreEnds: true });
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });
});
