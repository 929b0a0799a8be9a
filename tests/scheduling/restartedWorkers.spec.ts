/** Guards against taking a worker that has restarted under its id for its former incarnation: for its clock, its leases, and its ends. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";

const maxWorkerLeaseMs = 10_000;
/** More than the allowances for slow clocks. */
const slackMs = 500;

/** A pool of two workers that have listed their runs, of which the first starts the only task. */
function createPool(): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 2, maxWorkerLeaseMs });
    harness.list("w1", { sentAtMs: 0 });
    harness.submit("job", { taskCount: 1, isLongRunning: true });
    harness.list("w2", { sentAtMs: 0 });
    return harness;
}

describe("a worker that has restarted under its id", () => {
    it("should get no start before it has listed its runs", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", {});
        harness.restartWorker("w1");
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should get commands with a higher fencing token than before, and the next term's should be higher still", () => {
        const { scheduler, restartWorker } = createSchedulerHarness({ workers: 1, token: 10 });
        const tokens = [scheduler.commandToken("w1")];
        restartWorker("w1");
        tokens.push(scheduler.commandToken("w1"));
        restartWorker("w1");
        tokens.push(scheduler.commandToken("w1"));
        scheduler.renewTerm(11);
        tokens.push(scheduler.commandToken("w1"));
        assert.deepEqual(tokens, [...tokens].sort((a, b) => a - b));
        assert.equal(new Set(tokens).size, tokens.length);
    });

    it("should not get commands with a lower fencing token after its entry was away", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.restartWorker("w1");
        harness.list("w1", {});
        const { entry } = harness.scheduler.state.workers.get("w1")!;
        const token = harness.scheduler.commandToken("w1");
        harness.scheduler.unregisterWorker("w1");
        harness.advance(20_000);
        assert.equal(harness.scheduler.state.workers.has("w1"), false);
        harness.scheduler.registerWorker(entry, { nowMs: harness.nowMs(), wallMs: harness.nowMs() });
        assert.ok(harness.scheduler.commandToken("w1") > token);
    });

    it("should keep a run that it may have accepted by another clock until the longest lease that it grants has ended", () => {
        const harness = createPool();
        harness.answerStarts(commandOutcomes.accepted);
        harness.restartWorker("w1");
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.advance(maxWorkerLeaseMs);
        assert.equal(harness.startedTasks().length, 1);
        harness.list("w2", {});
        harness.advance(slackMs);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should lose at once what its former incarnation had listed", () => {
        const harness = createPool();
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { running: ["job.0.0.0"] });
        harness.restartWorker("w1");
        assert.equal(harness.startedTasks().length, 2);
    });

    it("should not count as in touch because a start for its former incarnation was accepted", () => {
        const harness = createPool();
        harness.restartWorker("w1");
        harness.answerStarts(commandOutcomes.accepted);
        const { lastContactAtMs, leaseHeldUntilMs } = harness.scheduler.state.workers.get("w1")!;
        assert.deepEqual([lastContactAtMs, leaseHeldUntilMs], [undefined, Number.NEGATIVE_INFINITY]);
    });

    it("should settle by its first listing the starts that were meant for its former incarnation", () => {
        const harness = createPool();
        harness.restartWorker("w1");
        harness.list("w1", {});
        assert.equal(harness.startedTasks().length, 2, "the start without a response is refused from now on");
    });

    it("should get no start by the resources and labels of its former incarnation if only a listing has shown the restart", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", {});
        const list = (): void => {
            const nowMs = harness.nowMs();
            harness.scheduler.listingReceived("w1", { bornWallMs: 1, running: [], ended: [] }, nowMs, { nowMs, wallMs: nowMs });
            harness.advance(10);
        };
        list();
        list();
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.updateEntry("w1", { bornWallMs: 1 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should not be taken at its word by a listing that was requested from its former incarnation", () => {
        const harness = createPool();
        harness.scheduler.listingReceived("w1", { bornWallMs: 1, running: [], ended: [] }, 5, { nowMs: 10, wallMs: 10 });
        harness.advance(20);
        assert.equal(harness.startedTasks().length, 1, "a late start may still begin there");
        assert.equal(harness.scheduler.state.workers.get("w1")!.entry.bornWallMs, 1);
    });
});

describe("a worker whose response shows another clock", () => {
    it("should get no start before it has listed its runs again", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", {});
        harness.scheduler.incarnationDoubted("w1", harness.nowMs());
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        assert.ok(harness.scheduler.takeCommands().every(({ kind }) => kind === commandKinds.list));
        harness.list("w1", {});
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should keep the runs that it has not listed until the longest lease that it grants has ended", () => {
        const harness = createPool();
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.incarnationDoubted("w1", harness.nowMs());
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.advance(maxWorkerLeaseMs);
        harness.list("w2", {});
        assert.equal(harness.startedTasks().length, 1);
    });
});

