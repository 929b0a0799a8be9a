/** Guards against an innocent job that is given up: its runs lapsed on silent workers that were restarted only later. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createPool, jobState, lastWorkerId, listAll } from "./crashPool.js";
import type { SchedulerHarness } from "./schedulerHarness.js";

const cutsCount = 4;

/** The worker of the latest start is cut off until its lease has ended, then restarts, and is in touch again. */
function cutOffAndRestart(harness: SchedulerHarness): void {
    const workerId = lastWorkerId(harness);
    const { taskName } = harness.commands(commandKinds.start).at(-1)!;
    harness.answerStarts(commandOutcomes.accepted);
    harness.extendLease(workerId);
    harness.advance(400);
    harness.list(workerId, { running: [taskName] });
    harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
    harness.advance(10_000);
    harness.restartWorker(workerId);
    listAll(harness);
}

describe("a task whose workers were cut off until its leases had ended", () => {
    for (const isLongRunning of [true, false]) {
        it(`should start again each time instead of being given up, if it ${isLongRunning ? "lasts" : "ends by itself"}`, () => {
            const harness = createPool();
            harness.submit("job", { taskCount: 1, isLongRunning });
            for (let cut = 1; cut <= cutsCount; cut++) {
                cutOffAndRestart(harness);
                assert.equal(harness.startedTasks().length, cut + 1, `starts after cut ${cut}`);
            }
            assert.equal(jobState(harness), "running");
        });
    }
});
