/**
 * Guards against tasks of a held-back job that start although an earlier owner may have started them: that the store shows a step's
 * predecessors as unfinished does not show that the step has not been started, since a start does not wait for the write of the ends that it
 * rests on.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, type JobInput, type SchedulerHarness } from "./schedulerHarness.js";

/** A first step, one beside it that keeps its worker in the store's set, and a step that depends on the first only. */
const jobInput: JobInput = { laterSteps: [{ dependsOn: [] }, { dependsOn: [0] }] };
const first = "job.0.0.0";
const beside = "job.0.1.0";
const dependent = "job.0.2.0";

interface FormerOwner {
    owner: SchedulerHarness;
    /** What the store holds of the job when the first step has ended. */
    stored: JobProgress;
    firstWorkerId: string;
    besideWorkerId: string;
    /** The worker that runs nothing of the job yet. */
    otherWorkerId: string;
}

function workerOf(owner: SchedulerHarness, taskName: string): string {
    return owner.commands("start").findLast(run => run.taskName === taskName)!.workerId;
}

function runIdOf(owner: SchedulerHarness, taskName: string): number {
    return owner.commands("start").findLast(run => run.taskName === taskName)!.runId;
}

/** An owner with a run of the first step and one of the step beside it, each on a worker that the store lists, and a third worker. */
function createFormerOwner(): FormerOwner {
    const owner = createSchedulerHarness({ workers: 3, cpuMillicores: 1_000, isSavedManually: true });
    ["w1", "w2"].forEach(workerId => owner.list(workerId, { sentAtMs: 0 }));
    owner.submit("job", jobInput);
    owner.saveAll();
    owner.answerStarts(commandOutcomes.accepted);
    const [firstWorkerId, besideWorkerId] = [workerOf(owner, first), workerOf(owner, beside)];
    owner.list(firstWorkerId, { running: [first], isExtension: true });
    owner.list(besideWorkerId, { running: [beside] });
    owner.saveAll();
    const stored = JSON.parse(JSON.stringify(progressOf(owner.scheduler.state.jobs.get("job")!))) as JobProgress;
    // Room for the dependent step on the worker beside.
    owner.updateEntry(besideWorkerId, { capacity: { cpuMillicores: 2_000, memoryMb: 64_000, accelerators: 0 } });
    return { owner, stored, firstWorkerId, besideWorkerId, otherWorkerId: "w3" };
}

describe("a step of a job that is held back", () => {
    it("should wait although its predecessors' ends are not stored, since an earlier owner starts it before it stores them", () => {
        const { owner, stored, firstWorkerId, besideWorkerId } = createFormerOwner();
        owner.updateEntry(firstWorkerId, { isDraining: true });
        owner.list(firstWorkerId, { ended: [{ taskName: first, end: "done" }] });
        assert.equal(workerOf(owner, dependent), besideWorkerId, "sent without a write: the store lists the worker");
        assert.deepEqual(stored.occurrences?.["0"]?.map(({ done }) => done), [[], [], []]);

        const next = createSchedulerHarness({ workers: 3, token: 100 });
        next.submit("job", { ...jobInput, progress: stored });
        next.list("w3", { sentAtMs: 0 });
        next.list(firstWorkerId, { ended: [{ taskName: first, runId: runIdOf(owner, first), end: "done" }] });
        assert.deepEqual(next.startedTasks(), [], `${besideWorkerId} runs the task`);
        next.list(besideWorkerId, { running: [beside, dependent].map(taskName => ({ taskName, runId: runIdOf(owner, taskName) })) });
        next.advance(10);
        assert.deepEqual(next.startedTasks(), []);
    });

    it("should wait although a run of its predecessor was listed and ended in this term, since an earlier run may have been done", () => {
        const { owner, firstWorkerId, besideWorkerId, otherWorkerId } = createFormerOwner();
        const firstRunId = runIdOf(owner, first);
        owner.scheduler.workerUnresponsive(firstWorkerId, owner.nowMs());
        owner.updateEntry(besideWorkerId, { capacity: { cpuMillicores: 1_000, memoryMb: 64_000, accelerators: 0 } });
        for (let passedMs = 0; passedMs < 12_000 && workerOf(owner, first) === firstWorkerId; passedMs += 500) {
            owner.advance(500);
            owner.list(otherWorkerId, {});
            owner.list(besideWorkerId, { running: [beside], isExtension: true });
            owner.saveAll();
        }
        assert.equal(workerOf(owner, first), otherWorkerId, "the first run's lease has ended");
        owner.answerStarts(commandOutcomes.accepted);
        owner.list(otherWorkerId, { running: [first] });
        owner.saveAll();
        const stored = JSON.parse(JSON.stringify(progressOf(owner.scheduler.state.jobs.get("job")!))) as JobProgress;
        owner.updateEntry(besideWorkerId, { capacity: { cpuMillicores: 2_000, memoryMb: 64_000, accelerators: 0 } });
        owner.list(besideWorkerId, { running: [beside] });
        owner.list(firstWorkerId, { ended: [{ taskName: first, runId: firstRunId, end: "done" }] });
        assert.equal(workerOf(owner, dependent), besideWorkerId, "sent while the second run of its predecessor is being stopped");

        const next = createSchedulerHarness({ workers: 3, token: 100 });
        next.submit("job", { ...jobInput, progress: stored });
        const secondRun = { taskName: first, runId: runIdOf(owner, first) };
        next.list(otherWorkerId, { running: [secondRun] });
        next.advance(10);
        next.list(otherWorkerId, { ended: [{ ...secondRun, end: "done" }] });
        next.advance(10);
        assert.deepEqual(next.startedTasks(), [], `${besideWorkerId} runs the task`);
    });
});

describe("a job with a task on a worker whose VM restarts", () => {
    it("should not be held back for that worker by a next owner, since the platform has ended all that ran there", () => {
        const owner = createSchedulerHarness({ workers: 2, cpuMillicores: 1_000, isSavedManually: true });
        ["w1", "w2"].forEach(workerId => owner.list(workerId, { sentAtMs: 0 }));
        owner.submit("job", { taskCount: 2, isLongRunning: true });
        owner.saveAll();
        owner.answerStarts(commandOutcomes.accepted);
        const [lost, kept] = owner.commands("start") as [Run, Run];
        owner.list(lost.workerId, { running: [lost.taskName] });
        owner.list(kept.workerId, { running: [kept.taskName] });
        owner.saveAll();
        // The worker's entry stays in the store for a while.
        const moment = { nowMs: owner.nowMs(), wallMs: owner.nowMs() };
        endIncarnation(owner.scheduler.state, { workerId: lost.workerId, bornWallMs: 0 }, "its VM is restarting", moment);
        owner.advance(10);
        owner.saveAll();
        owner.advance(900);
        owner.saveAll();
        const stored = JSON.parse(JSON.stringify(progressOf(owner.scheduler.state.jobs.get("job")!))) as JobProgress;
        assert.equal(owner.startedTasks().length, 2, "there was no room to start the lost task again");

        const next = createSchedulerHarness({ workers: 3, token: 100 });
        next.submit("job", { taskCount: 2, isLongRunning: true, progress: stored });
        next.list(kept.workerId, { running: [{ taskName: kept.taskName, runId: kept.runId }] });
        next.list("w3", { sentAtMs: 0 });
        assert.deepEqual(next.startedTasks(), [lost.taskName], `the store lists ${stored.workerIds?.join(", ")}`);
    });
});
