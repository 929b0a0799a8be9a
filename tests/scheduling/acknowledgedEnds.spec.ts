/**
 * Guards against an end that its worker forgets unseen: a listing that acknowledges ends, and a start, that are both carried out by the next
 * incarnation of their worker. And against acknowledgements that starts hold up for good.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { acknowledgementFailures } from "../../src/scheduling/acknowledgedEnds.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

/** A pool of one worker that has listed the end of its first run, which is stored. */
function createPool(): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 1 });
    harness.list("w1", {});
    harness.submit("first", { taskCount: 1 });
    harness.answerStarts(commandOutcomes.accepted);
    harness.list("w1", { ended: [{ taskName: "first.0.0.0", end: "done" }] });
    harness.saveAll();
    return harness;
}

const acknowledge = ({ scheduler, nowMs }: SchedulerHarness): number => scheduler.takeAcknowledgement("w1", nowMs());

/** A worker returns so many ends at a time; what it runs is not known before it has returned all. */
const listedEndsLimit = 500;
/** The shortest time within which platforms expect an end to be acknowledged. */
const acknowledgementLimitMs = 4_000;
const stepsCount = 400;

/** Two starts in each step; the responses to those of one step are read when the first of the next has been sent. */
function startAlways(stepMs: number): { endsCount: number; longestListLength: number; longestHeldUpMs: number } {
    const harness = createPool();
    const endedAtMs = [harness.nowMs()];
    let acknowledgedCount = acknowledge(harness);
    let longestListLength = 0;
    let longestHeldUpMs = 0;
    const running: string[] = [];
    for (let step = 0; step < stepsCount; step++) {
        const openStarts = harness.startedTasks().slice(endedAtMs.length + running.length);
        harness.submit(`job${step}`, { taskCount: 1 });
        harness.advance(stepMs);
        harness.answerStarts(commandOutcomes.accepted);
        running.push(...openStarts);
        const ended = running.splice(0, 2);
        ended.forEach(() => endedAtMs.push(harness.nowMs()));
        harness.list("w1", { running, ended: ended.map(taskName => ({ taskName, end: "done" as const })) });
        harness.saveAll();
        harness.submit(`other${step}`, { taskCount: 1 });
        acknowledgedCount = Math.max(acknowledgedCount, acknowledge(harness));
        longestListLength = Math.max(longestListLength, endedAtMs.length - acknowledgedCount);
        longestHeldUpMs = Math.max(longestHeldUpMs, harness.nowMs() - (endedAtMs[acknowledgedCount] ?? harness.nowMs()));
    }
    return { endsCount: endedAtMs.length, longestListLength, longestHeldUpMs };
}

describe("the acknowledgement of ends", () => {
    it("should wait while a start has no response", () => {
        const harness = createPool();
        harness.submit("second", { taskCount: 1 });
        assert.equal(acknowledge(harness), 0);
        harness.answerStarts(commandOutcomes.accepted);
        assert.equal(acknowledge(harness), 1);
    });

    it("should wait while it is not known what became of a start without a response", () => {
        const harness = createPool();
        harness.submit("second", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.unknown);
        assert.equal(acknowledge(harness), 0);
        harness.answerStops(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", {});
        assert.equal(acknowledge(harness), 1);
    });

    it("should have a lower token than a start that follows it", () => {
        const harness = createPool();
        const { scheduler } = harness;
        const listingToken = scheduler.commandToken("w1");
        acknowledge(harness);
        assert.equal(scheduler.commandToken("w1"), listingToken);
        const startToken = scheduler.takeStartToken("w1");
        assert.ok(startToken > listingToken, `${startToken} after ${listingToken}`);
        assert.equal(scheduler.commandToken("w1"), startToken, "stops and listings must not be refused because of the start");
    });

    it("should not keep a worker from starts because one listing had no response", () => {
        const harness = createPool();
        const { scheduler } = harness;
        for (let number = 0; number < 120; number++) {
            harness.submit(`job${number}`, { taskCount: 1 });
            harness.answerStarts(commandOutcomes.accepted);
            harness.list("w1", { ended: [{ taskName: `job${number}.0.0.0`, end: "done" }] });
            harness.saveAll();
            acknowledge(harness);
        }
        harness.list("w1", {});
        scheduler.acknowledgementFailed(
            "w1",
            acknowledgementFailures.unanswered,
            { endNumber: 121, token: 1, sentAtMs: harness.nowMs() },
            harness.nowMs(),
        );
        harness.submit("open", { taskCount: 1 });
        assert.equal(acknowledge(harness), 0);
        harness.submit("next", { taskCount: 1 });
        assert.equal(harness.startedTasks().at(-1), "next.0.0.0");
    });

    it("should not cost a token for each start", () => {
        const harness = createPool();
        const { scheduler } = harness;
        acknowledge(harness);
        const token = scheduler.takeStartToken("w1");
        assert.equal(scheduler.takeStartToken("w1"), token);
        harness.submit("second", { taskCount: 1 });
        acknowledge(harness);
        assert.equal(scheduler.takeStartToken("w1"), token, "nothing was acknowledged");
    });

    for (const [stepMs, rate] of [[50, "some"], [10, "many"]] as const) {
        it(`should go on while starts are always under way, and the worker's list of ends stay short, with ${rate} ends a second`, () => {
            const { endsCount, longestListLength, longestHeldUpMs } = startAlways(stepMs);
            assert.ok(endsCount > 300, `${endsCount} ends`);
            assert.ok(longestListLength < listedEndsLimit, `${longestListLength} ends were not acknowledged at a time`);
            assert.ok(longestHeldUpMs < acknowledgementLimitMs, `an end was not acknowledged for ${longestHeldUpMs} ms`);
        });
    }
});
