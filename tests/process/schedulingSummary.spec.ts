/** Guards against waiting tasks that no line of the owner's log shows. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createSchedulingSummary } from "../../src/process/schedulingSummary.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";

function summarize({ scheduler }: SchedulerHarness): LogFields {
    const timers = createManualTimerService();
    const summaries: LogFields[] = [];
    const logger = {
        ...createSilentLogger(),
        log: (event: object, fields: LogFields = {}) => event === logEvents.schedulingSummarized && summaries.push(fields),
    };
    const lifetime = new AbortController();
    createSchedulingSummary(timers, logger, () => 0).start(lifetime.signal, () => scheduler.state);
    timers.advance(1_000);
    lifetime.abort();
    assert.equal(summaries.length, 1);
    return summaries[0]!;
}

describe("the summary of the scheduling", () => {
    it("should tell what waits in queues whose policy is not known", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("job", { taskCount: 3, queueName: "unknown", laterSteps: [{ taskCount: 5 }] });
        assert.deepEqual(summarize(harness)["missingQueues"], ["unknown: 1 jobs, 3 tasks waiting"]);
    });

    it("should tell which workers get no starts and how many tasks wait for workers that are not known", () => {
        const harness = createSchedulerHarness({ workers: 3, isSavedManually: true, cpuMillicores: 4_000 });
        harness.list("w1", { sentAtMs: 0 });
        harness.submit("held", { taskCount: 3, formerWorkerIds: ["w3"] });
        harness.submit("planned", { taskCount: 2 });
        harness.updateEntry("w2", { isDraining: true });
        const [pool] = summarize(harness)["pools"] as readonly string[];
        assert.match(pool!, /3 workers \(without new runs: 1 leaving, 1 not listed\)/);
        assert.match(pool!, /2 runs, 2 of them planned/);
        assert.match(pool!, /held back: 3, 0, 0$/);
    });

    it("should not count the capacity of a worker without an entry as free", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.scheduler.unregisterWorker("w1");
        const [pool] = summarize(harness)["pools"] as readonly string[];
        assert.match(pool!, /: 1 workers .*, 16 of 16 cores free/);
    });
});
