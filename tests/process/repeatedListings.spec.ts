/**
 * Guards against listings that show nothing new: after a change of the owner, or while the store is silent, they take the processor time that
 * the owner needs for starts. How often a worker has to be listed follows from two needs: an end is seen soon, also while an earlier one
 * is not stored yet, and the leases are extended each second.
 */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import type { ListOrder, ListResponse } from "../../src/connection/workerClient.js";
import { createWorkerSession, type WorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { ListedEnd, Listing } from "../../src/scheduling/reconcileListing.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";
import { createSessionFixture, emptyListing, type SessionFixture } from "./sessionFixture.js";

const durationMs = 4_000;
/** A new end has to be seen within this time. */
const maxEndDelayMs = 250;
const leaseExtensionMs = 1_000;
const roundTripMs = 5;
const stepMs = 5;

interface Course {
    latenessMs?: number;
    /** When tasks end on the worker. */
    endsAtMs: readonly number[];
    /** How long after the listing of an end its job is stored; never if `undefined`. */
    writeMs?: number;
    /** The worker's address refuses connections. */
    isRefusing?: boolean;
}

interface Listings {
    count: number;
    /** How long after each end the session has seen it; `undefined` if it has not. */
    endDelaysMs: (number | undefined)[];
    /** Longest time between two listings that extend the leases. */
    longestExtensionGapMs: number;
}

const listRunning = (runs: readonly Run[]): Listing["running"] =>
    runs.map(({ taskName, runId }) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));

/** Afterwards, the listing that is open knows of the runs. */
async function startTasks(fixture: SessionFixture, session: WorkerSession, taskCount: number): Promise<readonly Run[]> {
    await fixture.respondToList({ clockMs: 0, listing: emptyListing });
    fixture.harness.submit("job", { taskCount });
    const runs = fixture.harness.commands(commandKinds.start);
    assert.equal(runs.length, taskCount);
    for (const run of runs) {
        session.execute({ kind: commandKinds.start, run, payload: "", checkpoint: "" });
        await settle();
        await fixture.respondToStart({ clockMs: 0 });
    }
    await fixture.respondToList({ clockMs: 0, listing: { ...emptyListing, running: listRunning(runs) } });
    return runs;
}

/** Plays a worker that returns a listing at once if it has ends which were not acknowledged, as workers do, and counts its listings. */
async function playListings(context: TestContext, { latenessMs = 0, endsAtMs, writeMs, isRefusing = false }: Course): Promise<Listings> {
    const fixture = createSessionFixture();
    const { harness: { scheduler }, timers, client, lists } = fixture;
    const session = createWorkerSession({ client, scheduler, timers, ...sessionDefaults, latenessMs: () => latenessMs });
    context.after(() => session.close());
    // One task runs all the time.
    const runs = await startTasks(fixture, session, endsAtMs.length + 1);
    const isOpenFrom = lists.length - 1;
    const sentAtMs = new Map<ListOrder, number>(lists.slice(isOpenFrom).map(order => [order, 0]));
    const seenAtMs = new Map<number, number>();
    const extendedAtMs: number[] = [];
    let answeredCount = isOpenFrom;
    let acknowledgedEndNumber = 0;

    const respond = (order: ListOrder, nowMs: number): Partial<ListResponse> | undefined => {
        const openMs = nowMs - sentAtMs.get(order)!;
        if (isRefusing) {
            return openMs < roundTripMs ? undefined : {
                outcome: commandOutcomes.refused,
                reason: "ECONNREFUSED",
                isDisconnected: true,
            };
        }
        acknowledgedEndNumber = Math.max(acknowledgedEndNumber, order.acknowledgedEndNumber);
        const ended = endsAtMs.flatMap((endsMs, index): ListedEnd[] => {
            const { taskName, runId } = runs[index]!;
            const endNumber = index + 1;
            return endsMs <= nowMs && endNumber > acknowledgedEndNumber ?
                [{ endNumber, taskName, runId, end: "done", checkpoint: "" }] :
                [];
        });
        if (openMs < roundTripMs || ended.length === 0 && openMs < order.waitMs + roundTripMs) {
            return undefined;
        }
        ended.forEach(({ endNumber }) => seenAtMs.set(endNumber, seenAtMs.get(endNumber) ?? nowMs));
        const running = runs.filter((_, index) => (endsAtMs[index] ?? Number.POSITIVE_INFINITY) > nowMs);
        return { clockMs: nowMs, listing: { ...emptyListing, running: listRunning(running), ended } };
    };
    const store = (nowMs: number): void => {
        const isDue = writeMs !== undefined && [...seenAtMs.values()].some(seenMs => nowMs - seenMs === writeMs);
        if (isDue) {
            scheduler.takeUnsavedJobs(1).forEach(job => scheduler.progressSaved(job.jobId, job.version, nowMs));
            session.onProgressSaved();
        }
    };

    while (timers.nowMs() < durationMs) {
        timers.advance(stepMs);
        await settle();
        const nowMs = timers.nowMs();
        store(nowMs);
        await settle();
        for (const order of lists.slice(answeredCount)) {
            if (!sentAtMs.has(order)) {
                sentAtMs.set(order, nowMs);
                extendedAtMs.push(...order.leaseUntilClockMs === undefined ? [] : [nowMs]);
            }
        }
        const oldest = lists[answeredCount];
        const response = oldest && respond(oldest, nowMs);
        if (response) {
            answeredCount += 1;
            await fixture.respondToList(response);
        }
    }
    return {
        count: lists.length - isOpenFrom,
        endDelaysMs: endsAtMs.map((endsMs, index) => seenAtMs.has(index + 1) ? seenAtMs.get(index + 1)! - endsMs : undefined),
        longestExtensionGapMs: Math.max(...[...extendedAtMs, durationMs].map((atMs, index) => atMs - (extendedAtMs[index - 1] ?? 0))),
    };
}

