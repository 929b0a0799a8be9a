/** Guards against a crash that counts for nothing because the owner ended at the same moment. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { countedCrashes, jobState } from "./crashPool.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

/** Progress of a job under whose only task two workers have crashed; the store lists a worker that may run it. */
const progress: JobProgress = {
    state: "running",
    occurrences: { "0": [{ done: [], tasks: { "0": { failedRunIds: [], checkpoint: "", crashedRunIds: [1, 2] } } }] },
    workerIds: ["w1"],
};

/** The first owner sends the start of the task and ends. Returns what the store holds. */
function startAndEnd(after?: (harness: SchedulerHarness) => void): JobProgress {
    const earlier = createSchedulerHarness({ workers: 1, token: 10, isSavedManually: true });
    earlier.submit("job", { progress });
    earlier.list("w1", { sentAtMs: 0 });
    assert.deepEqual(earlier.startedTasks(), [], "the store does not hold the start yet");
    const [saved] = earlier.scheduler.takeUnsavedJobs(10);
    earlier.scheduler.progressSaved("job", saved!.version, earlier.nowMs());
    earlier.advance(1);
    assert.deepEqual(earlier.startedTasks(), ["job.0.0.0"]);
    after?.(earlier);
    const latest = earlier.scheduler.takeUnsavedJobs(10)[0] ?? saved!;
    return JSON.parse(JSON.stringify(latest.progress)) as JobProgress;
}

function takeOver(stored: JobProgress): SchedulerHarness {
    const next = createSchedulerHarness({ workers: 2, token: 20 });
    next.submit("job", { progress: stored });
    next.scheduler.restoreSuspectStarts({ nowMs: 0, wallMs: 0 });
    return next;
}

describe("the start of a task that the next crash gives up", () => {
    it("should be known to the next owner, which counts a crash that it has not seen", () => {
        const stored = startAndEnd();
        const replaced = takeOver(stored);
        replaced.replaceWorker("w1");
        assert.equal(countedCrashes(replaced), 3);

        const restartedBefore = createSchedulerHarness({ workers: 1, token: 20 });
        restartedBefore.submit("job", { progress: stored });
        restartedBefore.restartWorker("w1");
        restartedBefore.scheduler.restoreSuspectStarts({ nowMs: 0, wallMs: 0 });
        assert.equal(countedCrashes(restartedBefore), 3);

        const restartedAfter = takeOver(stored);
        restartedAfter.restartWorker("w1");
        assert.equal(countedCrashes(restartedAfter), 3);
    });

    it("should not count for the next owner if its worker responds", () => {
        const running = takeOver(startAndEnd());
        const [run] = [...running.scheduler.state.workers.get("w1")!.runs.values()];
        running.list("w1", { running: [{ taskName: "job.0.0.0", runId: run!.runId }] });
        assert.deepEqual(running.commands(commandKinds.stop), []);
        running.list("w2", {});
        assert.deepEqual(running.startedTasks(), []);

        const neverStarted = takeOver(startAndEnd());
        neverStarted.advance(1);
        neverStarted.list("w1", {});
        assert.deepEqual(neverStarted.startedTasks(), ["job.0.0.0"]);
        assert.equal(countedCrashes(neverStarted), 2);
    });

    it("should not count for the next owner once its run has ended", () => {
        const next = takeOver(startAndEnd(harness => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.updateEntry("w1", { isDraining: true });
            harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        }));
        next.replaceWorker("w1");
        assert.equal(countedCrashes(next), 2);
    });

    it("should be stored before it is sent, whether the earlier crashes are proven or not", () => {
        const crashes = [[], [1], [1, 2]].map(provenCrashRunIds => ({ crashedRunIds: [1, 2], provenCrashRunIds }));
        for (const crashed of crashes) {
            const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
            const tasks = { "0": { failedRunIds: [], checkpoint: "", ...crashed } };
            harness.submit("job", { progress: { ...progress, occurrences: { "0": [{ done: [], tasks }] } } });
            harness.list("w1", { sentAtMs: 0 });
            assert.deepEqual(harness.startedTasks(), []);
            harness.saveAll();
            assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        }
    });

    it("should be stored anew if its worker restarts before it is sent, and not count as a crash of the worker's new life", () => {
        const harness = createSchedulerHarness({ workers: 1, token: 10, isSavedManually: true });
        harness.submit("job", { progress });
        harness.list("w1", { sentAtMs: 0 });
        harness.restartWorker("w1");
        harness.list("w1", {});
        harness.saveAll();
        harness.saveAll();
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        const { bornWallMs } = harness.scheduler.state.workers.get("w1")!.entry;
        const stored = progressOf(harness.scheduler.state.jobs.get("job")!);

        const next = createSchedulerHarness({ workers: 1, token: 20 });
        next.submit("job", { progress: JSON.parse(JSON.stringify(stored)) as JobProgress });
        next.updateEntry("w1", { bornWallMs });
        next.scheduler.restoreSuspectStarts({ nowMs: 0, wallMs: 0 });
        assert.equal(countedCrashes(next), 2);
        assert.equal(jobState(next), "running");
    });

    it("should not be sent while the store takes no writes, and not be planned again and again", () => {
        const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
        harness.submit("job", { progress });
        harness.scheduler.setStoreWritable(false);
        harness.list("w1", { sentAtMs: 0 });
        const numberBefore = harness.scheduler.state.nextRunNumber;
        harness.advance(10);
        assert.equal(harness.scheduler.state.nextRunNumber, numberBefore);
        harness.scheduler.setStoreWritable(true);
        harness.advance(10);
        harness.saveAll();
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
        assert.equal(jobState(harness), "running");
    });
});
