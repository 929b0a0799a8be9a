/** Moves VMs between pools, in the process that owns the scheduling. */
import type { TimerService } from "../common/timerService.js";
import { type VmOrderOutcome, vmOrderOutcomes, type VmRecord, type VmService, vmStates } from "../connection/vmService.js";
import { type EmptyVm, planMoves, type PoolDemand, type VmMove } from "../decisions/planMoves.js";
import { isFinalState, isStepReady } from "../scheduling/jobRecord.js";
import { markRunsLost } from "../scheduling/reconcileListing.js";
import type { DemandTracker } from "./demandTracker.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { SchedulingOwnership } from "./schedulingOwnership.js";
import type { VmInventory } from "./vmInventory.js";

export interface PoolRebalancer {
    /** Orders the moves that the pools need now; `true` if any was ordered. */
    advance(): Promise<boolean>;
}

export interface PoolRebalancerOptions {
    inventory: VmInventory;
    vmService: VmService;
    nodeName: string;
    ownership(): SchedulingOwnership;
    timers: TimerService;
    logger: Logger;
    demand: DemandTracker;
    /** VMs that a wave is about to restart stay where they are. */
    isInWave(vmId: string): boolean;
}

interface MoveOrder {
    toPool: string;
    workerId: string | undefined;
    orderedAtMs: number;
}

/** A move that does not show in the list for so long was not carried out. */
const moveShowsWithinMs = 4_000;
/** After a refusal the VM is left alone for so long. */
const refusedPauseMs = 2_000;

