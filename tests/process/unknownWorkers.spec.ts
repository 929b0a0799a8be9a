/** Guards against moves and restarts that end tasks of an earlier owner which the current owner does not know of yet. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { vmOrderOutcomes, type VmService } from "../../src/connection/vmService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createPoolRebalancer } from "../../src/process/poolRebalancer.js";
import { createVmInventory, type VmInventory } from "../../src/process/vmInventory.js";
import { createWaveRunner } from "../../src/process/waveRunner.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";
import { requestMoves } from "./rebalancerFixture.js";

const logger = createSilentLogger();
const store = { swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 20, current: [] })) } as unknown as ChangeFeedStore;

interface Fixture {
    harness: SchedulerHarness;
    inventory: VmInventory;
    orders: string[];
    move(): Promise<void>;
    restart(): Promise<void>;
}

interface FixtureOptions {
    listedWorkerId?: string;
    /** The worker that the list names on the VM in standby; without it there is no such VM. */
    standbyWorkerId?: string;
    unknownWorkersUntilMs?: number;
}

/** Two VMs in one pool, and a standby pool. A wave is to restart the second VM. */
async function createFixture(options: FixtureOptions = {}): Promise<Fixture> {
    const harness = createSchedulerHarness({ workers: 2 });
    const { state } = harness.scheduler;
    state.term = { ...state.term, unknownWorkersUntilMs: options.unknownWorkersUntilMs ?? 0 };
    state.policy = { ...state.policy, pools: new Map([...state.policy.pools, ["idle", { name: "idle", isStandby: true }]]) };
    const orders: string[] = [];
    const vms = [describeVm({ vmId: "vm1", workerId: "w1" }), describeVm({ vmId: "vm2", workerId: options.listedWorkerId ?? "w2" })];
    if (options.standbyWorkerId !== undefined) {
        vms.push(describeVm({ vmId: "standby1", poolName: "idle", workerId: options.standbyWorkerId }));
    }
    const vmService: VmService = {
        list: () => Promise.resolve(Ok(vms)),
        move: vmId => Promise.resolve((orders.push(`move ${vmId}`), vmOrderOutcomes.accepted)),
        restart: vmId => Promise.resolve((orders.push(`restart ${vmId}`), vmOrderOutcomes.accepted)),
    };
    const timers = { nowMs: harness.nowMs, wallClockMs: harness.nowMs } as TimerService;
    const inventory = createVmInventory({ scheduler: harness.scheduler, vmService, timers, logger });
    await inventory.refresh();
    const common = { inventory, vmService, nodeName: "node", orderToken: () => 10, timers, logger };
    const rebalancer = createPoolRebalancer({ ...common, demand: createDemandTracker(harness.nowMs), mustStay: () => false });
    const wave = createWaveRunner({
        ...common,
        store,
        isMoving: rebalancer.isMoving,
        spareCounts: rebalancer.spareCounts,
        request: { waveNumber: 1, vmIds: ["vm2"], withinMs: 60_000, maximumDown: 1 },
        storedProgress: undefined,
        restartMs: 2_000,
        statusKey: "status",
        encodeStatus: String,
    });
    return {
        harness,
        inventory,
        orders,
        move: () => requestMoves(rebalancer),
        restart: () => wave.advance(),
    };
}

describe("a VM whose worker has not responded to the current owner", () => {
    it("should not be moved, however long it appears to be empty", async () => {
        const { harness, orders, move } = await createFixture();
        harness.list("w1", { sentAtMs: 0 });
        for (let round = 0; round < 8; round++) {
            await move();
            harness.advance(1_000);
        }
        assert.deepEqual(orders, ["move vm1"]);
    });

    it("should be restarted only after the worker has responded", async () => {
        const { harness, orders, restart } = await createFixture();
        await restart();
        assert.deepEqual(orders, []);
        harness.list("w2", { sentAtMs: 0 });
        await restart();
        assert.deepEqual(orders, ["restart vm2"]);
    });

    it("should not be restarted while its worker is not registered and leases of an earlier owner may be valid", async () => {
        const { harness, orders, restart } = await createFixture({ listedWorkerId: "lapsed", unknownWorkersUntilMs: 5_000 });
        await restart();
        assert.deepEqual(orders, []);
        harness.advance(5_001);
        await restart();
        assert.deepEqual(orders, ["restart vm2"]);
    });
});

describe("a surge just after a takeover", () => {
    it("should get a VM of standby, where it is off, although the list still names a worker on it", async () => {
        const { harness, orders, move } = await createFixture({ standbyWorkerId: "former", unknownWorkersUntilMs: 6_000 });
        harness.list("w1", { sentAtMs: 0 });
        harness.list("w2", { sentAtMs: 0 });
        harness.submit("wide", { taskCount: 60 });
        await move();
        assert.deepEqual(orders, ["move standby1"]);
    });
});
