/**
 * Guards against a restart without an answer that counts as carried out because the VM's worker has crashed meanwhile, or as not
 * carried out because some time has passed: neither says whether the platform still restarts the VM.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { vmOrderOutcomes, vmStates } from "../../src/connection/vmService.js";
import { createWaveFixture, restartMs } from "./waveFixture.js";

describe("a restart without an answer", () => {
    // MIXED: a wave is reported as completed before the restart of a VM has begun.
    it("should not count as carried out because the VM's worker has crashed", async () => {
        const { createWave, orders, passFor, platform, show, status } = await createWaveFixture(1);
        const wave = createWave(1, ["vm1"]);
        await passFor(100, wave);
        assert.deepEqual(orders, ["vm1 for 1"]);
        show("vm1", { workerId: "w1-next" });
        await passFor(5_000, wave);
        assert.equal(status(1), "running");
        platform.outcome = vmOrderOutcomes.accepted;
        await passFor(2_000, wave);
        show("vm1", { state: vmStates.restarting, workerId: undefined });
        await passFor(restartMs, wave);
        assert.equal(status(1), "running");
        show("vm1", { state: vmStates.up, workerId: "w1-after" });
        await passFor(200, wave);
        assert.equal(status(1), "completed");
    });

    // LIMIT: the restart is carried out late, while another VM of the wave is down.
    it("should count as down until the platform has said that it has begun and the VM is up again", async () => {
        const { createWave, harness, orders, passFor, platform, show } = await createWaveFixture(2);
        const run = { taskName: "gone.0.0.0", runId: 15_000_001 };
        harness.list("w2", { sentAtMs: 0, running: [run] });
        const wave = createWave(1, ["vm1", "vm2"]);
        await passFor(1_000, wave);
        assert.deepEqual(orders, ["vm1 for 1"]);
        // From here on, the other VM is the less busy one.
        harness.list("w1", { sentAtMs: harness.nowMs(), running: [{ ...run, runId: 15_000_002 }] });
        harness.list("w2", { sentAtMs: harness.nowMs(), ended: [{ ...run, end: "stopped" }] });
        await passFor(12_000, wave);
        platform.outcome = vmOrderOutcomes.busy;
        await passFor(3_000, wave);
        assert.deepEqual([...new Set(orders)], ["vm1 for 1"]);
        platform.outcome = vmOrderOutcomes.accepted;
        await passFor(2_000, wave);
        show("vm1", { state: vmStates.restarting, workerId: undefined });
        await passFor(restartMs, wave);
        assert.deepEqual([...new Set(orders)], ["vm1 for 1"]);
        show("vm1", { state: vmStates.up, workerId: "w1-after" });
        await passFor(200, wave);
        assert.deepEqual([...new Set(orders)], ["vm1 for 1", "vm2 for 1"]);
    });

    // MIXED: the restart for one wave counts for the other, whose own order the platform refuses while the VM is down.
    it("should keep the VM from another wave, whose restart would count for it", async () => {
        const { createWave, orders, passFor, platform, show, status } = await createWaveFixture(1);
        const first = createWave(1, ["vm1"]);
        const second = createWave(2, ["vm1"]);
        await passFor(1_000, first, second);
        assert.deepEqual(orders, ["vm1 for 1"]);
        show("vm1", { state: vmStates.restarting, workerId: undefined });
        await passFor(500, first, second);
        show("vm1", { state: vmStates.up, workerId: "w1-after" });
        await passFor(1_000, first, second);
        platform.outcome = vmOrderOutcomes.accepted;
        await passFor(3_000, first);
        assert.deepEqual([status(1), status(2)], ["completed", "running"]);
    });

    // AVAIL: a task that starts on the worker after a crash is ended by the order that is still under way.
    it("should keep new tasks from a worker that follows a crash on the VM", async () => {
        const { createWave, harness, passFor, show } = await createWaveFixture(1);
        const wave = createWave(1, ["vm1"]);
        await passFor(100, wave);
        const { scheduler } = harness;
        const { entry } = scheduler.state.workers.get("w1")!;
        const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
        scheduler.registerWorker({ ...entry, workerId: "w1-next", address: "w1-next" }, now);
        harness.list("w1-next", { sentAtMs: harness.nowMs() });
        show("vm1", { workerId: "w1-next" });
        await passFor(200, wave);
        harness.submit("job", { taskCount: 1 });
        await passFor(1_000, wave);
        assert.equal(scheduler.state.workers.get("w1-next")!.runs.size, 0);
    });
});
