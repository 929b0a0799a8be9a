/** Moves VMs between pools according to demand, in the process that owns the scheduling. */
import { describeError } from "../common/describeError.js";
import type { TimerService } from "../common/timerService.js";
import { type VmOrderOutcome, vmOrderOutcomes, type VmRecord, type VmService, vmStates } from "../connection/vmService.js";
import { type DrainableVm, type EmptyVm, type MovePlanInput, planMoves, type PoolDemand, type VmMove } from "../decisions/planMoves.js";
import { createAdaptivePools } from "../pools/adaptivePools.js";
import { jobLateness } from "../scheduling/jobLateness.js";
import { isFinalState } from "../scheduling/jobRecord.js";
import { findStep } from "../scheduling/schedulerState.js";
import { expectedPathMs } from "../scheduling/taskDurations.js";
import { endIncarnation } from "../scheduling/workerLifecycle.js";
import type { Run, WorkerIncarnation, WorkerRecord } from "../scheduling/workerRecord.js";
import type { DemandTracker } from "./demandTracker.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { createPoolDemandLog, type VmExclusion, vmExclusions } from "./poolDemandLog.js";
import { findUnresponsiveZones } from "./unresponsiveZones.js";
import type { VmInventory } from "./vmInventory.js";
import { measureWaitingDemand, noWaitingDemand } from "./waitingDemand.js";
import { createWaitingTrend } from "./waitingTrend.js";

export interface PoolRebalancer {
    /** Requests the moves that the pools need now; does not wait for the responses. */
    advance(): void;
    /** Whether a move of the VM was requested and has not completed or failed. */
    isMoving(vmId: string): boolean;
    /** VMs of each pool beyond its need after the last moves, negative where it lacks VMs; `undefined` until moves were planned. */
    spareCounts(): ReadonlyMap<string, number> | undefined;
}

export interface PoolRebalancerOptions {
    inventory: VmInventory;
    vmService: VmService;
    nodeName: string;
    /** Fencing token for what the term's state decides now; `undefined` while the process may not act on it. */
    orderToken(): number | undefined;
    timers: TimerService;
    logger: Logger;
    demand: DemandTracker;
    /** Whether the VM must not be moved, because a wave is short of time for its restart. */
    mustStay(vmId: string): boolean;
    /** How long a move takes. */
    vmMoveMs?: number;
    /** How late the process runs its timers. */
    latenessMs?(): number;
}

/** What the pools need, and which of their VMs could be moved. */
interface FleetDescription extends MovePlanInput {
    /** VMs that do not count as available, by pool and reason. */
    excludedCounts: ReadonlyMap<string, ReadonlyMap<VmExclusion, number>>;
}

interface PendingMove {
    toPool: string;
    /** The worker that the move ends; `undefined` if none is known on the VM. */
    worker: WorkerIncarnation | undefined;
    requestedAtMs: number;
}

const defaultMoveMs = 1_500;
/** A requested move that the VM list does not show within this time was not executed. */
const moveVisibleWithinMs = 4_000;
/** Time after a refused move during which the VM is not moved. */
const refusalCooldownMs = 2_000;

/** The part of the VM's CPU that its worker offers, which may be less than the VM list says. */
function usablePart(vm: VmRecord, worker: WorkerRecord | undefined): number {
    const listed = vm.capacity.cpuMillicores;
    return worker && listed > 0 ? Math.min(1, worker.entry.capacity.cpuMillicores / listed) : 1;
}

