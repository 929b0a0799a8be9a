/** Guards against giving up an innocent task because a new owner cannot know what the earlier one knew of its runs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { countedCrashes, createPool, jobState, workersCount } from "./crashPool.js";
import { createSchedulerHarness, type SchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";
import {
    assertAtWork,
    entryOf,
    leasesEndMs,
    letLeasesEnd,
    loseRuns,
    lossesCount,
    registerAt,
    type Takeover,
    takeOverAfterStart,
} from "./unprovenLosses.js";

/** A task that has crashed three workers must not be started three times more. */
const maxStarts = 5;

describe("a task whose earlier owner is lost with its runs", () => {
    function loseAcrossOwners(first: SchedulerHarness, takeOver: Takeover, count = lossesCount): void {
        let owner = first;
        for (let lostCount = 1; lostCount <= count; lostCount++) {
            owner = takeOverAfterStart(owner, takeOver);
            assertAtWork(owner, lostCount);
        }
    }

    function createOwner(): SchedulerHarness {
        const owner = createPool({ token: 10 });
        owner.submit("job", { taskCount: 1 });
        return owner;
    }

    const snapshotOf = (run: Run): WorkerSnapshot["runs"] => [[run.taskName, run.runId, 0]];
    const adopt = (next: SchedulerHarness, { taskName, runId, workerId }: Run): void => {
        next.list(workerId, { running: [{ taskName, runId }] });
        next.advance(100);
    };
    const takeovers: Record<string, Takeover> = {
        // Guards against counting a run that may have lapsed before the takeover.
        "its worker is in a snapshot and restarts": (next, run) => {
            next.restoreSnapshot(run.workerId, snapshotOf(run));
            next.advance(100);
            next.restartWorker(run.workerId);
        },
        // Guards against counting a run of a snapshot whatever time has passed.
        "its worker is in a snapshot and restarts after its leases have ended": (next, run) => {
            next.restoreSnapshot(run.workerId, snapshotOf(run));
            next.advance(leasesEndMs);
            next.restartWorker(run.workerId);
        },
        // Guards against counting a run that may have lapsed before the takeover.
        "its worker is in a snapshot and another one responds at the address": (next, run) => {
            next.restoreSnapshot(run.workerId, snapshotOf(run));
            next.replaceWorker(run.workerId);
        },
        // Guards against counting a run of a snapshot whatever time has passed until the worker restarted.
        "its worker is in a snapshot and has restarted before the takeover": (next, run) => {
            const entry = { ...entryOf(next, run.workerId) };
            next.restartWorker(run.workerId);
            const now = { nowMs: next.nowMs(), wallMs: next.nowMs() };
            next.scheduler.restoreSnapshot({ entry, runs: snapshotOf(run), leaseLeftMs: 0 }, true, next.nowMs(), now);
        },
        // Guards against counting a run of a snapshot when the address of its worker is used again.
        "its worker is in a snapshot only and another one comes to the address": (next, run) => {
            const entry = { ...entryOf(next, run.workerId), workerId: "gone", address: "elsewhere" };
            const now = { nowMs: next.nowMs(), wallMs: next.nowMs() };
            next.scheduler.restoreSnapshot({ entry, runs: snapshotOf(run), leaseLeftMs: workerLeaseMs }, false, next.nowMs(), now);
            next.advance(leasesEndMs);
            registerAt(next, entry);
        },
        // Guards against taking a run of any age for a young one because its owner is new.
        "its run is adopted before the worker restarts": (next, run) => {
            adopt(next, run);
            next.restartWorker(run.workerId);
        },
        // Guards against taking a run of any age for a young one because its owner is new.
        "its run is adopted before another worker responds at the address": (next, run) => {
            adopt(next, run);
            next.replaceWorker(run.workerId);
        },
        // Guards against counting an adopted run that loses its lease on a worker that restarts later.
        "its run is adopted and loses its lease": (next, run) => {
            adopt(next, run);
            next.scheduler.workerUnresponsive(run.workerId, next.nowMs());
            next.advance(leasesEndMs);
            next.restartWorker(run.workerId);
        },
    };
    for (const [way, takeOver] of Object.entries(takeovers)) {
        it(`should go on: ${way}`, () => {
            loseAcrossOwners(createOwner(), takeOver);
        });
    }

    /** An owner under which two runs have lapsed, so that the store may hold the start of the third before it is sent. */
    function createOwnerAfterLapses(): SchedulerHarness {
        const owner = createOwner();
        const lapse = (harness: SchedulerHarness, workerId: string): void => {
            letLeasesEnd(harness, workerId);
            harness.restartWorker(workerId);
        };
        loseRuns(owner, lapse, 2);
        return owner;
    }

    const storedStarts: Record<string, Takeover> = {
        "and its worker has restarted before the takeover": (next, run) => {
            next.restartWorker(run.workerId);
            next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
        },
        "and its worker restarts": (next, run) => {
            next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
            next.restartWorker(run.workerId);
        },
        "and another worker responds at the address": (next, run) => {
            next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
            next.replaceWorker(run.workerId);
        },
        "and its worker restarts after its leases have ended": (next, run) => {
            next.scheduler.restoreSuspectStarts({ nowMs: next.nowMs(), wallMs: next.nowMs() });
            next.advance(leasesEndMs);
            next.restartWorker(run.workerId);
        },
    };
    for (const [way, takeOver] of Object.entries(storedStarts)) {
        // Guards against counting a stored start that may never have been sent.
        it(`should go on: its stored start may not have been sent ${way}`, () => {
            loseAcrossOwners(createOwnerAfterLapses(), takeOver, lossesCount - 2);
        });
    }

    // Guards against a task that crashes each worker and goes on because only later owners see the crashes.
    it("should be given up before its third start after three losses if only later owners see them in snapshots", () => {
        let owner = createOwner();
        let startsCount = 1;
        while (jobState(owner) !== "failed" && startsCount <= maxStarts) {
            owner = takeOverAfterStart(owner, takeovers["its worker is in a snapshot and restarts"]!);
            startsCount += owner.startedTasks().length;
        }
        assert.equal(jobState(owner), "failed");
        assert.ok(startsCount <= maxStarts, `${startsCount} starts`);
    });

    // Guards against taking the time since the takeover for the age of a run.
    it("should not be suspected of the crash of a worker that has just listed its run of an hour", () => {
        const next = createSchedulerHarness({ workers: workersCount, token: 20 });
        next.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1"] });
        next.list("w1", { running: [{ taskName: "job.0.0.0", runId: 7 }] });
        next.advance(100);
        next.restartWorker("w1");
        assert.equal(countedCrashes(next), 0);
    });
});
