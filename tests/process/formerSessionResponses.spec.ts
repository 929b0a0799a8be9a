/** Guards against responses that were requested before a restart, or before a sign of one, and that show nothing of the present incarnation. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import type { WorkerSession } from "../../src/process/workerSession.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { settle } from "./sessionDefaults.js";
import { createSessionFixture, emptyListing, listedEnd, noResponse, type SessionFixture } from "./sessionFixture.js";

/** A session whose worker has been listed once. */
async function openListed(context: TestContext): Promise<SessionFixture & { session: WorkerSession }> {
    const fixture = createSessionFixture();
    const session = fixture.open(context);
    await fixture.respondToList({ clockMs: 50_000, listing: emptyListing });
    return { ...fixture, session };
}

describe("session with a worker that has restarted meanwhile", () => {
    it("should not take a listing with the former incarnation's token for the first listing of the next one", async context => {
        const { harness, session, start, lists, respondToList } = await openListed(context);
        await start(session);
        // The entry of the next incarnation comes; the poll is open, and sessions are synchronised with the next step only.
        harness.restartWorker("w1");
        const worker = harness.scheduler.state.workers.get("w1")!;
        await respondToList({ clockMs: 1_000, listing: { ...emptyListing, bornWallMs: 1 } });
        assert.ok(lists.every(({ token }) => token < harness.scheduler.commandToken("w1")), "no command with the new token was sent");
        assert.deepEqual([worker.hasListed, worker.isRunStateKnown, worker.runs.size], [false, false, 1]);
    });

    it("should not trust a listing that was requested before the response by another clock", async context => {
        const { harness, session, start, lists, timers, respondToList, respondToStart } = await openListed(context);
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        await start(session);
        timers.advance(50);
        await respondToStart({ clockMs: 1_000 });
        // The poll's response of the former incarnation, written before, is read after that of the start.
        await respondToList({ clockMs: 50_010, listing: emptyListing });
        const { acknowledgedEndNumber, leaseUntilClockMs } = lists.at(-1)!;
        const { doubtedAtMs } = harness.scheduler.state.workers.get("w1")!;
        assert.deepEqual([doubtedAtMs !== undefined, acknowledgedEndNumber, leaseUntilClockMs], [true, 0, undefined]);
    });

    it("should not take a second response to the former incarnation's session for the first listing of the next one", async context => {
        const { harness, session, start, lists, respondToList } = await openListed(context);
        await start(session);
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
        const { lists, respondToList } = await openListed(context);
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        await respondToList({ clockMs: 1_000, listing: { ...emptyListing, bornWallMs: -1 } });
        const { acknowledgedEndNumber, leaseUntilClockMs } = lists.at(-1)!;
        assert.deepEqual([acknowledgedEndNumber, leaseUntilClockMs], [0, undefined]);
    });

    it("should not trust a listing that was requested before a stop without a response", async context => {
        const { session, start, lists, timers, respondToList, respondToStart, respondToStop } = await openListed(context);
        await respondToList({ clockMs: 50_000, listing: { ...emptyListing, ended: [listedEnd] } });
        const run = await start(session);
        await respondToStart({ clockMs: 50_000 });
        session.execute({ kind: commandKinds.stop, run, reason: "" });
        await settle();
        timers.advance(500);
        await respondToStop(noResponse);
        // Written at 50,010, before the stop was lost.
        await respondToList({ clockMs: 50_010, listing: emptyListing });
        assert.equal(lists.at(-1)!.acknowledgedEndNumber, 0);
    });
});
