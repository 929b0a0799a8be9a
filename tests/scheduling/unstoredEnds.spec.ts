/** Guards against an end that only the former owner knew: the next one took its worker for known, and started the task again. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { maxLeaseMs } from "../../src/scheduling/leases.js";
import { commandKinds, type RunEnd } from "../../src/scheduling/schedulerState.js";
import type { WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { createSchedulerHarness, type SchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";

/** An owner that has received the end of the job's only task from w1, has not stored it, and has no other worker to start it on. */
function createOwnerWithUnstoredEnd(end: RunEnd): SchedulerHarness {
    const owner = createSchedulerHarness({ workers: 2, isSavedManually: true });
    owner.list("w1", { sentAtMs: 0 });
    owner.submit("job", { taskCount: 1 });
    owner.saveAll();
    owner.answerStarts(commandOutcomes.accepted);
    owner.list("w1", { running: ["job.0.0.0"] });
    owner.saveAll();
    owner.updateEntry("w1", { isDraining: true });
    owner.list("w1", { ended: [{ taskName: "job.0.0.0", end }] });
    return owner;
}

function writtenSnapshots(owner: SchedulerHarness): WorkerSnapshot[] {
    return owner.sent().flatMap(command => command.kind === commandKinds.writeSnapshot ? [command.snapshot] : []);
}

function lastRunId(owner: SchedulerHarness): number {
    return owner.commands(commandKinds.start).at(-1)!.runId;
}

/** The owner after `former`, which has not stored the end, once w2 has listed its runs. */
function createNextOwner(former: SchedulerHarness): SchedulerHarness {
    const next = createSchedulerHarness({ workers: 2, token: 100 });
    next.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
    for (const { runs, leaseLeftMs } of writtenSnapshots(former)) {
        next.restoreSnapshot("w1", runs, leaseLeftMs);
    }
    next.list("w2", {});
    next.advance(10);
    return next;
}

describe("an end that is not stored yet", () => {
    it("should keep the next owner from starting the task again if its worker has stopped responding", () => {
        const former = createOwnerWithUnstoredEnd("done");
        former.scheduler.workerUnresponsive("w1", former.nowMs());
        former.advance(10);
        const next = createNextOwner(former);
        assert.deepEqual(next.startedTasks(), [], "w1 has ended the task");
        next.list("w1", { ended: [{ taskName: "job.0.0.0", runId: lastRunId(former), end: "done" }] });
        assert.deepEqual(next.scheduler.state.jobs.get("job")?.state, "completed");
        next.advance(10);
        assert.deepEqual(next.startedTasks(), []);
    });

    it("should count once as an attempt under the next owner if its worker has stopped responding", () => {
        const former = createOwnerWithUnstoredEnd("failed");
        former.scheduler.workerUnresponsive("w1", former.nowMs());
        former.advance(10);
        const next = createNextOwner(former);
        assert.deepEqual(next.startedTasks(), [], "another attempt may be one too many");
        next.list("w1", { ended: [{ taskName: "job.0.0.0", runId: lastRunId(former), end: "failed" }] });
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"]);
        const { steps } = next.scheduler.state.jobs.get("job")!.occurrences.get(0)!;
        assert.deepEqual(steps[0]!.tasks.get(0)?.failedRunIds, [lastRunId(former)]);
    });

    it("should be waited for no longer than its worker's leases may last", () => {
        const former = createOwnerWithUnstoredEnd("done");
        former.scheduler.workerUnresponsive("w1", former.nowMs());
        former.advance(10);
        const next = createNextOwner(former);
        next.scheduler.workerUnresponsive("w1", next.nowMs());
        next.advance(maxLeaseMs(workerLeaseMs) - 100);
        next.list("w2", {});
        assert.deepEqual(next.startedTasks(), []);
        next.advance(200);
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"]);
    });

    it("should not be among the runs of a snapshot once it is stored", () => {
        const owner = createOwnerWithUnstoredEnd("done");
        owner.saveAll();
        owner.scheduler.workerUnresponsive("w1", owner.nowMs());
        owner.advance(10);
        assert.deepEqual(writtenSnapshots(owner).map(({ runs }) => runs), [[]]);
    });
});

describe("a planned start", () => {
    it("should not be sent once an earlier run of its task is known to have ended as done", () => {
        const owner = createSchedulerHarness({ workers: 2, token: 100, isSavedManually: true });
        owner.list("w2", { sentAtMs: 0 });
        owner.submit("job", { taskCount: 1, laterSteps: [{ taskCount: 1 }] });
        assert.equal(owner.scheduler.hasPlannedStarts(), true);
        owner.list("w1", { ended: [{ taskName: "job.0.0.0", runId: 7, end: "done" }] });
        owner.saveAll();
        owner.saveAll();
        assert.deepEqual(owner.startedTasks(), ["job.0.1.0"]);
    });

    it("should not be sent for a gang that is known to have ended as done", () => {
        const owner = createSchedulerHarness({ workers: 2, token: 100, isSavedManually: true });
        owner.list("w2", { sentAtMs: 0 });
        owner.submit("job", { taskCount: 2, isGang: true, laterSteps: [{ taskCount: 1 }] });
        assert.equal(owner.scheduler.hasPlannedStarts(), true);
        owner.list("w1", { ended: [{ taskName: "job.0.0.1", runId: 7, end: "done" }] });
        owner.saveAll();
        owner.saveAll();
        assert.deepEqual(owner.startedTasks(), ["job.0.1.0"]);
    });
});