export function createPoolRebalancer(options: PoolRebalancerOptions): PoolRebalancer {
    const { inventory, timers } = options;
    const { state } = inventory.scheduler;
    const ordered = new Map<string, MoveOrder>();
    const refusedUntilMs = new Map<string, number>();
    const emptySinceMs = new Map<string, number>();

    const waitingByPool = (): Map<string, number> => {
        const waiting = new Map<string, number>();
        for (const job of state.jobs.values()) {
            const poolName = state.policy.queues.get(job.submission.queueName)?.poolName;
            if (poolName === undefined || isFinalState(job.state)) {
                continue;
            }
            for (const occurrence of job.occurrences.values()) {
                for (const step of occurrence.steps) {
                    if (step.waiting.size > 0 && isStepReady(occurrence, step)) {
                        const cpu = step.waiting.size * step.spec.request.cpuMillicores;
                        waiting.set(poolName, (waiting.get(poolName) ?? 0) + cpu);
                    }
                }
            }
        }
        return waiting;
    };

    /** Settles moves that the list shows as done, or not begun. */
    const settleOrders = (): void => {
        for (const [vmId, order] of ordered) {
            const vm = inventory.find(vmId);
            const sinceOrderMs = inventory.listedAtMs() - order.orderedAtMs;
            const isThere = vm?.state === vmStates.up && vm.poolName === order.toPool;
            const isStandby = state.policy.pools.get(order.toPool)?.isStandby ?? false;
            const isAnnounced = vm?.workerId !== undefined && state.workers.has(vm.workerId);
            if (!vm || (isThere && (isStandby || isAnnounced)) || (vm.state === vmStates.up && sinceOrderMs > moveShowsWithinMs)) {
                ordered.delete(vmId);
                inventory.uncordon(vmId);
            }
        }
    };

    /** Zones of which no worker answers: nothing that moves there could be used. */
    const findSilentZones = (): Set<string> => {
        const workers = [...state.workers.values()].filter(worker => worker.isRegistered);
        const reached = new Set(workers.filter(worker => worker.unresponsiveSinceMs === undefined).map(worker => worker.entry.zone));
        return new Set(workers.map(worker => worker.entry.zone).filter(zone => !reached.has(zone)));
    };

    const describePools = (): { pools: PoolDemand[]; emptyVms: EmptyVm[] } => {
        const waiting = waitingByPool();
        const nowMs = timers.nowMs();
        const silentZones = findSilentZones();
        const pools = new Map<string, PoolDemand>();
        const emptyVms: EmptyVm[] = [];
        for (const policy of state.policy.pools.values()) {
            pools.set(policy.name, {
                poolName: policy.name,
                isStandby: policy.isStandby,
                vmCount: 0,
                incomingCount: [...ordered.values()].filter(order => order.toPool === policy.name).length,
                vmCpuMillicores: 0,
                busyCpuMillicores: 0,
                waitingCpuMillicores: waiting.get(policy.name) ?? 0,
                ...options.demand.read(policy.name),
                servingCpuMillicores: 0,
            });
        }
        const describeVm = (vm: VmRecord): void => {
            const pool = pools.get(vm.poolName);
            const worker = inventory.workerOn(vm.vmId);
            if (!pool || ordered.has(vm.vmId) || vm.state !== vmStates.up || (!pool.isStandby && !worker)) {
                return;
            }
            pool.vmCpuMillicores = Math.max(pool.vmCpuMillicores, vm.capacity.cpuMillicores);
            if (worker?.unresponsiveSinceMs !== undefined || silentZones.has(vm.zone)) {
                return;
            }
            for (const run of worker?.runs.values() ?? []) {
                pool[run.isServing ? "servingCpuMillicores" : "busyCpuMillicores"] += run.reserved.cpuMillicores;
            }
            if (worker && (worker.isCordoned || worker.entry.isDraining)) {
                return;
            }
            pool.vmCount += 1;
            if ((worker && worker.runs.size > 0) || inventory.mayRunUnknownTasks(vm)) {
                emptySinceMs.delete(vm.vmId);
                return;
            }
            const sinceMs = emptySinceMs.get(vm.vmId) ?? nowMs;
            emptySinceMs.set(vm.vmId, sinceMs);
            if (!options.isInWave(vm.vmId) && (refusedUntilMs.get(vm.vmId) ?? 0) <= nowMs) {
                emptyVms.push({ vmId: vm.vmId, poolName: vm.poolName, emptySinceMs: sinceMs, vmCpuMillicores: vm.capacity.cpuMillicores });
            }
        };
        for (const vm of inventory.vms()) {
            describeVm(vm);
        }
        const sizeMillicores = Math.max(0, ...[...pools.values()].map(pool => pool.vmCpuMillicores));
        pools.forEach(pool => pool.vmCpuMillicores ||= sizeMillicores);
        return { pools: [...pools.values()], emptyVms };
    };

    const onAnswered = (move: VmMove, order: MoveOrder, outcome: VmOrderOutcome, token: number): void => {
        options.logger.log(logEvents.vmOrderAnswered, {
            vmId: move.vmId,
            what: `move from ${move.fromPool} to ${move.toPool}`,
            outcome,
            token,
            reason: move.reason,
        });
        if (outcome === vmOrderOutcomes.accepted) {
            const worker = order.workerId === undefined ? undefined : state.workers.get(order.workerId);
            if (worker) {
                markRunsLost(state, worker, "its VM has moved", { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
            }
        }
        else if (outcome !== vmOrderOutcomes.unknown) {
            ordered.delete(move.vmId);
            inventory.uncordon(move.vmId);
            refusedUntilMs.set(move.vmId, timers.nowMs() + refusedPauseMs);
        }
    };

    const carryOut = async (move: VmMove, token: number): Promise<void> => {
        const worker = inventory.workerOn(move.vmId);
        if (worker && worker.runs.size > 0) {
            return;
        }
        inventory.cordon(move.vmId);
        emptySinceMs.delete(move.vmId);
        const order: MoveOrder = { toPool: move.toPool, workerId: worker?.entry.workerId, orderedAtMs: timers.nowMs() };
        ordered.set(move.vmId, order);
        const outcome = await options.vmService.move(move.vmId, move.toPool, { name: options.nodeName, token });
        onAnswered(move, order, outcome, token);
    };

    return {
        advance: async () => {
            settleOrders();
            const { pools, emptyVms } = describePools();
            const token = options.ownership().token();
            if (token === undefined || !options.ownership().isLeaseValid()) {
                return false;
            }
            const moves = planMoves({ nowMs: timers.nowMs(), pools, emptyVms });
            await Promise.all(moves.map(move => carryOut(move, token)));
            return moves.length > 0;
        },
    };
}
