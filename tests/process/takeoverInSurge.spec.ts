/**
 * Guards against an owner that spends its processor time on listings which show nothing after a takeover in a surge, while tasks wait beside
 * free capacity.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { playTakeoverLoad, type TakeoverLoadResult } from "./takeoverLoad.js";

const seeds = [1, 2];
/** A fifth of the workers are lost with the owner, as with a zone, and many have left when their VMs moved to the surging pool. */
const takeover = { killedAtMs: 5_000, untilMs: 12_500, lostPart: 0.2, departedCount: 160 };
const settledMs = 500;
const watchedMs = 3_000;
/** The owner has the processor time for the load, so a takeover costs the jobs that come after it little. */
const leastPartOfCalm = 0.9;

function inTimePart({ jobs }: TakeoverLoadResult, fromMs: number, untilMs: number): number {
    const submitted = jobs.filter(({ submittedAtMs }) => submittedAtMs >= fromMs && submittedAtMs < untilMs);
    const inTime = submitted.filter(({ submittedAtMs, completedAtMs, objectiveMs }) =>
        (completedAtMs ?? Number.POSITIVE_INFINITY) - submittedAtMs <= objectiveMs
    );
    return inTime.length / submitted.length;
}

describe("a takeover in a surge", () => {
    for (const seed of seeds) {
        it(`should leave the jobs that come after it in time, seed ${seed}`, async context => {
            const result = await playTakeoverLoad({ ...takeover, seed });
            const calm = inTimePart(result, 0, takeover.killedAtMs - watchedMs);
            const after = inTimePart(result, result.takenOverAtMs + settledMs, result.takenOverAtMs + settledMs + watchedMs);
            const text = `${calm.toFixed(2)} in time before the takeover, ${after.toFixed(2)} after it; starts a second since: ${
                result.startsPerS.join(", ")
            }`;
            context.diagnostic(text);
            assert.ok(after >= leastPartOfCalm * calm, text);
        });
    }
});
