/** Guards against an end that only the former owner knew: the next one took its worker for known, and started the task again. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates, type WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

/** An owner that has received the end of the job's only task from w1, and has not stored it. */
function createOwnerWithUnstoredEnd(): SchedulerHarness {
    const owner = createSchedulerHarness({ workers: 2, isSavedManually: true });
    owner.list("w1", { sentAtMs: 0 });
    owner.submit("job", { taskCount: 1 });
    owner.saveAll();
    owner.answerStarts(commandOutcomes.accepted);
    owner.list("w1", { running: ["job.0.0.0"] });
    owner.saveAll();
    owner.advance(10);
    owner.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }] });
    return owner;
}

function writtenSnapshots(owner: SchedulerHarness): WorkerSnapshot[] {
    return owner.sent().flatMap(command => command.kind === commandKinds.writeSnapshot ? [command.snapshot] : []);
}

describe("an end that is not stored yet", () => {
    it("should keep the next owner from starting the task again if its worker has stopped responding", () => {
        const former = createOwnerWithUnstoredEnd();
        former.scheduler.workerUnresponsive("w1", former.nowMs());
        former.advance(10);
        const next = createSchedulerHarness({ workers: 2, token: 100 });
        next.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        for (const { runs, leaseLeftMs } of writtenSnapshots(former)) {
            next.restoreSnapshot("w1", runs, leaseLeftMs);
        }
        next.list("w2", {});
        next.advance(10);
        assert.deepEqual(next.startedTasks(), [], "w1 has ended the task");
    });

    it("should not hold up the snapshot of its worker once it is stored", () => {
        const owner = createOwnerWithUnstoredEnd();
        owner.scheduler.workerUnresponsive("w1", owner.nowMs());
        owner.advance(10);
        owner.saveAll();
        assert.deepEqual(writtenSnapshots(owner).map(({ runs }) => runs), [[]]);
        assert.equal(owner.scheduler.state.workers.get("w1")!.snapshotState, snapshotStates.changing);
    });
});
