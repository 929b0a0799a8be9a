/** Checks when a worker is listed again because a task on it should have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createOverdueEnds } from "../../src/scheduling/overdueEnds.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const estimatedDurationMs = 1_000;

/** A worker with a running task of the given kind. */
function startTask(step: { isLongRunning?: boolean } = {}): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 1 });
    harness.list("w1", { sentAtMs: 0 });
    harness.submit("job", { taskCount: 1, estimatedDurationMs, ...step });
    harness.answerStarts(commandOutcomes.accepted);
    return harness;
}

/** The times at which the worker is listed again, until `untilMs`. */
function listingTimesMs(harness: SchedulerHarness, untilMs: number, latenessMs = 0): number[] {
    const overdueEnds = createOverdueEnds();
    const timesMs: number[] = [];
    while (harness.nowMs() < untilMs) {
        harness.advance(100);
        const workerIds = overdueEnds.takeWorkers(harness.scheduler.state, harness.nowMs(), latenessMs);
        timesMs.push(...workerIds.map(() => harness.nowMs()));
    }
    return timesMs;
}

describe("a task that should have ended", () => {
    it("should have its worker listed soon after that, and again each time its age has doubled", () => {
        const [first, ...later] = listingTimesMs(startTask(), 7_000);
        assert.ok(first! > estimatedDurationMs && first! <= 1.5 * estimatedDurationMs, `at ${first} ms`);
        assert.deepEqual(later, [2 * first!, 4 * first!]);
    });

    it("should not cost an owner that is late the processor time of more listings", () => {
        assert.deepEqual(listingTimesMs(startTask(), 3_000, 200), []);
    });

    it("should not have its worker listed if it runs until it is stopped, or once its end is known", () => {
        assert.deepEqual(listingTimesMs(startTask({ isLongRunning: true }), 3_000), []);
        const harness = startTask();
        harness.advance(1_000);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", end: "done" }] });
        assert.deepEqual(listingTimesMs(harness, 3_000), []);
    });
});
