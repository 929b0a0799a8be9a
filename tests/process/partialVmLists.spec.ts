/** Guards against a VM list that lacks VMs, of which it says nothing, being taken for the end of these VMs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { vmOrderOutcomes, vmStates } from "../../src/connection/vmService.js";
import { createWaveFixture, restartMs } from "./waveFixture.js";

describe("a wave whose VMs are missing from the VM list", () => {
    // MIXED: the wave is reported as completed, and none of its VMs is restarted any more.
    it("should go on when the list shows them again", async () => {
        const { createWave, orders, passFor, platform, show, status } = await createWaveFixture(1);
        const wave = createWave(1, ["vm1"]);
        const { listed } = platform;
        platform.listed = [];
        await passFor(2_000, wave);
        assert.equal(status(1), "running");
        assert.equal(wave.isFinished(), false);
        platform.listed = listed;
        platform.outcome = vmOrderOutcomes.accepted;
        await passFor(100, wave);
        assert.deepEqual(orders, ["vm1 for 1"]);
        show("vm1", { state: vmStates.restarting, workerId: undefined });
        await passFor(restartMs, wave);
        show("vm1", { state: vmStates.up, workerId: "w1-after" });
        await passFor(200, wave);
        assert.equal(status(1), "completed");
    });

    // LIMIT: a VM that is down for its restart no longer counts, and the next one is restarted beside it.
    it("should count one of them as down whose restart has begun", async () => {
        const { createWave, orders, passFor, platform } = await createWaveFixture(2);
        const wave = createWave(1, ["vm1", "vm2"]);
        platform.outcome = vmOrderOutcomes.accepted;
        await passFor(100, wave);
        platform.listed = platform.listed.filter(({ vmId }) => vmId !== "vm1");
        await passFor(1_000, wave);
        assert.deepEqual(orders, ["vm1 for 1"]);
    });

    // Guards against a wave that never ends, since a VM of it has been taken away.
    it("should be completed without those that every list lacks for some time", async () => {
        const { createWave, orders, passFor, platform, status } = await createWaveFixture(1);
        const wave = createWave(1, ["vm1"]);
        platform.listed = [];
        await passFor(10_000, wave);
        assert.equal(status(1), "completed");
        assert.deepEqual(orders, []);
    });

    // Guards against a completed wave that is reported as running again after each change of the owner.
    it("should stay completed under the next owner", async () => {
        const { createWave, passFor, platform, status } = await createWaveFixture(1);
        platform.listed = [];
        const wave = createWave(1, ["vm1"], JSON.stringify({ startedWallMs: 0, restartedVmIds: [], isCompleted: true }));
        await passFor(100, wave);
        assert.equal(status(1), "completed");
    });
});
