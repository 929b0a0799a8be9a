/** Guards against a snapshot that names a run whose end was stored after it: what follows from that end must not wait for the worker. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { countedCrashes } from "./crashPool.js";
import { createSchedulerHarness } from "./schedulerHarness.js";

describe("a failed run whose end was stored after the snapshot of its worker", () => {
    it("should not keep the next owner from starting its task again", () => {
        const former = createSchedulerHarness({ workers: 2, isSavedManually: true });
        former.list("w1", { sentAtMs: 0 });
        former.submit("job", { taskCount: 1 });
        former.saveAll();
        former.answerStarts(commandOutcomes.accepted);
        former.list("w1", { running: ["job.0.0.0"] });
        former.saveAll();
        former.updateEntry("w1", { isDraining: true });
        former.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        former.scheduler.workerUnresponsive("w1", former.nowMs());
        former.advance(10);
        former.saveAll();
        const stored = JSON.parse(JSON.stringify(progressOf(former.scheduler.state.jobs.get("job")!))) as JobProgress;
        assert.equal(stored.occurrences!["0"]![0]!.tasks!["0"]!.failedRunIds.length, 1);

        const next = createSchedulerHarness({ workers: 2, token: 100 });
        next.submit("job", { taskCount: 1, progress: stored });
        for (const command of former.sent()) {
            if (command.kind === commandKinds.writeSnapshot) {
                next.restoreSnapshot("w1", command.snapshot.runs, command.snapshot.leaseLeftMs);
            }
        }
        next.list("w2", {});
        next.advance(10);
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"], "the store holds the end");
    });

    it("should not keep a crash under a later run of its task from being counted", () => {
        const suspectStart = { runId: 9, workerId: "w2", bornWallMs: 0 };
        const tasks = { "0": { failedRunIds: [7], checkpoint: "", crashedRunIds: [1, 2], suspectStart } };
        const next = createSchedulerHarness({ workers: 2, token: 100 });
        next.submit("job", {
            taskCount: 1,
            progress: { state: "running", occurrences: { "0": [{ done: [], tasks }] }, workerIds: ["w2"] },
        });
        next.restartWorker("w2");
        next.restoreSnapshot("w1", [["job.0.0.0", 7, undefined, true]]);
        next.scheduler.restoreSuspectStarts({ nowMs: 0, wallMs: 0 });
        assert.equal(countedCrashes(next), 3);
    });
});
