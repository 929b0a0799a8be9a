/**
 * Guards against giving up the tasks of a VM because its entry in the platform's list cannot be read, or shows it as down, while the
 * answer to its restart is missing: the tasks would be started a second time while they go on running.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { vmOrderOutcomes, type VmService, type VmState, vmStates } from "../../src/connection/vmService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { createWaveRunner } from "../../src/process/waveRunner.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";

/** A wave that has sent the restart of its only VM, on which a task runs, and got no answer. */
async function restartWithoutAnswer() {
    const harness = createSchedulerHarness({ workers: 1 });
    harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
    harness.list("w1", { sentAtMs: 0, running: [{ taskName: "job.0.0.0", runId: 15_000_001 }] });
    const vm = describeVm({ vmId: "vm1", workerId: "w1" });
    let restartsCount = 0;
    const vmService: VmService = {
        list: () => Promise.resolve(Ok([vm])),
        move: () => Promise.reject(new Error("unexpected move")),
        restart: () => {
            restartsCount += 1;
            return Promise.resolve(vmOrderOutcomes.unknown);
        },
    };
    const timers = { nowMs: harness.nowMs, wallClockMs: harness.nowMs } as TimerService;
    const logger = createSilentLogger();
    const inventory = createVmInventory({ scheduler: harness.scheduler, vmService, timers, logger });
    const wave = createWaveRunner({
        request: { waveNumber: 1, vmIds: ["vm1"], withinMs: 1_000, maximumDown: 1 },
        storedProgress: undefined,
        inventory,
        vmService,
        nodeName: "node",
        store: { swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 20, current: [] })) } as unknown as ChangeFeedStore,
        orderToken: () => 10,
        timers,
        logger,
        restartMs: 2_000,
        isMoving: () => false,
        spareCounts: () => undefined,
        statusKey: "status",
        encodeStatus: String,
    });
    await inventory.refresh();
    await wave.advance();
    assert.equal(restartsCount, 1);
    const worker = harness.scheduler.state.workers.get("w1")!;
    const listAs = async (state: VmState, workerId: string | undefined): Promise<number> => {
        harness.advance(100);
        Object.assign(vm, { state, workerId });
        await inventory.refresh();
        await wave.advance();
        return worker.runs.size;
    };
    return { listAs };
}

describe("tasks of a VM whose restart got no answer", () => {
    it("should be kept while the list does not show that the VM restarts", async () => {
        const { listAs } = await restartWithoutAnswer();
        assert.equal(await listAs(vmStates.down, undefined), 1);
        assert.equal(await listAs(vmStates.up, undefined), 1, "an entry without a worker shows no other one");
        assert.equal(await listAs(vmStates.up, "w1"), 1);
    });

    it("should be given up once the VM restarts", async () => {
        const { listAs } = await restartWithoutAnswer();
        assert.equal(await listAs(vmStates.restarting, undefined), 0);
    });

    it("should be given up if the VM is up with another worker", async () => {
        const { listAs } = await restartWithoutAnswer();
        assert.equal(await listAs(vmStates.up, "w2"), 0);
    });
});
