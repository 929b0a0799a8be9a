/** Guards against a failed attempt that only the former owner knew: the next one allowed an attempt too many. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

interface FormerOwner {
    owner: SchedulerHarness;
    stored: JobProgress;
    /** The failed run, whose end is not stored, and the run of the job's other task. */
    failed: Run;
    other: Run;
}

/** An owner that has both tasks of a job on one worker each, and has just learned that one of them has failed. */
function createOwnerWithUnstoredFailure(): FormerOwner {
    const owner = createSchedulerHarness({ workers: 2, cpuMillicores: 1_000, isSavedManually: true });
    owner.list("w1", { sentAtMs: 0 });
    owner.list("w2", { sentAtMs: 0 });
    owner.submit("job", { taskCount: 2 });
    owner.saveAll();
    owner.answerStarts(commandOutcomes.accepted);
    const [failed, other] = owner.commands("start") as [Run, Run];
    owner.list(failed.workerId, { running: [failed.taskName] });
    owner.list(other.workerId, { running: [other.taskName] });
    owner.saveAll();
    const stored = JSON.parse(JSON.stringify(progressOf(owner.scheduler.state.jobs.get("job")!))) as JobProgress;
    owner.updateEntry(other.workerId, { capacity: { cpuMillicores: 2_000, memoryMb: 64_000, accelerators: 0 } });
    owner.updateEntry(failed.workerId, { isDraining: true });
    owner.list(failed.workerId, { ended: [{ taskName: failed.taskName, end: "failed" }] });
    return { owner, stored, failed, other };
}

/** The next owner learns that all further runs of the task have failed too, while the worker of the first one does not respond. */
function failUnderNextOwner({ owner, stored, failed, other }: FormerOwner, hasSnapshot: boolean): SchedulerHarness {
    const retries = owner.commands("start").slice(2);
    owner.answerStarts(commandOutcomes.accepted);
    owner.scheduler.workerUnresponsive(failed.workerId, owner.nowMs());
    owner.advance(10);
    const next = createSchedulerHarness({ workers: 2, token: 100 });
    next.submit("job", { taskCount: 2, progress: stored });
    for (const command of hasSnapshot ? owner.sent() : []) {
        if (command.kind === commandKinds.writeSnapshot) {
            next.restoreSnapshot(command.workerId, command.snapshot.runs, command.snapshot.leaseLeftMs);
        }
    }
    next.list(other.workerId, { running: [...retries, other] });
    next.list(other.workerId, { running: [other], ended: retries.map(({ taskName, runId }) => ({ taskName, runId, end: "failed" })) });
    next.advance(10);
    return next;
}

describe("a failed attempt that is not stored yet", () => {
    for (const hasSnapshot of [true, false]) {
        it(`should count under the next owner ${hasSnapshot ? "if its worker has a snapshot" : "if its worker has not responded"}`, () => {
            const former = createOwnerWithUnstoredFailure();
            const { failed } = former;
            const next = failUnderNextOwner(former, hasSnapshot);
            assert.deepEqual(next.startedTasks(), [], "the task has two attempts");
            next.list(failed.workerId, { ended: [{ taskName: failed.taskName, runId: failed.runId, end: "failed" }] });
        });
    }
});
