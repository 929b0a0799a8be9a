/**
 * Guards against tasks that run twice after the VM of a worker was restarted or moved while a start to the worker had no response: the next
 * incarnation under the worker's id may carry it out late.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const task = "job.0.0.0";

/** An owner whose start to a worker got no response before the VM of the worker restarted. */
function createOwner(workers: number): { owner: SchedulerHarness; run: Run } {
    const owner = createSchedulerHarness({ workers, cpuMillicores: 1_000, isSavedManually: true });
    ["w1", "w2"].slice(0, workers).forEach(workerId => owner.list(workerId, { sentAtMs: 0 }));
    owner.submit("job", { taskCount: 1 });
    owner.saveAll();
    const [run] = owner.commands("start") as [Run];
    owner.answerStarts(commandOutcomes.unknown);
    owner.saveAll();
    const moment = { nowMs: owner.nowMs(), wallMs: owner.nowMs() };
    endIncarnation(owner.scheduler.state, { workerId: run.workerId, bornWallMs: 0 }, "its VM is restarting", moment);
    owner.advance(10);
    return { owner, run };
}

describe("a start without a response to a worker whose VM restarts", () => {
    it("should not be sent again by a next owner before the next incarnation has listed its runs", () => {
        const { owner, run } = createOwner(1);
        owner.saveAll();
        owner.advance(100);
        owner.saveAll();
        const stored = JSON.parse(JSON.stringify(progressOf(owner.scheduler.state.jobs.get("job")!))) as JobProgress;

        const next = createSchedulerHarness({ workers: 2, cpuMillicores: 1_000, token: 100 });
        next.restartWorker(run.workerId);
        next.submit("job", { taskCount: 1, progress: stored });
        next.list("w2", { sentAtMs: 0 });
        assert.deepEqual(next.startedTasks(), [], `${run.workerId} may run ${task}; the store lists ${stored.workerIds?.join(", ")}`);
        next.list(run.workerId, { running: [{ taskName: task, runId: run.runId }] });
        next.advance(10);
        assert.deepEqual(next.startedTasks(), []);
    });

    it("should not be sent to another worker by the same owner before the next incarnation has listed its runs", () => {
        const { owner, run } = createOwner(2);
        owner.saveAll();
        owner.saveAll();
        owner.advance(10);
        assert.deepEqual(owner.startedTasks(), [task], `${run.workerId} may run it`);
    });
});
