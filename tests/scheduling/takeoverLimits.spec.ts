/** Guards against a new owner that counts nothing for the runs of a team on workers that it has not listed yet. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { TeamPolicy } from "../../src/scheduling/jobTypes.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const tasks = (names: readonly number[]) => names.map(index => ({ taskName: `old.0.0.${index}`, runId: 5_000_001 + index }));

/** Two workers of 16 cores, the second of which may run tasks of job `old`, and four tasks of 1 core of job `new`. */
function createTakeover(limitCpuMillicores: number, oldTasksCount: number): SchedulerHarness {
    const team: TeamPolicy = { name: "team", weight: 1, limit: { cpuMillicores: limitCpuMillicores, memoryMb: 0, accelerators: 0 } };
    const harness = createSchedulerHarness({ workers: 2, teams: [team] });
    harness.submit("old", { teamName: "team", taskCount: oldTasksCount, formerWorkerIds: ["w2"] });
    harness.submit("new", { teamName: "team", taskCount: 4 });
    harness.list("w1", { sentAtMs: 0 });
    harness.advance(100);
    return harness;
}

describe("a team's limit after a takeover", () => {
    // QUOTA: tasks start beyond the limit before the worker has been listed on which the team's tasks run.
    it("should cover tasks that may run on a worker which has not been listed", () => {
        const harness = createTakeover(4_000, 4);
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", { sentAtMs: harness.nowMs(), running: tasks([0, 1, 2, 3]) });
        harness.advance(100);
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", {
            sentAtMs: harness.nowMs(),
            running: tasks([0, 1, 2]),
            ended: tasks([3]).map(run => ({ ...run, end: "done" })),
        });
        harness.advance(100);
        assert.equal(harness.startedTasks().length, 1);
    });

    // Guards against a team that waits for an unlisted worker although its limit leaves room.
    it("should allow what it leaves beside tasks that may run", () => {
        assert.equal(createTakeover(6_000, 4).startedTasks().length, 2);
        assert.equal(createTakeover(18_000, 100).startedTasks().length, 2, "an unlisted worker runs no more than it has room for");
    });

    // Guards against a team that waits for good for a worker which never responds.
    it("should count nothing more for an unlisted worker once all leases of earlier owners have ended", () => {
        const harness = createTakeover(4_000, 4);
        harness.advance(10_000);
        harness.list("w1", { sentAtMs: harness.nowMs() });
        harness.advance(100);
        assert.equal(harness.startedTasks().length, 4);
    });
});