export function createPoolRebalancer(options: PoolRebalancerOptions): PoolRebalancer {
    const { inventory, timers } = options;
    const { state } = inventory.scheduler;
    const pendingMoves = new Map<string, PendingMove>();
    const refusedUntilMs = new Map<string, number>();
    const emptySinceMs = new Map<string, number>();
    const trend = createWaitingTrend();
    let spareCounts: ReadonlyMap<string, number> | undefined;
    const demandLog = createPoolDemandLog(options.logger);
    const adaptivePools = state.features.adaptivePools ? createAdaptivePools(options.vmMoveMs ?? defaultMoveMs) : undefined;

    /** Whether the job of a short task that runs can no longer be in time. */
    const isOverdue = (run: Run): boolean => {
        const job = state.jobs.get(run.jobId);
        const queue = job && state.policy.queues.get(job.submission.queueName);
        const occurrence = job?.occurrences.get(run.occurrence);
        const step = findStep(state, run);
        if (!job || !queue || !occurrence || !step || isFinalState(job.state)) {
            return true;
        }
        const remainingMs = Math.max(0, expectedPathMs(state, job, step) - (timers.nowMs() - run.startedAtMs));
        return jobLateness(job, occurrence, queue, remainingMs, timers.wallClockMs()) > 0;
    };

    const endMove = (vmId: string): void => {
        pendingMoves.delete(vmId);
        inventory.uncordon(vmId);
    };

    /** Removes pending moves that the VM list shows as completed or as never started. */
    const updatePendingMoves = (): void => {
        for (const [vmId, pending] of pendingMoves) {
            const vm = inventory.find(vmId);
            const sinceRequestMs = inventory.listedAtMs() - pending.requestedAtMs;
            const hasArrived = vm?.state === vmStates.up && vm.poolName === pending.toPool;
            const isStandby = state.policy.pools.get(pending.toPool)?.isStandby ?? false;
            const isWorkerRegistered = vm?.workerId !== undefined && state.workers.has(vm.workerId);
            if (
                !vm || (hasArrived && (isStandby || isWorkerRegistered)) ||
                (vm.state === vmStates.up && sinceRequestMs > moveVisibleWithinMs)
            ) {
                endMove(vmId);
            }
        }
    };

    const isInEvacuatedZone = ({ zone }: VmRecord): boolean => state.startPermission.evacuatedZones.has(zone);
    /** Moves that will add to the capacity of the pool. */
    const countIncoming = (poolName: string): number =>
        [...pendingMoves].filter(([vmId, { toPool }]) => {
            const vm = inventory.find(vmId);
            return toPool === poolName && !(vm && isInEvacuatedZone(vm));
        }).length;

    const describeFleet = (): FleetDescription => {
        const waiting = measureWaitingDemand(state, timers.wallClockMs());
        const nowMs = timers.nowMs();
        const unresponsiveZones = findUnresponsiveZones(state);
        const pools = new Map<string, PoolDemand>();
        /** VMs available in each pool, counted by the part of their capacity that their workers offer. */
        const usableVms = new Map<string, number>();
        const emptyVms: EmptyVm[] = [];
        const drainableVms: DrainableVm[] = [];
        const excludedCounts = new Map<string, Map<VmExclusion, number>>();
        const exclude = ({ poolName }: VmRecord, reason: VmExclusion): void => {
            const counts = excludedCounts.get(poolName) ?? new Map<VmExclusion, number>();
            excludedCounts.set(poolName, counts);
            counts.set(reason, (counts.get(reason) ?? 0) + 1);
        };
        for (const policy of state.policy.pools.values()) {
            const { inTimeMillicores, unplaceableMillicores, apartVmCount, overdueMillicores } = waiting.get(policy.name) ??
                noWaitingDemand;
            pools.set(policy.name, {
                poolName: policy.name,
                isStandby: policy.isStandby,
                vmCount: 0,
                occupiedVmCount: 0,
                incomingCount: countIncoming(policy.name),
                vmCpuMillicores: 0,
                busyCpuMillicores: 0,
                waitingCpuMillicores: inTimeMillicores,
                unplaceableCpuMillicores: unplaceableMillicores,
                apartVmCount,
                waitingGrowthMillicoresPerS: trend.record(policy.name, nowMs, inTimeMillicores),
                overdueCpuMillicores: overdueMillicores,
                ...options.demand.read(policy.name),
                servingCpuMillicores: 0,
            });
        }
        const describeVm = (vm: VmRecord): void => {
            const pool = pools.get(vm.poolName);
            const worker = inventory.workerOn(vm.vmId);
            if (!pool) {
                return;
            }
            if (pendingMoves.has(vm.vmId)) {
                exclude(vm, vmExclusions.moving);
                return;
            }
            if (vm.state !== vmStates.up) {
                exclude(vm, vmExclusions.notUp);
                return;
            }
            if (!pool.isStandby && !worker) {
                exclude(vm, vmExclusions.withoutWorker);
                return;
            }
            pool.vmCpuMillicores = Math.max(pool.vmCpuMillicores, vm.capacity.cpuMillicores);
            if (worker?.unresponsiveSinceMs !== undefined || unresponsiveZones.has(vm.zone)) {
                exclude(vm, vmExclusions.unresponsive);
                return;
            }
            let busyCpuMillicores = 0;
            let isOccupied = false;
            for (const run of worker?.runs.values() ?? []) {
                const { cpuMillicores } = run.reserved;
                const isRunOverdue = !run.isServing && isOverdue(run);
                isOccupied ||= !isRunOverdue;
                if (run.isServing) {
                    pool.servingCpuMillicores += cpuMillicores;
                    continue;
                }
                busyCpuMillicores += cpuMillicores;
                pool[isRunOverdue ? "overdueCpuMillicores" : "busyCpuMillicores"] += cpuMillicores;
            }
            const isDraining = inventory.isDrainedForMove(vm.vmId);
            // A wave drains or restarts a cordoned VM.
            if (
                inventory.cordonedSinceMs(vm.vmId) !== undefined || (worker?.isCordoned && !isDraining) || worker?.entry.isDraining
            ) {
                exclude(vm, vmExclusions.draining);
                return;
            }
            if (isInEvacuatedZone(vm)) {
                emptySinceMs.delete(vm.vmId);
                exclude(vm, vmExclusions.evacuated);
                return;
            }
            pool.occupiedVmCount += isOccupied ? 1 : 0;
            usableVms.set(pool.poolName, (usableVms.get(pool.poolName) ?? 0) + usablePart(vm, worker));
            const mayMove = !options.mustStay(vm.vmId) && (refusedUntilMs.get(vm.vmId) ?? 0) <= nowMs;
            if ((worker && worker.runs.size > 0) || inventory.mayRunUnknownTasks(vm)) {
                emptySinceMs.delete(vm.vmId);
                if (mayMove && worker?.isRunStateKnown && worker.longRunningCount === 0 && worker.unknownSizeCount === 0) {
                    drainableVms.push({ vmId: vm.vmId, poolName: vm.poolName, busyCpuMillicores, isDraining });
                }
                return;
            }
            const sinceMs = emptySinceMs.get(vm.vmId) ?? nowMs;
            emptySinceMs.set(vm.vmId, sinceMs);
            if (mayMove) {
                const { vmId, poolName, capacity } = vm;
                emptyVms.push({ vmId, poolName, emptySinceMs: sinceMs, vmCpuMillicores: capacity.cpuMillicores, isDraining });
            }
        };
        for (const vm of inventory.vms()) {
            describeVm(vm);
        }
        pools.forEach(pool => pool.vmCount = Math.floor(usableVms.get(pool.poolName) ?? 0));
        const largestVmCpuMillicores = Math.max(0, ...[...pools.values()].map(pool => pool.vmCpuMillicores));
        pools.forEach(pool => pool.vmCpuMillicores ||= largestVmCpuMillicores);
        return { nowMs, pools: [...pools.values()], emptyVms, drainableVms, excludedCounts };
    };

    const handleMoveOutcome = (move: VmMove, pending: PendingMove, outcome: VmOrderOutcome, token: number): void => {
        options.logger.log(logEvents.vmOrderAnswered, {
            vmId: move.vmId,
            what: `move from ${move.fromPool} to ${move.toPool}`,
            outcome,
            token,
            reason: move.reason,
        });
        if (outcome === vmOrderOutcomes.accepted) {
            if (pending.worker) {
                endIncarnation(state, pending.worker, "its VM has moved", { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
            }
        }
        else if (outcome !== vmOrderOutcomes.unknown) {
            endMove(move.vmId);
            refusedUntilMs.set(move.vmId, timers.nowMs() + refusalCooldownMs);
        }
    };

    const executeMove = async (move: VmMove, token: number): Promise<void> => {
        const worker = inventory.workerOn(move.vmId);
        if (worker && worker.runs.size > 0) {
            return;
        }
        inventory.cordon(move.vmId);
        emptySinceMs.delete(move.vmId);
        const pending: PendingMove = { toPool: move.toPool, worker: worker?.entry, requestedAtMs: timers.nowMs() };
        pendingMoves.set(move.vmId, pending);
        const outcome = await options.vmService.move(move.vmId, move.toPool, {
            name: options.nodeName,
            token,
            mayStillSend: () => options.orderToken() === token,
        });
        handleMoveOutcome(move, pending, outcome, token);
    };

    const startMove = (move: VmMove, token: number): void =>
        void executeMove(move, token).catch((error: unknown) =>
            options.logger.log(logEvents.unexpectedError, { where: `move of ${move.vmId}`, error: describeError(error) })
        );

    return {
        advance: () => {
            updatePendingMoves();
            const fleet = describeFleet();
            const policy = adaptivePools?.update(fleet.pools, fleet.nowMs, options.latenessMs?.() ?? 0);
            demandLog.record(fleet, fleet.excludedCounts, policy);
            const token = options.orderToken();
            if (token === undefined) {
                inventory.setDrainedForMove([]);
                return;
            }
            const plan = planMoves(fleet, policy);
            spareCounts = plan.spareCounts;
            inventory.setDrainedForMove(plan.drainedVmIds);
            plan.moves.forEach(move => startMove(move, token));
        },
        isMoving: vmId => pendingMoves.has(vmId),
        spareCounts: () => spareCounts,
    };
}
