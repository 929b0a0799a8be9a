/** Guards against commands that take a worker that has restarted for its former incarnation, before and after its owner knows of it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createWorkerSessions } from "../../src/process/workerSessions.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";
import { createSessionFixture, emptyListing, listedEnd, noResponse } from "./sessionFixture.js";

/** New ends have to be seen within this time. */
const maxEndDelayMs = 250;

describe("session with a worker that may have restarted", () => {
    it("should acknowledge no ends and extend no lease after a listing without a response, until the worker has responded", async context => {
        const fixture = createSessionFixture();
        fixture.open(context);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        await fixture.respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
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
            const fixture = createSessionFixture();
            const session = fixture.open(context);
            await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
            await fixture.start(session);
            await fixture.respondToStart({ clockMs });
            fixture.harness.submit("next", { taskCount: 1 });
            assert.deepEqual(fixture.harness.startedTasks(), ["job.0.0.0"]);
            session.execute({ kind: commandKinds.list, workerId: "w1" });
            await settle();
            const { acknowledgedEndNumber, leaseUntilClockMs } = fixture.lists.at(-1)!;
            assert.deepEqual([acknowledgedEndNumber, leaseUntilClockMs], [0, undefined]);
        });
    }

    it("should send a start with a higher token than an open listing that acknowledges ends, and take its refusal for no newer owner's", async context => {
        const fixture = createSessionFixture();
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        await fixture.respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        await fixture.start(session);
        const overtaken = fixture.lists.at(-1)!;
        assert.equal(overtaken.acknowledgedEndNumber, 1);
        assert.ok(fixture.starts[0]!.token > overtaken.token, `${fixture.starts[0]!.token} after ${overtaken.token}`);
        await fixture.respondToStart({ clockMs: 50_000 });
        await fixture.respondToList({ outcome: commandOutcomes.refused, isFenced: true });
        assert.equal(fixture.fencedCount(), 0);
        const repeated = fixture.lists.at(-1)!;
        assert.deepEqual([repeated.token, repeated.acknowledgedEndNumber], [fixture.starts[0]!.token, 1]);
        assert.notEqual(repeated.leaseUntilClockMs, undefined);
    });

    it("should acknowledge nothing beside a start under way, and acknowledge once it has a response", async context => {
        const fixture = createSessionFixture();
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        await fixture.start(session);
        await fixture.respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        assert.deepEqual(fixture.lists.map(({ acknowledgedEndNumber }) => acknowledgedEndNumber), [0, 0], "the next listing waits");
        await fixture.respondToStart({ clockMs: 50_000 });
        assert.deepEqual(fixture.lists.map(({ acknowledgedEndNumber }) => acknowledgedEndNumber), [0, 0, 1]);
    });

    it("should list the worker without an acknowledgement if a start gets no response for some time", async context => {
        const fixture = createSessionFixture();
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        await fixture.start(session);
        await fixture.respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        fixture.timers.advance(maxEndDelayMs);
        await settle();
        assert.deepEqual(fixture.lists.map(({ acknowledgedEndNumber }) => acknowledgedEndNumber), [0, 0, 0]);
    });

    it("should not doubt a worker whose clock goes on as expected", async context => {
        const fixture = createSessionFixture();
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
        await fixture.start(session);
        fixture.timers.advance(300);
        await fixture.respondToStart({ clockMs: 50_150 });
        assert.equal(fixture.harness.scheduler.state.workers.get("w1")!.doubtedAtMs, undefined);
    });
});

describe("sessions with a worker that has restarted", () => {
    it("should send nothing by the clock and the fencing token of the former incarnation once the owner knows of the next", async context => {
        const fixture = createSessionFixture();
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
