/** Guards against stops that are repeated at a short interval to a worker which cannot answer, once for each of its runs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

const durationMs = 4_000;
const stepMs = 10;

describe("a stop to a worker that refuses connections", () => {
    it("should be repeated less and less often, each half a second in the end", async context => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        const timers = createManualTimerService();
        let stopsCount = 0;
        const client = {
            list: () => new Promise(() => undefined),
            stop: () => {
                stopsCount += 1;
                return Promise.resolve({ outcome: commandOutcomes.refused, reason: "ECONNREFUSED", isFenced: false });
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        const session = createWorkerSession({ client, scheduler, timers, ...sessionDefaults });
        context.after(() => session.close());
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        scheduler.cancelJob("job", 0);
        while (timers.nowMs() < durationMs) {
            scheduler.takeCommands().forEach(command => command.kind === commandKinds.stop && session.execute(command));
            timers.advance(stepMs);
            await settle();
        }
        const longestMs = 500 + 2 * stepMs;
        assert.ok(stopsCount >= durationMs / longestMs && stopsCount <= durationMs / 500 + 3, `${stopsCount} stops`);
    });
});
