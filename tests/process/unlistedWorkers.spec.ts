/** Guards against a VM being taken for empty because the VM list names no worker on it, although the worker has not ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createWaveFixture } from "./waveFixture.js";

describe("a VM that is up and listed without its worker", () => {
    // AVAIL: a restart ends a task of a step that has no task to spare.
    it("should not be restarted while the worker has a task that must not be disrupted", async () => {
        const { createWave, harness, orders, passFor, show } = await createWaveFixture(2);
        harness.submit("service", { taskCount: 2, isLongRunning: true, maxUnavailable: 1, maxTasksPerWorker: 1 });
        harness.answerStarts("accepted");
        const { workers } = harness.scheduler.state;
        const runsOf = (workerId: string) => [...workers.get(workerId)!.runs.values()].map(({ taskName, runId }) => ({ taskName, runId }));
        const listBusy = (workerId: string): void => harness.list(workerId, { sentAtMs: harness.nowMs(), running: runsOf(workerId) });
        harness.advance(100);
        ["w1", "w2"].forEach(listBusy);
        assert.deepEqual([runsOf("w1").length, runsOf("w2").length], [1, 1]);
        harness.scheduler.workerUnresponsive("w2", harness.nowMs());
        const wave = createWave(1, ["vm1"]);
        show("vm1", { workerId: undefined });
        await passFor(1_000, wave);
        assert.equal(orders.length, 0);
        listBusy("w2");
        await passFor(100, wave);
        assert.deepEqual(orders, ["vm1 for 1"]);
    });

    // Guards against a wave that waits for good for a worker that has left.
    it("should be restarted once the worker has left and its leases have ended", async () => {
        const { createWave, harness, orders, passFor, show } = await createWaveFixture(1);
        harness.submit("job", { taskCount: 1 });
        harness.answerStarts("accepted");
        harness.scheduler.unregisterWorker("w1");
        show("vm1", { workerId: undefined });
        const wave = createWave(1, ["vm1"]);
        await passFor(1_000, wave);
        assert.equal(orders.length, 0);
        await passFor(10_000, wave);
        assert.ok(orders.includes("vm1 for 1"));
    });

    // AVAIL: a new owner restarts the VM before it has learned what an earlier one started there.
    it("should not be restarted while leases of an earlier owner may be valid", async () => {
        const { createWave, harness, orders, passFor, show } = await createWaveFixture(1);
        harness.scheduler.state.workers.clear();
        show("vm1", { workerId: undefined });
        const wave = createWave(1, ["vm1"]);
        await passFor(5_000, wave);
        assert.equal(orders.length, 0);
        await passFor(6_000, wave);
        assert.ok(orders.includes("vm1 for 1"));
    });
});
