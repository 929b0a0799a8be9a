/** Guards against starts that go on although another run of their task, or its end, has become known. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createSchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";

describe("a run of a task that is known to have ended as done elsewhere", () => {
    it("should be stopped once that end is listed", () => {
        const owner = createSchedulerHarness({ workers: 2 });
        owner.list("w1", { sentAtMs: 0 });
        owner.submit("job", { taskCount: 1 });
        owner.answerStarts(commandOutcomes.accepted);
        owner.list("w1", { running: ["job.0.0.0"] });
        const [first] = owner.commands("start");
        owner.scheduler.workerUnresponsive("w1", owner.nowMs());
        owner.advance(2 * workerLeaseMs);
        owner.list("w2", {});
        owner.answerStarts(commandOutcomes.accepted);
        assert.deepEqual(owner.startedTasks(), ["job.0.0.0", "job.0.0.0"]);
        const second = owner.commands("start")[1]!;
        owner.list("w2", { running: [second] });
        owner.list("w1", { ended: [{ taskName: "job.0.0.0", runId: first!.runId, end: "done" }] });
        assert.deepEqual(owner.commands("stop").map(({ workerId }) => workerId), ["w2"]);
    });
});

describe("a planned start", () => {
    it("should not be sent once a run of its task by an earlier owner is listed", () => {
        const owner = createSchedulerHarness({ workers: 2, token: 100, isSavedManually: true });
        owner.list("w2", { sentAtMs: 0 });
        owner.submit("job", { taskCount: 1 });
        assert.equal(owner.scheduler.hasPlannedStarts(), true);
        owner.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        owner.saveAll();
        owner.saveAll();
        assert.deepEqual(owner.startedTasks(), [], "the task is running");
        assert.deepEqual(owner.commands("stop"), []);
    });
});
