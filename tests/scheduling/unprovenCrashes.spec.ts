/** Guards against giving up an innocent task whose runs were lost without proof that they were at work when their worker ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import { countedCrashes, createPool, lastWorkerId, listAll } from "./crashPool.js";
import type { JobInput } from "./schedulerHarness.js";
import {
    assertAtWork,
    entryOf,
    hourMs,
    leaseMayEndMs,
    leasesEndMs,
    letLeasesEnd,
    letWorkerLeave,
    loseRuns,
    type Loss,
    lossesCount,
    registerAt,
    startValidityEndsMs,
} from "./unprovenLosses.js";

describe("a task whose runs are lost without proof of a crash", () => {
    const losses: Record<string, Loss> = {
        // Guards against counting a run that had lapsed before its silent worker restarted.
        "its lease ends before the worker restarts": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            harness.restartWorker(workerId);
        },
        // Guards against counting a run that had lapsed before another worker came.
        "its lease ends before another worker responds at the address": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            harness.replaceWorker(workerId);
        },
        // Guards against counting a lapsed run of a worker that restarts while the task is at work elsewhere.
        "its lease ends and the task starts elsewhere before the worker restarts": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            const others = [...harness.scheduler.state.workers.keys()].filter(each => each !== workerId);
            others.forEach(each => harness.list(each, {}));
            assert.notEqual(lastWorkerId(harness), workerId);
            harness.answerStarts(commandOutcomes.accepted);
            harness.restartWorker(workerId);
        },
        // Guards against taking the latest possible end of a lease for the time until which it was held.
        "its lease may have ended when the worker restarts": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.extendLease(workerId);
            harness.advance(leaseMayEndMs);
            harness.restartWorker(workerId);
            harness.list(workerId, {});
        },
        // Guards against taking the latest possible end of a lease for the time until which it was held.
        "its lease may have ended when another worker responds at the address": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.extendLease(workerId);
            harness.advance(leaseMayEndMs);
            harness.replaceWorker(workerId);
        },
        // Guards against counting the runs of a worker that is gone when its address is used again, even an hour later.
        "its worker is gone long before another one comes to the address": (harness, workerId) => {
            const entry = letWorkerLeave(harness, workerId);
            harness.advance(hourMs);
            registerAt(harness, entry);
        },
        // Guards against counting a start that may never have arrived.
        "its start gets no response and the worker restarts after the start has expired": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(startValidityEndsMs);
            harness.restartWorker(workerId);
            harness.answerStops(commandOutcomes.accepted);
            harness.advance(10);
            harness.list(workerId, {});
        },
        // Guards against counting a start that may never have arrived.
        "its start gets no response and another worker responds after the start has expired": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(startValidityEndsMs);
            harness.replaceWorker(workerId);
        },
        // Guards against counting a start that the new incarnation may have got, which then loses its lease.
        "its start gets no response, the worker restarts and its lease ends": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.restartWorker(workerId);
            harness.advance(leasesEndMs);
        },
        // Guards against counting a run that the new incarnation accepted and that loses its lease there.
        "its start is accepted by the incarnation that follows the known one, and its lease ends": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.restartWorker(workerId);
            harness.advance(leasesEndMs);
        },
        // Guards against counting a run that had been stopped when its worker restarted.
        "its stop is accepted before the worker restarts": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.answerStops(commandOutcomes.accepted);
            harness.advance(1_000);
            harness.restartWorker(workerId);
            harness.answerStops(commandOutcomes.accepted);
            harness.advance(10);
            harness.list(workerId, {});
        },
        // Guards against counting an ordered restart because the order came after the lease had ended.
        "its lease ends and then its VM is restarted by an order": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            harness.scheduler.state.workers.get(workerId)!.isVmStopping = true;
            harness.restartWorker(workerId);
            harness.scheduler.state.workers.get(workerId)!.isVmStopping = false;
        },
        // Guards against counting an ordered move because another worker comes to the address.
        "its lease ends, its VM moves, and another worker comes to the address": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            const { state } = harness.scheduler;
            const entry = entryOf(harness, workerId);
            endIncarnation(state, entry, "its VM has moved", { nowMs: harness.nowMs(), wallMs: harness.nowMs() });
            harness.replaceWorker(workerId);
            registerAt(harness, entry);
        },
        // Guards against counting an announced end because the announcement came after the lease had ended.
        "its lease ends and then the worker drains and restarts": (harness, workerId) => {
            letLeasesEnd(harness, workerId);
            harness.updateEntry(workerId, { isDraining: true });
            harness.restartWorker(workerId);
            harness.updateEntry(workerId, { isDraining: false });
        },
        // Guards against counting a worker that drained and left, although its draining entry was not seen.
        "the worker leaves and removes its entry before another one responds at the address": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.list(workerId, { running: ["job.0.0.0"] });
            harness.scheduler.unregisterWorker(workerId);
            harness.advance(500);
            harness.replaceWorker(workerId);
        },
        // Guards against counting a run that has ended by itself, unheard, on a worker that restarts later.
        "it ends by itself on a worker that does not respond until it restarts": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.list(workerId, { running: ["job.0.0.0"] });
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
            harness.advance(leasesEndMs);
            harness.restartWorker(workerId);
        },
    };
    for (const [way, lose] of Object.entries(losses)) {
        it(`should go on: ${way}`, () => {
            const harness = createPool();
            harness.submit("job", { taskCount: 1 });
            loseRuns(harness, lose);
        });
    }

    // Guards against a job that lasts, and against an occurrence, being shown as failed after three lapses.
    const kinds: Record<string, JobInput> = {
        "long-running": { taskCount: 1, isLongRunning: true },
        "an occurrence of a repeated job": { taskCount: 1, repeat: { firstDueWallMs: 0, intervalMs: hourMs, count: 2 } },
    };
    for (const [kind, input] of Object.entries(kinds)) {
        it(`should go on if it is ${kind}`, () => {
            const harness = createPool();
            harness.submit("job", input);
            loseRuns(harness, losses["its lease ends before the worker restarts"]!);
        });
    }

    // Guards against counting each worker of a gang, all of which lose their leases at once.
    it("should go on if it is a gang, and be counted once for all of its workers", () => {
        const harness = createPool({ workers: 2 * lossesCount + 2, cpuMillicores: 2_000 });
        harness.submit("job", { taskCount: 2, isGang: true, request: { cpuMillicores: 2_000, memoryMb: 100, accelerators: 0 } });
        for (let lost = 1; lost <= lossesCount; lost++) {
            const workerIds = harness.commands(commandKinds.start).slice(-2).map(run => run.workerId);
            harness.answerStarts(commandOutcomes.accepted);
            workerIds.forEach(workerId => harness.scheduler.workerUnresponsive(workerId, harness.nowMs()));
            harness.advance(leasesEndMs);
            workerIds.forEach(workerId => harness.restartWorker(workerId));
            assert.ok(countedCrashes(harness) <= lost, `${countedCrashes(harness)} crashes after ${lost} losses`);
            listAll(harness);
            assertAtWork(harness, lost);
        }
    });

    // Guards against counting a run whose end was heard.
    it("should not add them up with those before a run that its worker has survived", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        const lose: Loss = (_, workerId) => {
            letLeasesEnd(harness, workerId);
            harness.restartWorker(workerId);
        };
        loseRuns(harness, lose);
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(2_000);
        harness.list(lastWorkerId(harness), { running: ["job.0.0.0"] });
        listAll(harness);
        assert.equal(countedCrashes(harness), 0);
        loseRuns(harness, lose, lossesCount - 1);
    });

    it("should not be suspected if its worker registers again in the same life, after its leases and its entry had ended", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        for (let lostCount = 1; lostCount <= lossesCount; lostCount++) {
            const entry = letWorkerLeave(harness, lastWorkerId(harness));
            harness.scheduler.registerWorker(entry, { nowMs: harness.nowMs(), wallMs: harness.nowMs() });
            harness.advance(100);
            listAll(harness);
            assertAtWork(harness, lostCount);
            assert.equal(countedCrashes(harness), 0);
        }
    });

    it("should not be counted once the end of its run is listed", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        harness.answerStarts(commandOutcomes.accepted);
        const workerId = lastWorkerId(harness);
        harness.list(workerId, { ended: [{ taskName: "job.0.0.0", end: "failed" }] });
        harness.restartWorker(workerId);
        assert.equal(countedCrashes(harness), 0);
    });
});
