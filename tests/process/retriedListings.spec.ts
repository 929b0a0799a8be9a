/** Guards against a worker that is back, or is known to be gone, and is found late because its listings failed before. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { minLeaseMs } from "../../src/scheduling/leases.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";
import { createSessionFixture, emptyListing, listedEnd, noResponse, type SessionFixture } from "./sessionFixture.js";

const stepMs = 10;
/** A call without a response is given up after this. */
const responseTimeoutMs = 500;
const refused = { ...noResponse, outcome: commandOutcomes.refused, reason: "ECONNREFUSED", isDisconnected: true };

async function advance({ timers }: SessionFixture, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        timers.advance(stepMs);
        await settle();
    }
}

/** Refuses the listings of a worker without an entry until the retries are at their slowest. */
async function refuseListings(fixture: SessionFixture): Promise<void> {
    fixture.harness.scheduler.unregisterWorker("w1");
    for (let count = 1; count <= 8; count++) {
        await fixture.respondToList(refused);
        const { length } = fixture.lists;
        while (count < 8 && fixture.lists.length === length) {
            await advance(fixture, stepMs);
        }
    }
}

async function untilNextListing(fixture: SessionFixture): Promise<number> {
    const { length } = fixture.lists;
    const sinceMs = fixture.timers.nowMs();
    while (fixture.lists.length === length && fixture.timers.nowMs() - sinceMs < 5_000) {
        await advance(fixture, stepMs);
    }
    return fixture.timers.nowMs() - sinceMs;
}

describe("a worker whose listings have failed", () => {
    const createFailing = async (context: TestContext): Promise<SessionFixture & { session: ReturnType<SessionFixture["open"]> }> => {
        const fixture = createSessionFixture();
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 0, listing: emptyListing });
        await refuseListings(fixture);
        return { ...fixture, session };
    };

    it("should be listed as often as others once its entry is back, also if the first listing then fails", async context => {
        const fixture = await createFailing(context);
        const { scheduler } = fixture.harness;
        scheduler.registerWorker({ ...scheduler.state.workers.get("w1")!.entry }, { nowMs: 0, wallMs: 0 });
        const command = scheduler.takeCommands().find(({ kind }) => kind === commandKinds.list);
        assert.ok(command?.kind === commandKinds.list);
        fixture.session.execute(command);
        await settle();
        await fixture.respondToList(refused);
        const delayMs = await untilNextListing(fixture);
        assert.ok(delayMs <= 500, `listed again after ${delayMs} ms`);
    });

    it("should be listed at once when another worker registers at its address", async context => {
        const { harness: { scheduler } } = await createFailing(context);
        scheduler.takeCommands();
        const entry = { ...scheduler.state.workers.get("w1")!.entry, workerId: "w2", bornWallMs: 1_000 };
        scheduler.registerWorker(entry, { nowMs: 0, wallMs: 1_000 });
        const listed = scheduler.takeCommands().flatMap(command => command.kind === commandKinds.list ? [command.workerId] : []);
        assert.ok(listed.includes("w1"), "until then, jobs that may run on it wait");
    });
});

describe("the pause after a listing with ends", () => {
    it("should end when a listing shows that the last start without a response was not carried out", async context => {
        const fixture = createSessionFixture();
        const { harness: { scheduler }, lists } = fixture;
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 0, listing: emptyListing });
        const run = await fixture.start(session);
        await fixture.respondToList({ clockMs: 0, listing: { ...emptyListing, ended: [listedEnd] } });
        await fixture.respondToStart(noResponse);
        session.execute({ kind: commandKinds.stop, run, reason: "" });
        await settle();
        await fixture.respondToStop({});
        await advance(fixture, stepMs);
        session.execute({ kind: commandKinds.list, workerId: "w1" });
        await settle();
        const { length } = lists;
        await fixture.respondToList({ clockMs: stepMs, listing: { ...emptyListing, ended: [listedEnd] } });
        assert.equal(scheduler.isAcknowledgementHeldUp("w1"), false, "nothing holds up the acknowledgement any more");
        const delayMs = lists.length > length ? 0 : await untilNextListing(fixture);
        assert.equal(lists[length]?.acknowledgedEndNumber, 1);
        assert.ok(delayMs <= 2 * stepMs, `the ends are acknowledged ${delayMs} ms later`);
    });
});

describe("a worker without an entry whose task runs on", () => {
    // After a silence of the store, all entries may be gone; the retry that comes first then sees the worker again.
    it("should have its leases extended in time if it responds again 4.6 s after the last extension", async context => {
        const fixture = createSessionFixture();
        const { harness: { scheduler }, lists, timers } = fixture;
        const session = fixture.open(context);
        await fixture.respondToList({ clockMs: 0, listing: emptyListing });
        const { taskName, runId } = await fixture.start(session);
        await fixture.respondToStart({});
        const listing = { ...emptyListing, running: [{ taskName, runId, checkpoint: "", percent: 100, measured: 0 }] };
        await fixture.respondToList({ clockMs: 0, listing });
        scheduler.unregisterWorker("w1");
        const isOpen = lists.at(-1)!;
        assert.ok(isOpen.leaseUntilClockMs !== undefined);
        const extendedAtMs = timers.nowMs();
        let seenCount = lists.length - 1;
        let extendedAgainAtMs: number | undefined;
        while (extendedAgainAtMs === undefined && timers.nowMs() - extendedAtMs < 10_000) {
            const order = lists[seenCount];
            if (!order) {
                await advance(fixture, stepMs);
                continue;
            }
            seenCount += 1;
            if (timers.nowMs() - extendedAtMs < 4_600) {
                await advance(fixture, order.waitMs + responseTimeoutMs);
                await fixture.respondToList(noResponse);
            }
            else if (order.leaseUntilClockMs === undefined) {
                await fixture.respondToList({ clockMs: timers.nowMs(), listing });
            }
            else {
                extendedAgainAtMs = timers.nowMs() - extendedAtMs;
            }
        }
        assert.ok(extendedAgainAtMs! < minLeaseMs(sessionDefaults.leaseMs), `extended again after ${extendedAgainAtMs} ms`);
    });
});
