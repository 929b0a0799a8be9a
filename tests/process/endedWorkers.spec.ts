/**
 * Guards against an owner that spends its processor time on workers which are gone: when pools exchange VMs, each moved VM
 * leaves a worker behind that no longer answers, and whose entry in the store ends seconds later.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService, createTimerService, delay } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import type { LogEvent } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createSchedulingSummary } from "../../src/process/schedulingSummary.js";
import { createWorkerSessions } from "../../src/process/workerSessions.js";
import { endIncarnation } from "../../src/scheduling/workerLifecycle.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults } from "./sessionDefaults.js";

const workersCount = 40;

describe("workers whose VMs have moved", () => {
    it("should be asked nothing, get no start, and be forgotten once their entries are gone", async context => {
        const harness = createSchedulerHarness({ workers: workersCount });
        const { scheduler } = harness;
        const timers = createTimerService();
        let listsCount = 0;
        const closed = new Set<string>();
        const movedIds = new Set(Array.from({ length: workersCount - 1 }, (_, index) => `w${index + 2}`));
        const sessions = createWorkerSessions({
            connectWorker: ({ workerId }) =>
                ({
                    list: () => {
                        listsCount += movedIds.has(workerId) ? 1 : 0;
                        return new Promise(() => undefined);
                    },
                    close: () => closed.add(workerId),
                }) as unknown as WorkerClient,
            timers,
            ...sessionDefaults,
            onFailed: (_, where, reason) => assert.fail(`${where}: ${reason}`),
        });
        context.after(sessions.close);
        const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        scheduler.state.workers.forEach((worker, workerId) => {
            harness.list(workerId, { sentAtMs: 0 });
            if (movedIds.has(workerId)) {
                endIncarnation(scheduler.state, worker.entry, "its VM has moved", now);
            }
        });
        sessions.sync(scheduler);
        await delay(timers, 50);
        assert.equal(listsCount, 0);
        harness.submit("job", { taskCount: 100 });
        const { workers } = scheduler.state;
        assert.deepEqual([...workers.values()].filter(({ runs }) => runs.size > 0).map(({ entry }) => entry.workerId), ["w1"]);
        scheduler.workerUnresponsive("w2", harness.nowMs());
        harness.advance(1);
        assert.equal(workers.get("w2")!.snapshotState, "none", "nothing is stored about a worker that is gone");
        movedIds.forEach(workerId => scheduler.unregisterWorker(workerId));
        harness.advance(1);
        assert.deepEqual([...scheduler.state.workers.keys()], ["w1"]);
    });

    it("should not be logged as free capacity", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        const { state } = harness.scheduler;
        const timers = createManualTimerService();
        const pools: unknown[] = [];
        const logger = { ...createSilentLogger(), log: (_: LogEvent, fields?: LogFields) => void pools.push(fields?.["pools"]) };
        createSchedulingSummary(timers, logger, () => 0).start(new AbortController().signal, () => state);
        endIncarnation(state, state.workers.get("w1")!.entry, "its VM has moved", { nowMs: 0, wallMs: 0 });
        timers.advance(1_000);
        assert.match(String(pools[0]), /: 1 workers \(without new runs: 1 not listed\), 0 runs, 0 of them planned, 16 of 16 cores free/);
    });

    it("should be asked again when they start under the same id", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        const worker = scheduler.state.workers.get("w1")!;
        const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        endIncarnation(scheduler.state, worker.entry, "its VM has moved", now);
        scheduler.registerWorker({ ...worker.entry }, now);
        assert.equal(worker.hasEnded, true, "an update of the old entry says nothing new");
        const moved = worker.entry;
        scheduler.registerWorker({ ...moved, bornWallMs: moved.bornWallMs + 5_000 }, now);
        assert.equal(worker.hasEnded, false);
        endIncarnation(scheduler.state, moved, "its VM has moved", now);
        assert.equal(worker.hasEnded, false, "a late answer about the moved VM says nothing of the new incarnation");
    });
});
