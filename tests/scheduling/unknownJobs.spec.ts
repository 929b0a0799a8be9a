/** Guards against what is forgotten of jobs that the present owner does not schedule: their ends, and what they use of their teams' limits. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { addStoredJob } from "../../src/process/addStoredJob.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { modelSubmission } from "./modelJob.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("an end of a task whose job's progress cannot be read", () => {
    it("should not be acknowledged while nothing of its job can be stored", () => {
        const owner = createSchedulerHarness({ workers: 1, token: 100 });
        const unreadable: string[] = [];
        const directory = createJobDirectory({ onUnreadable: key => unreadable.push(key) });
        directory.apply(jobKeys.submissionPrefix + "job", encodeSubmission(modelSubmission));
        directory.apply(jobKeys.progressPrefix + "job", JSON.stringify({ state: "a state of a later build" }));
        directory.unfinishedEntries().forEach(entry => addStoredJob(owner.scheduler, entry, 0, key => unreadable.push(key)));
        assert.notDeepEqual(unreadable, []);
        owner.list("w1", { ended: [{ taskName: "job.0.0.0", runId: 7, end: "done" }] });
        assert.equal(owner.scheduler.takeAcknowledgement("w1", owner.nowMs()), 0);
    });
});

describe("a run of a cancelled job in a snapshot", () => {
    it("should count toward its team's limit under the next owner until it has ended", () => {
        const limit = { cpuMillicores: 1_000, memoryMb: 0, accelerators: 0 };
        const owner = createSchedulerHarness({ workers: 2, token: 100, teams: [{ name: "team", limit, weight: 1 }] });
        owner.submit("cancelled", { taskCount: 1, teamName: "team", formerWorkerIds: ["w1"] });
        owner.scheduler.cancelJob("cancelled", 0);
        owner.restoreSnapshot("w1", [["cancelled.0.0.0", 7, 100, true]]);
        owner.list("w2", {});
        owner.submit("job", { taskCount: 1, teamName: "team" });
        owner.advance(10);
        assert.deepEqual(owner.startedTasks(), [], "w1 may still run the other task");
    });
});
