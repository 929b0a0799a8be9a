/** Guards against pauses between the listings of a late owner for which a worker counts as silent, or its runs lose their leases. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession, type WorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { minLeaseMs, startValidityMs } from "../../src/scheduling/leases.js";
import type { ListedEnd } from "../../src/scheduling/reconcileListing.js";
import { findStartObstacle, startObstacles } from "../../src/scheduling/startObstacle.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

/** So late that its listings are at their slowest. */
const latenessMs = 1_000;
/** How long a response may take beyond the wait that the listing asks for, until it counts as missing. */
const responseMs = 500;
const stepMs = 10;
const maxPauseMs = 2_000;

interface PausedSession {
    harness: SchedulerHarness;
    session: WorkerSession;
    nowMs(): number;
    lists: ListOrder[];
    /** Answers the listing that is open. */
    answer(listed: { running?: { taskName: string; runId: number }[]; ended?: ListedEnd[] }): Promise<void>;
    leaveUnanswered(): Promise<void>;
    advance(durationMs: number): Promise<void>;
    /** Runs until the next listing is sent. */
    awaitListing(): Promise<ListOrder>;
    isSilent(): boolean;
}

function createPausedSession(context: TestContext): PausedSession {
    const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
    const { scheduler } = harness;
    const timers = createManualTimerService();
    const lists: ListOrder[] = [];
    let respond: (response: ListResponse) => void = () => undefined;
    const client = {
        list: (order: ListOrder) => {
            lists.push(order);
            return new Promise<ListResponse>(resolve => respond = resolve);
        },
        close: () => undefined,
    } as unknown as WorkerClient;
    const session = createWorkerSession({ client, scheduler, timers, ...sessionDefaults, latenessMs: () => latenessMs });
    context.after(() => session.close());
    const advance = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            timers.advance(stepMs);
            await settle();
        }
    };
    return {
        harness,
        session,
        nowMs: timers.nowMs,
        lists,
        answer: async ({ running = [], ended = [] }) => {
            const listing = { bornWallMs: 0, running: running.map(run => ({ ...run, checkpoint: "", percent: 100, measured: 0 })), ended };
            respond({ outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: timers.nowMs(), listing });
            await settle();
        },
        leaveUnanswered: async () => {
            await advance(lists.at(-1)!.waitMs + responseMs);
            respond({ outcome: commandOutcomes.unknown, reason: "no response", isFenced: false, listing: undefined });
            await settle();
        },
        advance,
        awaitListing: async () => {
            const { length } = lists;
            const untilMs = timers.nowMs() + maxPauseMs;
            while (lists.length === length) {
                assert.ok(timers.nowMs() < untilMs, `no listing within ${maxPauseMs} ms`);
                await advance(stepMs);
            }
            return lists.at(-1)!;
        },
        isSilent: () => findStartObstacle(scheduler.state, scheduler.state.workers.get("w1")!, timers.nowMs()) === startObstacles.silent,
    };
}

const former = { taskName: "former.0.0.0", runId: 1 };
const formerEnd: ListedEnd = { endNumber: 1, ...former, end: "done", checkpoint: "" };

describe("a worker whose owner lists it as seldom as it may", () => {
    it("should not count as silent once its last run has ended, also if the response takes half a second", async context => {
        const { harness, session, answer, advance, awaitListing, isSilent } = createPausedSession(context);
        harness.submit("former", { taskCount: 1, formerWorkerIds: ["w1"] });
        await answer({ running: [former] });
        await answer({ ended: [formerEnd] });
        // The next listing acknowledges the end, so that the worker waits for as long as it is asked to.
        harness.saveAll();
        session.onProgressSaved();
        const { acknowledgedEndNumber, waitMs } = await awaitListing();
        assert.equal(acknowledgedEndNumber, 1);
        await advance(waitMs + responseMs - stepMs);
        assert.equal(isSilent(), false);
        await answer({});
        assert.equal(isSilent(), false);
    });

    // Its first listing extends no lease, so that a start that follows has its own one only.
    it("should have its leases extended before those of a first start end, also if a listing gets no response", async context => {
        const { harness, lists, nowMs, answer, leaveUnanswered, awaitListing } = createPausedSession(context);
        harness.submit("former", { taskCount: 2, formerWorkerIds: ["w1"] });
        await answer({ running: [former], ended: [{ ...formerEnd, taskName: "former.0.0.1" }] });
        assert.equal(lists[0]!.leaseUntilClockMs, undefined);
        const startedAtMs = nowMs();
        await awaitListing();
        await leaveUnanswered();
        while ((await awaitListing()).leaseUntilClockMs === undefined) {
            await answer({ running: [former], ended: [{ ...formerEnd, taskName: "former.0.0.1" }] });
        }
        const extendedAfterMs = nowMs() - startedAtMs;
        assert.ok(extendedAfterMs < minLeaseMs(startValidityMs), `extended after ${extendedAfterMs} ms`);
    });

    it("should have its leases extended all the while if the store takes no writes", async context => {
        const { harness, lists, nowMs, answer, awaitListing } = createPausedSession(context);
        harness.submit("former", { taskCount: 2, formerWorkerIds: ["w1"] });
        const untilMs = nowMs() + 8_000;
        let extendedAtMs = nowMs();
        let longestMs = 0;
        while (nowMs() < untilMs) {
            await answer({ running: [former], ended: [{ ...formerEnd, taskName: "former.0.0.1" }] });
            const { leaseUntilClockMs, acknowledgedEndNumber } = await awaitListing();
            assert.equal(acknowledgedEndNumber, 0);
            longestMs = Math.max(longestMs, nowMs() - extendedAtMs);
            extendedAtMs = leaseUntilClockMs === undefined ? extendedAtMs : nowMs();
        }
        assert.ok(lists.length > 1);
        assert.ok(longestMs < minLeaseMs(startValidityMs), `not extended for ${longestMs} ms`);
    });
});
