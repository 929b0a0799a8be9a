/** Guards against a crash that counts as proven although the run may not have been at work when its worker ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { countCrashes } from "../../src/scheduling/jobRecord.js";
import { commandKinds, stopRun } from "../../src/scheduling/schedulerState.js";
import { createPool, jobState, lastWorkerId, workersCount } from "./crashPool.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";
import { entryOf, hourMs, leasesEndMs, loseRuns, type Loss } from "./unprovenLosses.js";

function provenCount(harness: SchedulerHarness): number {
    return countCrashes(harness.scheduler.state.jobs.get("job")!.occurrences.get(0)!.steps[0]!, 0).provenCount;
}

describe("a crash", () => {
    const losses: Record<string, Loss> = {
        "a start without a response, on a worker whose connections have ended": (harness, workerId) => {
            harness.advance(5);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs(), "ECONNRESET", true);
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(3_300);
            harness.replaceWorker(workerId);
        },
        "a start without a response, on a silent worker that is replaced before the start expires": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(1_000);
            harness.replaceWorker(workerId);
        },
        "connections that ended, if later calls get no response, as behind a cut": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.advance(1_500);
            harness.extendLease(workerId);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs(), "other side closed", true);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs(), "no response within 500 ms", false);
            harness.advance(6_000);
            harness.restartWorker(workerId);
            harness.list(workerId, {});
        },
    };
    for (const [evidence, lose] of Object.entries(losses)) {
        it(`should not be proven by ${evidence}`, () => {
            const harness = createPool();
            harness.submit("job", { taskCount: 1, isLongRunning: true });
            loseRuns(harness, lose);
            assert.equal(provenCount(harness), 0);
        });
    }

    it("should not be proven for a run whose stop may have been carried out", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        const workerId = lastWorkerId(harness);
        harness.answerStarts(commandOutcomes.accepted);
        harness.list(workerId, { running: ["job.0.0.0"], isExtension: true });
        stopRun(harness.scheduler.state, harness.commands(commandKinds.start).at(-1)!, "its worker is needed");
        harness.advance(1);
        harness.answerStops(commandOutcomes.unknown);
        harness.advance(3_000);
        harness.restartWorker(workerId);
        assert.equal(provenCount(harness), 0);
    });

    it("should not be proven by the entry of an earlier worker at the same address", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        const workerId = lastWorkerId(harness);
        harness.answerStarts(commandOutcomes.accepted);
        const entry = entryOf(harness, workerId);
        const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
        harness.scheduler.registerWorker({ ...entry, workerId: "earlier", bornWallMs: entry.bornWallMs - hourMs }, now);
        harness.advance(leasesEndMs);
        harness.restartWorker(workerId);
        assert.equal(provenCount(harness), 0);
    });

    it("should not be counted for a stored start that the next owner finds at work, of whatever age", () => {
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        const suspectStart = { runId: 7, workerId: "w1", bornWallMs: 0 };
        const tasks = { "0": { failedRunIds: [], checkpoint: "", crashedRunIds: [1, 2], provenCrashRunIds: [1, 2], suspectStart } };
        const occurrences = { "0": [{ done: [], tasks }] };
        next.submit("job", { taskCount: 1, isLongRunning: true, progress: { state: "running", workerIds: ["w1"], occurrences } });
        next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
        next.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }], isExtension: true });
        next.advance(100);
        next.replaceWorker("w1");
        assert.equal(jobState(next), "running");
    });

    it("should not be counted for a run of a snapshot that the next owner finds at work, of whatever age", () => {
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1"] });
        next.restoreSnapshot("w1", [["job.0.0.0", 7, 400]]);
        next.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }], isExtension: true });
        next.advance(100);
        next.replaceWorker("w1");
        assert.equal(provenCount(next), 0);
    });
});
