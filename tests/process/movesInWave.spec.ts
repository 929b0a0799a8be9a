/**
 * Guards against a surge that finds no VMs because a maintenance wave over half of the fleet keeps them where they are until
 * their turn comes, and against a move and a restart of one VM at the same time.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { vmOrderOutcomes, type VmRecord, type VmService, vmStates } from "../../src/connection/vmService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createPoolRebalancer, type PoolRebalancer } from "../../src/process/poolRebalancer.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { createWaveRunner } from "../../src/process/waveRunner.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";
import { requestMoves } from "./rebalancerFixture.js";

const idleVmsCount = 6;

/** A pool of one VM with more work than it can take, and idle VMs in standby that all wait for a wave, one VM at a time. */
async function createFixture(withinMs: number) {
    const harness = createSchedulerHarness({ workers: 1 });
    const { state } = harness.scheduler;
    state.policy = { ...state.policy, pools: new Map([...state.policy.pools, ["idle", { name: "idle", isStandby: true }]]) };
    harness.list("w1", { sentAtMs: 0 });
    harness.submit("wide", { taskCount: 60 });
    const orders: string[] = [];
    const vms = new Map<string, VmRecord>();
    const addVm = (vmId: string, poolName: string, workerId: string | undefined): void =>
        void vms.set(vmId, describeVm({ vmId, poolName, workerId }));
    addVm("vm1", "pool", "w1");
    const idleIds = Array.from({ length: idleVmsCount }, (_, index) => `idle${index}`);
    idleIds.forEach(vmId => addVm(vmId, "idle", undefined));
    const order = (vmId: string, text: string) => {
        orders.push(text);
        vms.set(vmId, { ...vms.get(vmId)!, state: text.startsWith("move") ? vmStates.moving : vmStates.restarting });
        return Promise.resolve(vmOrderOutcomes.accepted);
    };
    const vmService: VmService = {
        list: () => Promise.resolve(Ok([...vms.values()])),
        move: (vmId, toPool) => order(vmId, `move ${vmId} to ${toPool}`),
        restart: vmId => order(vmId, `restart ${vmId}`),
    };
    const timers = { nowMs: harness.nowMs, wallClockMs: harness.nowMs } as TimerService;
    const common = {
        inventory: createVmInventory({ scheduler: harness.scheduler, vmService, timers, logger: createSilentLogger() }),
        vmService,
        nodeName: "node",
        orderToken: () => 10,
        timers,
        logger: createSilentLogger(),
    };
    await common.inventory.refresh();
    const wave = createWaveRunner({
        ...common,
        store: { swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 20, current: [] })) } as unknown as ChangeFeedStore,
        request: { waveNumber: 1, vmIds: idleIds, withinMs, maximumDown: 1 },
        storedProgress: undefined,
        restartMs: 2_000,
        isMoving: vmId => rebalancer.isMoving(vmId),
        statusKey: "status",
        encodeStatus: String,
    });
    const rebalancer: PoolRebalancer = createPoolRebalancer({
        ...common,
        demand: createDemandTracker(harness.nowMs),
        mustStay: wave.isWaitingFor,
    });
    return { orders, wave, rebalancer };
}

describe("a surge during a maintenance wave", () => {
    it("should get VMs that wait for the wave", async () => {
        const { orders, wave, rebalancer } = await createFixture(120_000);
        await wave.advance();
        assert.deepEqual(orders, ["restart idle0"]);
        await requestMoves(rebalancer);
        assert.ok(orders.length >= 3, orders.join());
        assert.ok(orders.slice(1).every(text => /^move idle[1-5] to pool$/.test(text)), orders.join());
    });

    it("should get none while the wave is short of time", async () => {
        const { orders, wave, rebalancer } = await createFixture(20_000);
        await wave.advance();
        await requestMoves(rebalancer);
        assert.deepEqual(orders, ["restart idle0"]);
    });

    it("should not have a VM restarted whose move was ordered after the last list", async () => {
        const { orders, wave, rebalancer } = await createFixture(120_000);
        await requestMoves(rebalancer);
        const movedIds = orders.map(text => text.split(" ")[1]);
        await wave.advance();
        const restartedIds = orders.filter(text => text.startsWith("restart")).map(text => text.split(" ")[1]);
        assert.equal(restartedIds.length, 1);
        assert.ok(!movedIds.includes(restartedIds[0]), orders.join());
    });
});
