/**
 * Guards against responses that were requested before a restart, or before a sign of one, and that show nothing of the present incarnation.
 */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false };
const emptyListing = { bornWallMs: 0, running: [], ended: [] };

function createFixture(context: TestContext) {
    const harness = createSchedulerHarness({ workers: 1, token: 10, maxWorkerLeaseMs: 10_000 });
    const timers = createManualTimerService();
    const lists: ListOrder[] = [];
    const listResponses: ((response: ListResponse) => void)[] = [];
    const startResponses: ((response: OrderResponse) => void)[] = [];
    const stopResponses: ((response: OrderResponse) => void)[] = [];
    const client = {
        list: (order: ListOrder) => {
            lists.push(order);
            return new Promise(resolve => listResponses.push(resolve));
        },
        start: () => new Promise(resolve => startResponses.push(resolve)),
        stop: () => new Promise(resolve => stopResponses.push(resolve)),
        setPace: () => new Promise(() => undefined),
        close: () => undefined,
    } as unknown as WorkerClient;
    const session = createWorkerSession({
        client,
        scheduler: harness.scheduler,
        timers,
        ...sessionDefaults,
    });
    context.after(() => session.close());
    return {
        harness,
        timers,
        session,
        lists,
        stopResponses,
        respondToList: (response: Partial<ListResponse>, index = 0) => {
            listResponses.splice(index, 1)[0]!({ ...accepted, clockMs: undefined, listing: undefined, ...response });
            return settle();
        },
        respondToStart: (response: Partial<OrderResponse>) => {
            startResponses.shift()!({ ...accepted, ...response });
            return settle();
        },
    };
}

describe("session with a worker that has restarted meanwhile", () => {
    it("should not take a listing with the former incarnation's token for the first listing of the next one", async context => {
        const { harness, session, lists, respondToList } = createFixture(context);
        await respondToList({ clockMs: 50_000, listing: emptyListing });
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        // The entry of the next incarnation comes; the poll is open, and sessions are synchronised with the next step only.
        harness.restartWorker("w1");
        const worker = harness.scheduler.state.workers.get("w1")!;
        await respondToList({ clockMs: 1_000, listing: { ...emptyListing, bornWallMs: 1 } });
        assert.ok(lists.every(({ token }) => token < harness.scheduler.commandToken("w1")), "no command with the new token was sent");
        assert.deepEqual([worker.hasListed, worker.isRunStateKnown, worker.runs.size], [false, false, 1]);
    });

    it("should not trust a listing that was requested before the response by another clock", async context => {
        const { harness, session, lists, timers, respondToList, respondToStart } = createFixture(context);
        await respondToList({ clockMs: 50_000, listing: emptyListing });
        const ended = [{ endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done" as const, checkpoint: "" }];
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended } });
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await settle();
        timers.advance(50);
        await respondToStart({ clockMs: 1_000 });
        // The poll's response of the former incarnation, written before, is read after that of the start.
        await respondToList({ clockMs: 50_010, listing: emptyListing });
        const { acknowledgedEndNumber, leaseUntilClockMs } = lists.at(-1)!;
        const { doubtedAtMs } = harness.scheduler.state.workers.get("w1")!;
        assert.deepEqual([doubtedAtMs !== undefined, acknowledgedEndNumber, leaseUntilClockMs], [true, 0, undefined]);
    });

    it("should not take a second response to the former incarnation's session for the first listing of the next one", async context => {
        const { harness, session, lists, respondToList } = createFixture(context);
        await respondToList({ clockMs: 50_000, listing: emptyListing });
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        session.execute({ kind: commandKinds.list, workerId: "w1" });
        await settle();
        // The poll and the other listing are both open, and the next incarnation responds to both.
        const listing = { ...emptyListing, bornWallMs: 1 };
        await respondToList({ clockMs: 1_000, listing });
        await respondToList({ clockMs: 1_000, listing });
        const worker = harness.scheduler.state.workers.get("w1")!;
        assert.ok(lists.every(({ token }) => token < harness.scheduler.commandToken("w1")), "no command with the new token was sent");
        assert.deepEqual([worker.hasListed, worker.isRunStateKnown, worker.runs.size], [false, false, 1]);
    });

    it("should acknowledge no ends and extend no lease after a listing of another incarnation, whatever the order of their starts", async context => {
        const { lists, respondToList } = createFixture(context);
        await respondToList({ clockMs: 50_000, listing: emptyListing });
        const ended = [{ endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done" as const, checkpoint: "" }];
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended } });
        await respondToList({ clockMs: 1_000, listing: { ...emptyListing, bornWallMs: -1 } });
        const { acknowledgedEndNumber, leaseUntilClockMs } = lists.at(-1)!;
        assert.deepEqual([acknowledgedEndNumber, leaseUntilClockMs], [0, undefined]);
    });

    it("should not trust a listing that was requested before a stop without a response", async context => {
        const { harness, session, lists, timers, stopResponses, respondToList, respondToStart } = createFixture(context);
        await respondToList({ clockMs: 50_000, listing: emptyListing });
        const ended = [{ endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done" as const, checkpoint: "" }];
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended } });
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await settle();
        await respondToStart({ clockMs: 50_000 });
        session.execute({ kind: commandKinds.stop, run: run!, reason: "" });
        await settle();
        timers.advance(500);
        stopResponses.shift()!({ outcome: commandOutcomes.unknown, reason: "no response", isFenced: false });
        await settle();
        // Written at 50,010, before the stop was lost.
        await respondToList({ clockMs: 50_010, listing: emptyListing });
        assert.equal(lists.at(-1)!.acknowledgedEndNumber, 0);
    });
});
