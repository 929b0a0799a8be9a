/** Guards against waiting tasks that no line of the owner's log shows. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createSchedulingSummary } from "../../src/process/schedulingSummary.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";

describe("the summary of the scheduling", () => {
    it("should tell what waits in queues whose policy is not known", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 3, queueName: "unknown", laterSteps: [{ taskCount: 5 }] });
        const timers = createManualTimerService();
        const summaries: LogFields[] = [];
        const logger = {
            ...createSilentLogger(),
            log: (event: object, fields: LogFields = {}) => event === logEvents.schedulingSummarized && summaries.push(fields),
        };
        const lifetime = new AbortController();
        createSchedulingSummary(timers, logger, () => 0).start(lifetime.signal, () => harness.scheduler.state);
        timers.advance(1_000);
        lifetime.abort();
        assert.deepEqual(summaries.map(({ missingQueues }) => missingQueues), [["unknown: 1 jobs, 3 tasks waiting"]]);
    });
});
