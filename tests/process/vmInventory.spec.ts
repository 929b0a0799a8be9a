/**
 * Guards against a worker that gets no runs any more because the VM list did not show it when its VM was released, and against a list that
 * arrives after a later one.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { VmService } from "../../src/connection/vmService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";

describe("the worker of a VM that was released while the VM list did not show it", () => {
    it("should get new runs once the list shows it again", async () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        let listedWorkerId: string | undefined = "w1";
        const inventory = createVmInventory({
            scheduler: harness.scheduler,
            vmService: { list: () => Promise.resolve(Ok([describeVm({ vmId: "vm1", workerId: listedWorkerId })])) } as unknown as VmService,
            timers: { nowMs: harness.nowMs } as TimerService,
            logger: createSilentLogger(),
        });
        const worker = harness.scheduler.state.workers.get("w1")!;
        await inventory.refresh();
        inventory.cordon("vm1");
        inventory.setRestartPending("vm1", true);
        await inventory.refresh();
        assert.deepEqual([worker.isCordoned, worker.isVmStopping], [true, true]);
        listedWorkerId = undefined;
        await inventory.refresh();
        inventory.setRestartPending("vm1", false);
        inventory.uncordon("vm1");
        listedWorkerId = "w1";
        await inventory.refresh();
        assert.deepEqual([worker.isCordoned, worker.isVmStopping], [false, false]);
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });
});

describe("the worker that follows another one on a cordoned VM", () => {
    // Guards against runs on a VM whose move was ordered and may still be carried out, or that is to be restarted.
    it("should get no new runs until the VM is released", async () => {
        const harness = createSchedulerHarness({ workers: 2 });
        let listedWorkerId = "w1";
        const inventory = createVmInventory({
            scheduler: harness.scheduler,
            vmService: { list: () => Promise.resolve(Ok([describeVm({ vmId: "vm1", workerId: listedWorkerId })])) } as unknown as VmService,
            timers: { nowMs: harness.nowMs } as TimerService,
            logger: createSilentLogger(),
        });
        await inventory.refresh();
        inventory.cordon("vm1");
        harness.scheduler.unregisterWorker("w1");
        listedWorkerId = "w2";
        await inventory.refresh();
        harness.list("w2", {});
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        inventory.uncordon("vm1");
        harness.advance(1);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });
});

describe("a VM list", () => {
    it("should be dropped if one that was requested later has arrived before", async () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const answers: ((poolName: string) => void)[] = [];
        const list = (): Promise<unknown> =>
            new Promise(resolve => answers.push(poolName => resolve(Ok([describeVm({ vmId: "vm1", poolName })]))));
        const inventory = createVmInventory({
            scheduler: harness.scheduler,
            vmService: { list } as unknown as VmService,
            timers: { nowMs: harness.nowMs } as TimerService,
            logger: createSilentLogger(),
        });
        const earlier = inventory.refresh();
        harness.advance(100);
        const later = inventory.refresh();
        answers[1]!("new");
        await later;
        const listedAtMs = inventory.listedAtMs();
        answers[0]!("old");
        await earlier;
        assert.equal(inventory.find("vm1")!.poolName, "new");
        assert.equal(inventory.listedAtMs(), listedAtMs);
    });
});
