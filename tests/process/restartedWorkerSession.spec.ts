/** Guards against commands that take a worker that has restarted for its former incarnation, before and after its owner knows of it. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession, type WorkerSession } from "../../src/process/workerSession.js";
import { createWorkerSessions } from "../../src/process/workerSessions.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

interface Fixture {
    harness: SchedulerHarness;
    timers: ReturnType<typeof createManualTimerService>;
    client: WorkerClient;
    lists: ListOrder[];
    starts: StartOrder[];
    respondToList(response: Partial<ListResponse>): Promise<void>;
    respondToStart(response: Partial<OrderResponse>): Promise<void>;
}

const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false };
const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
const emptyListing = { bornWallMs: 0, running: [], ended: [] };

function createFixture(): Fixture {
    const harness = createSchedulerHarness({ workers: 1, token: 10 });
    const timers = createManualTimerService();
    const lists: ListOrder[] = [];
    const starts: StartOrder[] = [];
    const listResponses: ((response: ListResponse) => void)[] = [];
    const startResponses: ((response: OrderResponse) => void)[] = [];
    const client = {
        list: (order: ListOrder) => {
            lists.push(order);
            return new Promise(resolve => listResponses.push(resolve));
        },
        start: (order: StartOrder) => {
            starts.push(order);
            return new Promise(resolve => startResponses.push(resolve));
        },
        stop: () => Promise.resolve(noResponse),
        setPace: () => Promise.resolve(noResponse),
        close: () => undefined,
    } as unknown as WorkerClient;
    return {
        harness,
        timers,
        client,
        lists,
        starts,
        respondToList: response => {
            listResponses.shift()!({ ...accepted, clockMs: undefined, listing: undefined, ...response });
            return settle();
        },
        respondToStart: response => {
            startResponses.shift()!({ ...accepted, ...response });
            return settle();
        },
    };
}

function openSession(context: TestContext, { harness, timers, client }: Fixture): WorkerSession {
    const session = createWorkerSession({ client, scheduler: harness.scheduler, timers, ...sessionDefaults });
    context.after(() => session.close());
    return session;
}

describe("session with a worker that may have restarted", () => {
    it("should acknowledge no ends and extend no lease after a listing without a response, until the worker has responded", async context => {
        const fixture = createFixture();
        openSession(context, fixture);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        const ended = [{ endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done" as const, checkpoint: "" }];
        await fixture.respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended } });
        await fixture.respondToList(noResponse);
        fixture.timers.advance(100);
        await settle();
        await fixture.respondToList({ clockMs: 50_100, listing: emptyListing });
        assert.deepEqual(fixture.lists.map(({ acknowledgedEndNumber }) => acknowledgedEndNumber), [0, 0, 1, 0, 1]);
        assert.deepEqual(fixture.lists.map(({ leaseUntilClockMs }) => leaseUntilClockMs !== undefined), [false, true, true, false, true]);
        assert.deepEqual(fixture.lists.map(({ waitMs }) => waitMs > 0), [false, true, true, false, true]);
    });

    for (const clockMs of [1_000, 500_000]) {
        it(`should list the worker before further starts if a start was answered by another clock (${clockMs} instead of 50,000 ms)`, async context => {
            const fixture = createFixture();
            const session = openSession(context, fixture);
            await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
            fixture.harness.submit("job", { taskCount: 1 });
            const [run] = fixture.harness.commands(commandKinds.start);
            session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
            await settle();
            await fixture.respondToStart({ clockMs });
            fixture.harness.submit("next", { taskCount: 1 });
            assert.deepEqual(fixture.harness.startedTasks(), ["job.0.0.0"]);
            session.execute({ kind: commandKinds.list, workerId: "w1" });
            await settle();
            const { acknowledgedEndNumber, leaseUntilClockMs } = fixture.lists.at(-1)!;
            assert.deepEqual([acknowledgedEndNumber, leaseUntilClockMs], [0, undefined]);
        });
    }

    it("should not doubt a worker whose clock goes on as expected", async context => {
        const fixture = createFixture();
        const session = openSession(context, fixture);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        fixture.harness.submit("job", { taskCount: 1 });
        const [run] = fixture.harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        fixture.timers.advance(300);
        await fixture.respondToStart({ clockMs: 50_150 });
        assert.equal(fixture.harness.scheduler.state.workers.get("w1")!.doubtedAtMs, undefined);
    });
});

describe("sessions with a worker that has restarted", () => {
    it("should send nothing by the clock and the fencing token of the former incarnation once the owner knows of the next", async context => {
        const fixture = createFixture();
        const { scheduler } = fixture.harness;
        const sessions = createWorkerSessions({
            ...sessionDefaults,
            timers: fixture.timers,
            connectWorker: () => fixture.client,
            onFailed: (workerId, where, reason) => assert.fail(`${workerId}: ${where}: ${reason}`),
        });
        context.after(() => sessions.close());
        sessions.sync(scheduler);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        fixture.harness.submit("job", { taskCount: 1 });
        const [run] = fixture.harness.commands(commandKinds.start);
        fixture.harness.restartWorker("w1");
        sessions.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        assert.deepEqual(fixture.starts, []);
        const [, former] = fixture.lists;
        sessions.sync(scheduler);
        await settle();
        const first = fixture.lists.at(-1)!;
        assert.ok(first.token > former!.token, `${first.token} after ${former!.token}`);
        assert.deepEqual([first.acknowledgedEndNumber, first.leaseUntilClockMs, first.waitMs], [0, undefined, 0]);
    });
});
