/** What the scheduler promises of jobs, teams, gangs and long-running tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("the scheduler's promises", () => {
    it("should never have more of a team running than its limit, and go on when some of it ends", () => {
        const limit = { cpuMillicores: 2_500, memoryMb: 0, accelerators: 0 };
        const driven = createSchedulerHarness({ workers: 2, teams: [{ name: "team", weight: 1, limit }] });
        driven.list("w1", { sentAtMs: 0 });
        driven.list("w2", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 5, teamName: "team" });
        driven.answerStarts(commandOutcomes.accepted);
        assert.equal(driven.startedTasks().length, 2);
        const [first] = driven.commands(commandKinds.start);
        driven.advance(10);
        driven.list(first!.workerId, { ended: [{ taskName: first!.taskName, end: "done" }], running: [driven.startedTasks()[1]!] });
        assert.equal(driven.startedTasks().length, 3);
    });

    it("should not start a step before all tasks of the one that it depends on are done", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 2, laterSteps: [{ taskCount: 1 }] });
        driven.answerStarts(commandOutcomes.accepted);
        driven.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }], running: ["job.0.0.1"] });
        assert.equal(driven.startedTasks().length, 2);
        driven.list("w1", { ended: [{ taskName: "job.0.0.1", end: "done" }] });
        assert.equal(driven.startedTasks().at(-1), "job.0.1.0");
    });

    it("should fail a job when one task has failed as often as it may, and count nothing else", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1 });
        const endWith = (end: "failed" | "lapsed"): void => {
            driven.answerStarts(commandOutcomes.accepted);
            driven.advance(10);
            driven.list("w1", { ended: [{ taskName: "job.0.0.0", end }] });
        };
        endWith("failed");
        endWith("lapsed");
        assert.equal(driven.scheduler.state.jobs.get("job")?.state, "running");
        endWith("failed");
        assert.equal(driven.scheduler.state.jobs.get("job")?.state, "failed");
        assert.equal(driven.startedTasks().length, 3);
    });

    it("should count a failure once when the next owner is told of the same end again", () => {
        const earlier = createSchedulerHarness({ workers: 1, token: 10 });
        earlier.list("w1", { sentAtMs: 0 });
        earlier.submit("job", { taskCount: 1 });
        earlier.answerStarts(commandOutcomes.accepted);
        const { runId } = earlier.commands(commandKinds.start)[0]!;
        earlier.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        const progress = progressOf(earlier.scheduler.state.jobs.get("job")!);

        // Written, and not yet acknowledged to the worker, which lists the end again.
        const next = createSchedulerHarness({ workers: 1, token: 20 });
        next.submit("job", { taskCount: 1, progress });
        next.list("w1", { sentAtMs: 0, ended: [{ taskName: "job.0.0.0", runId, end: "failed" }] });
        assert.equal(next.scheduler.state.jobs.get("job")?.state, "running");
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"]);
        next.answerStarts(commandOutcomes.accepted);
        next.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        assert.equal(next.scheduler.state.jobs.get("job")?.state, "failed");
    });

    it("should restart a long-running task however often it fails, from its last checkpoint", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 1, isLongRunning: true });
        for (let failure = 1; failure <= 5; failure++) {
            driven.answerStarts(commandOutcomes.accepted);
            driven.advance(5_000);
            driven.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed", checkpoint: `c${failure}` }] });
            driven.list("w1", {});
        }
        assert.equal(driven.startedTasks().length, 6);
        assert.equal(driven.scheduler.state.jobs.get("job")?.state, "running");
    });

    it("should start a gang whole, with one run id, or not at all", () => {
        const driven = createSchedulerHarness({ workers: 2, cpuMillicores: 2_000 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("gang", { taskCount: 4, isGang: true });
        assert.deepEqual(driven.startedTasks(), []);
        driven.list("w2", {});
        assert.equal(driven.startedTasks().length, 4);
        assert.equal(new Set(driven.commands(commandKinds.start).map(run => run.runId)).size, 1);
    });

    it("should keep to the most tasks of a step on one worker", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.list("w2", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 5, maxTasksPerWorker: 2 });
        assert.deepEqual(driven.commands(commandKinds.start).map(run => run.workerId).sort(), ["w1", "w1", "w2", "w2"]);
    });

    it("should start nothing on a draining worker and take long-running tasks away from it", () => {
        const driven = createSchedulerHarness({ workers: 2 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("serving", { taskCount: 1, isLongRunning: true });
        driven.answerStarts(commandOutcomes.accepted);
        const worker = driven.scheduler.state.workers.get("w1")!;
        driven.scheduler.registerWorker({ ...worker.entry, isDraining: true }, { nowMs: driven.nowMs(), wallMs: driven.nowMs() });
        driven.submit("job", { taskCount: 1 });
        assert.deepEqual(driven.startedTasks(), ["serving.0.0.0"]);
        assert.deepEqual(driven.commands(commandKinds.stop).map(run => run.taskName), ["serving.0.0.0"]);
    });

    it("should stop what runs of a cancelled job and start nothing more of it", () => {
        const driven = createSchedulerHarness({ workers: 1, cpuMillicores: 1_000 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("job", { taskCount: 2 });
        driven.answerStarts(commandOutcomes.accepted);
        driven.scheduler.cancelJob("job", driven.nowMs());
        driven.advance(10);
        driven.list("w1", { ended: [{ taskName: "job.0.0.0", end: "stopped" }] });
        assert.deepEqual(driven.startedTasks(), ["job.0.0.0"]);
        assert.deepEqual(driven.scheduler.takeUnsavedJobs(10).map(job => job.progress.state), ["cancelled"]);
    });

    it("should not start an occurrence before it is due", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("timed", { taskCount: 1, repeat: { firstDueWallMs: 1_000, intervalMs: 1_000, count: 2 } });
        assert.deepEqual(driven.startedTasks(), []);
        driven.advance(1_000);
        assert.deepEqual(driven.startedTasks(), ["timed.0.0.0"]);
        driven.advance(1_000);
        assert.deepEqual(driven.startedTasks(), ["timed.0.0.0", "timed.1.0.0"]);
    });

    it("should avoid a worker that fails three jobs in a row, and not for the failures of one job", () => {
        const driven = createSchedulerHarness({ workers: 1 });
        driven.list("w1", { sentAtMs: 0 });
        driven.submit("bad", { taskCount: 4 });
        driven.answerStarts(commandOutcomes.accepted);
        driven.advance(10);
        driven.list("w1", { ended: [0, 1, 2, 3].map(task => ({ taskName: `bad.0.0.${task}`, end: "failed" as const })) });
        assert.equal(driven.startedTasks().length, 8, "one bad job made the worker avoided");
        driven.submit("second", { taskCount: 1 });
        driven.submit("third", { taskCount: 1 });
        driven.answerStarts(commandOutcomes.accepted);
        driven.advance(10);
        driven.list("w1", { ended: ["second", "third"].map(jobId => ({ taskName: `${jobId}.0.0.0`, end: "failed" as const })) });
        driven.submit("fourth", { taskCount: 1 });
        assert.equal(driven.startedTasks().includes("fourth.0.0.0"), false);
        driven.advance(4_100);
        driven.list("w1", {});
        assert.equal(driven.startedTasks().includes("fourth.0.0.0"), true);
    });
});