function assertNeedsMet({ endDelaysMs, longestExtensionGapMs }: Listings): void {
    // An end also takes the round trip to be seen, and a listing that ends the wait for ends is late by it.
    assert.ok(
        endDelaysMs.every(delayMs => delayMs !== undefined && delayMs <= maxEndDelayMs + 2 * roundTripMs),
        `ends seen after ${endDelaysMs.join(", ")} ms`,
    );
    assert.ok(longestExtensionGapMs <= leaseExtensionMs + 4 * roundTripMs, `no extension for ${longestExtensionGapMs} ms`);
}

function assertCount(context: TestContext, { count }: Listings, maxCount: number): void {
    const text = `${count} listings in ${durationMs} ms, ${maxCount} needed`;
    context.diagnostic(text);
    assert.ok(count <= maxCount, text);
}

/** One each 250 ms, beside the one that is open at the beginning. */
const maxCountUnstored = 1 + durationMs / maxEndDelayMs;
const extensionsCount = durationMs / leaseExtensionMs;

describe("listings of a worker", () => {
    for (const latenessMs of [0, 30]) {
        const title = "should not list a worker again and again while its ends cannot be stored";
        it(latenessMs === 0 ? title : `${title}, by a process that is ${latenessMs} ms late`, async context => {
            const listings = await playListings(context, { latenessMs, endsAtMs: [20, 2_100] });
            assertNeedsMet(listings);
            assertCount(context, listings, maxCountUnstored);
        });
    }

    it("should not list a worker again and again while each write takes 100 ms", async context => {
        const endsAtMs = Array.from({ length: 10 }, (_, index) => 20 + 400 * index);
        const listings = await playListings(context, { endsAtMs, writeMs: 100 });
        assertNeedsMet(listings);
        // Each end returns the listing that is open; the next one acknowledges it once it is stored, and waits for the end after it.
        assertCount(context, listings, 1 + endsAtMs.length + extensionsCount);
    });

    it("should list a worker once a second while nothing ends", async context => {
        const listings = await playListings(context, { endsAtMs: [] });
        assertNeedsMet(listings);
        assertCount(context, listings, 1 + extensionsCount);
    });

    it("should not list a worker again and again whose address refuses connections", async context => {
        const listings = await playListings(context, { endsAtMs: [], isRefusing: true });
        assertCount(context, listings, maxCountUnstored);
        assert.ok(listings.count >= durationMs / 600, "it is tried each half a second in the end");
    });
});
