/** Guards against tasks that are given up without proof, or not in time. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import {
    countedCrashes,
    crashWorkers,
    createPool,
    jobState,
    lastWorkerId,
    listAll,
    unprovenCrashesBeforeGivingUp,
} from "./crashPool.js";
import { hourMs, leasesEndMs, letWorkerLeave, loseRuns, type Takeover, takeOverAfterStart } from "./unprovenLosses.js";

/** Bounds a test in which nothing is given up. */
const maxStarts = 20;

/** Lets each owner end after it has started the task, and returns how often the task is started. */
function countStartsOverOwners(takeOver: Takeover): number {
    let owner = createPool({ token: 10 });
    owner.submit("job", { taskCount: 1 });
    let starts = 1;
    while (jobState(owner) !== "failed" && starts < maxStarts) {
        owner = takeOverAfterStart(owner, takeOver);
        starts += owner.startedTasks().length;
    }
    return starts;
}

describe("the loss of a run", () => {
    it("should not prove a crash if the run may have ended by itself on a silent worker that restarts within the lease", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1 });
        loseRuns(harness, (pool, workerId) => {
            pool.answerStarts(commandOutcomes.accepted);
            pool.list(workerId, { running: ["job.0.0.0"], isExtension: true });
            pool.scheduler.workerUnresponsive(workerId, pool.nowMs());
            pool.advance(5_000);
            pool.restartWorker(workerId);
        });
    });

    it("should not prove a crash behind a cut that refuses connections until the lease has ended", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        loseRuns(harness, (pool, workerId) => {
            pool.answerStarts(commandOutcomes.accepted);
            pool.extendLease(workerId);
            pool.advance(100);
            for (let passedMs = 0; passedMs < 6_000; passedMs += 500) {
                pool.scheduler.workerUnresponsive(workerId, pool.nowMs(), "ECONNREFUSED", true);
                pool.advance(500);
            }
            pool.replaceWorker(workerId);
        });
    });

    it("should no longer count once its worker, which goes on elsewhere, lists its end", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        const workerId = lastWorkerId(harness);
        const entry = letWorkerLeave(harness, workerId);
        const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        harness.scheduler.registerWorker({ ...entry, workerId: "other", bornWallMs: harness.nowMs() }, now);
        harness.scheduler.registerWorker({ ...entry, address: "elsewhere" }, now);
        const { taskName, runId } = harness.commands(commandKinds.start)[0]!;
        harness.list(workerId, { ended: [{ taskName, runId, end: "lapsed" }] });
        assert.equal(countedCrashes(harness), 0);
    });

    it("should be forgotten if no other worker comes to the address for hours", () => {
        const harness = createPool({ workers: 60 });
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        for (let leftCount = 0; leftCount < 50; leftCount++) {
            letWorkerLeave(harness, lastWorkerId(harness));
            harness.advance(hourMs);
            listAll(harness);
        }
        const keptCount = harness.scheduler.state.unexplainedDepartures.size;
        assert.ok(keptCount <= 5, `${keptCount} departures are kept`);
    });
});

describe("a task that crashes its workers", () => {
    it("should be started at most five times if its workers end with their connections and stay down", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1 });
        crashWorkers(harness, workerId => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs(), "ECONNREFUSED", true);
            harness.advance(leasesEndMs);
        });
        const startsCount = harness.startedTasks().length;
        assert.ok(startsCount <= unprovenCrashesBeforeGivingUp, `${startsCount} starts`);
    });

    it("should be started at most five times if the owner ends with the worker each time", () => {
        const startsCount = countStartsOverOwners((next, run) => {
            next.restartWorker(run.workerId);
            next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
        });
        assert.ok(startsCount <= unprovenCrashesBeforeGivingUp, `${startsCount} starts`);
    });

    it("should be started at most five times if it does so just after another owner has adopted its run, each time", () => {
        const startsCount = countStartsOverOwners((next, { workerId, taskName, runId }) => {
            next.list(workerId, { running: [{ taskName, runId }], isExtension: true });
            next.advance(50);
            next.replaceWorker(workerId);
        });
        assert.ok(startsCount <= unprovenCrashesBeforeGivingUp, `${startsCount} starts`);
    });
});