describe("the snapshot of a worker that has restarted", () => {
    it("should tell the next owner which runs no listing has shown, so that it keeps them if the worker restarts again", () => {
        const harness = createPool();
        harness.answerStarts(commandOutcomes.accepted);
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.advance(10);
        const isSnapshot = (command: SchedulerCommand): boolean => command.kind === commandKinds.writeSnapshot;
        const snapshot = harness.sent().find(isSnapshot);
        assert.ok(snapshot?.kind === commandKinds.writeSnapshot);
        const next = createSchedulerHarness({ workers: 2, token: 20, maxWorkerLeaseMs });
        next.submit("job", { taskCount: 1, isLongRunning: true, formerWorkerIds: ["w1"] });
        next.restoreSnapshot("w1", snapshot.snapshot.runs, snapshot.snapshot.leaseLeftMs);
        next.restartWorker("w1");
        next.list("w2", {});
        assert.deepEqual(next.startedTasks(), []);
        next.list("w1", {});
        assert.deepEqual(next.startedTasks(), ["job.0.0.0"]);
    });
});

describe("an owner that follows another one", () => {
    /** How long the task of the former owner waits for a worker that does not respond, after the former owners have ended. */
    const waitMs = (bornWallMs: number, seenAtMs: number): number => {
        const nowMs = 60_000;
        const harness = createSchedulerHarness({ workers: 1, maxWorkerLeaseMs, formerOwnersEndAtMs: nowMs, nowMs });
        const [worker] = harness.scheduler.state.workers.values();
        harness.scheduler.registerWorker({ ...worker!.entry, workerId: "silent", bornWallMs }, { nowMs, wallMs: nowMs }, seenAtMs);
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["silent"] });
        for (; harness.startedTasks().length === 0; harness.advance(100)) {
            harness.list("w1", {});
        }
        return harness.nowMs() - nowMs;
    };

    it("should wait for the longest lease that workers grant if a worker has just restarted, since the former owner may not have known", () => {
        assert.ok(waitMs(59_000, 59_000) >= maxWorkerLeaseMs);
    });

    it("should wait as long from the end of the former owner on if a worker restarts before that", () => {
        const formerOwnersEndAtMs = 2_000;
        const harness = createSchedulerHarness({ workers: 2, maxWorkerLeaseMs, formerOwnersEndAtMs });
        harness.list("w1", {});
        harness.restartWorker("w1");
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        for (; harness.startedTasks().length === 0; harness.advance(100)) {
            harness.list("w2", {});
        }
        assert.ok(harness.nowMs() >= formerOwnersEndAtMs + maxWorkerLeaseMs, `started after ${harness.nowMs()} ms`);
    });

    it("should wait for no longer than what was asked for if the worker started long ago", () => {
        const longestMs = workerLeaseMs + 2 * slackMs;
        assert.ok(waitMs(10_000, 11_000) <= longestMs);
        assert.ok(waitMs(10_000, 60_000) <= longestMs, "an owner that has started itself goes by the start of the worker");
    });
});

describe("what an owner knows only in part of a restarted worker", () => {
    it("should keep a start without a response until the longest lease that a restarted worker grants has ended", () => {
        const harness = createSchedulerHarness({ workers: 2, maxWorkerLeaseMs });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1, isLongRunning: true });
        harness.list("w2", { sentAtMs: 0 });
        harness.answerStarts(commandOutcomes.unknown);
        harness.scheduler.workerUnresponsive("w1", harness.nowMs());
        const startedAtMs = harness.nowMs();
        while (harness.startedTasks().length === 1 && harness.nowMs() < 12_000) {
            harness.advance(100);
            harness.list("w2", {});
        }
        assert.ok(harness.nowMs() - startedAtMs >= maxWorkerLeaseMs, `second start after ${harness.nowMs() - startedAtMs} ms`);
    });

    it("should keep the snapshot of an incarnation that is newer than the entry", () => {
        const harness = createSchedulerHarness({ workers: 2, maxWorkerLeaseMs, formerOwnersEndAtMs: 60_000, nowMs: 60_000 });
        const { scheduler } = harness;
        harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
        const { entry } = scheduler.state.workers.get("w1")!;
        scheduler.restoreSnapshot(
            { entry: { ...entry, bornWallMs: 59_000 }, runs: [["job.0.0.0", 5, 100, true]], leaseLeftMs: 10_400 },
            true,
            60_000,
            { nowMs: 60_000, wallMs: 60_000 },
        );
        while (harness.startedTasks().length === 0 && harness.nowMs() < 75_000) {
            harness.advance(100);
            harness.list("w2", {});
        }
        assert.ok(harness.nowMs() >= 70_400, `started after ${harness.nowMs() - 60_000} ms`);
    });
});
