/** Which crashes of workers count against a task: across owners, and not those that it cannot have caused. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { countCrashes, progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import type { WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import { countedCrashes, crashesBeforeGivingUp, crashWorkers, createPool, jobState, lastWorkerId, workersCount } from "./crashPool.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

describe("the crashes that are counted for a task", () => {
    /** A worker crashes under an earlier owner, which stores that. */
    function crashUnderFirstOwner(): { runId: number; workerId: string; progress: JobProgress } {
        const earlier = createPool({ token: 10 });
        earlier.submit("job", { taskCount: 1 });
        earlier.answerStarts(commandOutcomes.accepted);
        const { runId, workerId } = earlier.commands(commandKinds.start)[0]!;
        earlier.replaceWorker(workerId);
        return { runId, workerId, progress: progressOf(earlier.scheduler.state.jobs.get("job")!) };
    }

    /** A worker stops responding under an earlier owner, which stores a snapshot of it. */
    function snapshotUnderFirstOwner(isVmStopping = false): { workerId: string; progress: JobProgress; stored: WorkerSnapshot } {
        const earlier = createPool({ token: 10 });
        earlier.submit("job", { taskCount: 1 });
        earlier.answerStarts(commandOutcomes.accepted);
        const { workerId } = earlier.commands(commandKinds.start)[0]!;
        const progress = progressOf(earlier.scheduler.state.jobs.get("job")!);
        earlier.scheduler.state.workers.get(workerId)!.isVmStopping = isVmStopping;
        earlier.scheduler.workerUnresponsive(workerId, earlier.nowMs());
        earlier.scheduler.step({ nowMs: earlier.nowMs(), wallMs: earlier.nowMs() });
        const snapshot = earlier.scheduler.takeCommands().flatMap(each =>
            each.kind === commandKinds.writeSnapshot ? [each.snapshot] : []
        )[0]!;
        return { workerId, progress, stored: JSON.parse(JSON.stringify(snapshot)) as WorkerSnapshot };
    }

    it("should be stored, so that the next owner goes on from them", () => {
        const { progress } = crashUnderFirstOwner();
        const next = createPool({ token: 20 });
        next.submit("job", { taskCount: 1, progress: JSON.parse(JSON.stringify(progress)) as JobProgress });
        const crashesCount = crashWorkers(next, workerId => {
            next.answerStarts(commandOutcomes.accepted);
            next.advance(1_000);
            next.replaceWorker(workerId);
        });
        assert.equal(crashesCount, crashesBeforeGivingUp - 1);
    });

    it("should not be proven if an earlier build stored them, which did not tell", () => {
        const next = createPool({ token: 20 });
        const tasks = { "0": { failedRunIds: [], checkpoint: "", crashedRunIds: [1, 2] } };
        next.submit("job", { taskCount: 1, progress: { state: "running", occurrences: { "0": [{ done: [], tasks }] } } });
        const crashesCount = crashWorkers(next, workerId => {
            next.answerStarts(commandOutcomes.accepted);
            next.advance(1_000);
            next.replaceWorker(workerId);
        });
        assert.equal(crashesCount, 2);
    });

    it("should include each crash once, although the next owner sees it too", () => {
        const { runId, workerId, progress } = crashUnderFirstOwner();
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, progress });
        next.restoreSnapshot(workerId, [["job.0.0.0", runId, 0]]);
        next.replaceWorker(workerId);
        assert.equal(countedCrashes(next), 1);
    });

    it("should include one that only the next owner sees, from the snapshot of the earlier one", () => {
        const { workerId, progress, stored } = snapshotUnderFirstOwner();
        const replaced = createSchedulerHarness({ workers: workersCount, token: 20 });
        replaced.submit("job", { taskCount: 1, progress });
        replaced.restoreSnapshot(workerId, stored.runs);
        replaced.replaceWorker(workerId);
        assert.equal(countedCrashes(replaced), 1);

        const restarted = createSchedulerHarness({ workers: workersCount, token: 20 });
        restarted.submit("job", { taskCount: 1, progress });
        restarted.restartWorker(workerId);
        restarted.scheduler.restoreSnapshot(stored, true, 0, { nowMs: 0, wallMs: 0 });
        assert.equal(countedCrashes(restarted), 1);
    });

    it("should not include the end of a worker whose VM an earlier owner has restarted", () => {
        const { workerId, progress, stored } = snapshotUnderFirstOwner(true);
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, progress });
        next.restoreSnapshot(workerId, stored.runs);
        next.replaceWorker(workerId);
        assert.equal(countedCrashes(next), 0);
    });

    it("should include one under a run that is settled only by the end of its lease on the worker that has restarted", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.unknown);
        const workerId = lastWorkerId(harness);
        harness.restartWorker(workerId);
        harness.advance(20_000);
        harness.list(workerId, {});
        assert.equal(countedCrashes(harness), 1);
    });

    it("should not include ends that were ordered or announced, nor the silence of a worker that is cut off", () => {
        const endings: Record<string, (harness: SchedulerHarness, workerId: string) => void> = {
            drained: (harness, workerId) => {
                harness.updateEntry(workerId, { isDraining: true });
                harness.replaceWorker(workerId);
            },
            "restarted for maintenance": (harness, workerId) => {
                harness.scheduler.state.workers.get(workerId)!.isVmStopping = true;
                harness.restartWorker(workerId);
            },
            moved: (harness, workerId) => {
                const { state } = harness.scheduler;
                endIncarnation(state, state.workers.get(workerId)!.entry, "its VM has moved", { nowMs: 0, wallMs: 0 });
                harness.restartWorker(workerId);
            },
            "cut off": (harness, workerId) => {
                harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
                harness.advance(20_000);
                harness.list(workerId, {});
                harness.advance(10);
                harness.restartWorker(workerId);
            },
        };
        for (const [ending, end] of Object.entries(endings)) {
            const harness = createPool();
            harness.submit("job", { taskCount: 1 });
            harness.answerStarts(commandOutcomes.accepted);
            end(harness, lastWorkerId(harness));
            harness.list(harness.commands(commandKinds.start)[0]!.workerId, {});
            assert.equal(countedCrashes(harness), 0, ending);
        }
    });

    it("should not include crashes of workers on which the task was at work for long, however late they are noticed", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        crashWorkers(harness, workerId => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.advance(2_000);
            harness.list(workerId, { running: ["job.0.0.0"] });
            harness.advance(60_000);
            harness.replaceWorker(workerId);
        });
        assert.equal(harness.startedTasks().length, workersCount);
        assert.equal(jobState(harness), "running");
    });

    it("should not include a run of an earlier owner whose age is unknown", () => {
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        next.restoreSnapshot("w1", [["job.0.0.0", 7]]);
        next.replaceWorker("w1");
        assert.equal(countedCrashes(next), 0);
    });

    it("should not include a run that was adopted from an earlier owner, however soon its worker ends after that", () => {
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1"] });
        next.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }], isExtension: true });
        next.advance(100);
        next.replaceWorker("w1");
        assert.equal(countedCrashes(next), 0);
    });

    it("should not include an ordered end of a worker whose leases had ended before", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        const workerId = lastWorkerId(harness);
        harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
        harness.advance(20_000);
        const { state } = harness.scheduler;
        const moment = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        endIncarnation(state, state.workers.get(workerId)!.entry, "its VM has restarted", moment);
        harness.restartWorker(workerId);
        harness.list(workerId, {});
        assert.equal(countedCrashes(harness), 0);
    });

    const lateSuccessions: Record<string, { isDisconnected: boolean; afterMs: number; provenCount: number }> = {
        "whose connections ended at once": { isDisconnected: true, afterMs: 4_800, provenCount: 1 },
        "that fell silent": { isDisconnected: false, afterMs: 4_800, provenCount: 0 },
        "whose connections ended, if its leases have ended since": { isDisconnected: true, afterMs: 20_000, provenCount: 0 },
    };
    for (const [kind, { isDisconnected, afterMs, provenCount }] of Object.entries(lateSuccessions)) {
        it(`should be ${provenCount === 1 ? "" : "no "}proof for a worker ${kind}, and whose successor comes after the confirmed lease`, () => {
            const harness = createPool();
            harness.submit("job", { taskCount: 1 });
            harness.answerStarts(commandOutcomes.accepted);
            const workerId = lastWorkerId(harness);
            harness.advance(1_500);
            // Sent, but not confirmed.
            harness.extendLease(workerId);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs(), "", isDisconnected);
            harness.advance(afterMs);
            harness.restartWorker(workerId);
            harness.list(workerId, {});
            const step = harness.scheduler.state.jobs.get("job")!.occurrences.get(0)!.steps[0]!;
            assert.deepEqual(countCrashes(step, 0), { provenCount, possibleCount: 1 - provenCount });
        });
    }

    it("should not include a start that was planned but not sent", () => {
        const harness = createPool({ isSavedManually: true });
        harness.submit("job", { taskCount: 1 });
        const [run] = [...harness.scheduler.state.plannedRuns];
        harness.replaceWorker(run!.workerId);
        assert.equal(countedCrashes(harness), 0);
    });
});
