/** A pool rebalancer on a scheduler that the test drives; its moves are recorded. */
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import { vmOrderOutcomes, type VmRecord, type VmService } from "../../src/connection/vmService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger, type Logger } from "../../src/process/logger.js";
import { createPoolRebalancer, type PoolRebalancer } from "../../src/process/poolRebalancer.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import type { SchedulerHarness } from "../scheduling/schedulerHarness.js";

export interface RebalancerFixture {
    rebalancer: PoolRebalancer;
    /** The requested moves, as "VM to pool". */
    orders: string[];
    /** Whether the process may order moves now; it may at first. */
    setMayOrder(mayOrder: boolean): void;
}

/** Requests the moves that the pools need now, and lets their responses arrive. */
export async function requestMoves(rebalancer: PoolRebalancer): Promise<void> {
    rebalancer.advance();
    await new Promise(resolve => setImmediate(resolve));
}

/** Adds a standby pool to those of the scheduler's policy. */
export async function startRebalancer(
    harness: SchedulerHarness,
    vms: readonly VmRecord[],
    logger: Logger = createSilentLogger(),
): Promise<RebalancerFixture> {
    const { state } = harness.scheduler;
    state.policy = { ...state.policy, pools: new Map([...state.policy.pools, ["idle", { name: "idle", isStandby: true }]]) };
    const orders: string[] = [];
    let mayOrderNow = true;
    const vmService: VmService = {
        list: () => Promise.resolve(Ok([...vms])),
        move: (vmId, toPool) => Promise.resolve((orders.push(`${vmId} to ${toPool}`), vmOrderOutcomes.accepted)),
        restart: () => Promise.reject(new Error("unexpected restart")),
    };
    const timers = { nowMs: harness.nowMs, wallClockMs: harness.nowMs } as TimerService;
    const inventory = createVmInventory({ scheduler: harness.scheduler, vmService, timers, logger });
    await inventory.refresh();
    const rebalancer = createPoolRebalancer({
        inventory,
        vmService,
        nodeName: "node",
        orderToken: () => mayOrderNow ? 10 : undefined,
        timers,
        logger,
        demand: createDemandTracker(harness.nowMs),
        mustStay: () => false,
    });
    return { rebalancer, orders, setMayOrder: mayOrder => mayOrderNow = mayOrder };
}
