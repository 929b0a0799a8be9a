/**
 * Guards against giving up the runs of a worker whose entry another writer has overwritten: the worker has not left, and while nothing
 * extends its leases, they end.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { defaultStep } from "../../harness/defaultStep.js";
import { encodeSubmission, jobKeys, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import { modelSubmission } from "../scheduling/modelJob.js";
import { createTermFixture, saved, workerEntry } from "./schedulingTermFixture.js";

const started: JobProgress = { state: "running", occurrences: { 0: [{ done: [] }] }, workerIds: ["w1"] };
const running = ["job.0.0.0", "job.0.0.1"].map((taskName, index) => ({
    taskName,
    runId: 10_000_001 + index,
    checkpoint: "",
    percent: 100,
    measured: 0,
}));

describe("a worker whose entry cannot be read", () => {
    it("should keep its runs and leases, and get new runs only once its entry can be read again", async () => {
        const { service, lists, swaps, startedTasks, store, applyChange, acquire, pass } = createTermFixture();
        store("job", started);
        await acquire(20);
        await lists.shift()!.answer({ running });
        service.onWorkerUnreadable("w1");
        await pass();
        const { state } = service.scheduler()!;
        for (let round = 0; round < 150; round++) {
            assert.notEqual(lists[0]!.order.leaseUntilClockMs, undefined, "the leases are extended");
            await lists.shift()!.answer({ running });
        }
        assert.equal(state.workers.get("w1")!.runs.size, 2);
        applyChange(`${jobKeys.submissionPrefix}next`, encodeSubmission({ ...modelSubmission, jobId: "next", steps: [defaultStep] }));
        await lists.shift()!.answer({ running });
        swaps.splice(0).forEach(swap => swap.answer(saved(21)));
        await lists.shift()!.answer({ running });
        assert.deepEqual(startedTasks, []);
        service.onWorkerChanged("w1", workerEntry);
        await lists.shift()!.answer({ running });
        swaps.splice(0).forEach(swap => swap.answer(saved(22)));
        await pass();
        assert.deepEqual(startedTasks, ["next.0.0.0"]);
    });

    it("should be asked for its runs by the next owner, however long the entry has been unreadable", async () => {
        const { service, lists, startedTasks, store, acquire, pass } = createTermFixture();
        store("job", started);
        service.onWorkerUnreadable("w1");
        // Longer than any lease that an earlier owner may have granted.
        for (let round = 0; round < 150; round++) {
            await pass();
        }
        await acquire(20);
        assert.equal(lists.length, 1, "the worker is asked");
        await lists.shift()!.answer({ running });
        for (let round = 0; round < 150; round++) {
            assert.notEqual(lists[0]!.order.leaseUntilClockMs, undefined, "the leases are extended");
            await lists.shift()!.answer({ running });
        }
        assert.equal(service.scheduler()!.state.workers.get("w1")!.runs.size, 2);
        assert.deepEqual(startedTasks, []);
    });

    it("should count as gone once its entry is deleted and its leases have ended", async () => {
        const { service, acquire, pass } = createTermFixture();
        service.onWorkerUnreadable("w1");
        service.onWorkerChanged("w1", undefined);
        for (let round = 0; round < 150; round++) {
            await pass();
        }
        service.onWorkerUnreadable("w1");
        await acquire(20);
        assert.equal(service.scheduler()!.state.workers.size, 0);
    });
});
