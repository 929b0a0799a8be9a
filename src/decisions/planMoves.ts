/**
 * Plans which VMs move to another pool. It is designed for queues that surge one after the other: each asks for several
 * times its mean load for some seconds, and for a twentieth of the mean in between.
 *
 * A pool that needs more VMs than it has gets empty VMs from pools that need fewer, the most recently used first, and then
 * from standby pools. VMs that stay empty for long go to standby, where they cost nothing. When a surge begins, the pool
 * immediately gets as many VMs as earlier surges needed: adding one VM after another, each delayed by the duration of a
 * move, would lag behind the surge. A surge begins when unusually many jobs arrive; the first one of a pool is expected to grow about as large as
 * those of the other pools, and arriving and waiting work that grows to go on growing while VMs move. A few large jobs are no surge.
 */
import type { PoolArrivals } from "./poolArrivals.js";
import { isUnusualCount } from "./unusualCount.js";

/** VMs and CPU demand of one pool. */
export interface PoolDemand extends PoolArrivals {
    poolName: string;
    isStandby: boolean;
    /** VMs available in the pool, without those that are moving into it. */
    vmCount: number;
    /** The part of them with long-running tasks, or tasks of jobs that can be in time. */
    occupiedVmCount: number;
    /** VMs that are moving into the pool. */
    incomingCount: number;
    /** CPU capacity of one VM. */
    vmCpuMillicores: number;
    /** CPU reserved by running short tasks of jobs that can be in time. */
    busyCpuMillicores: number;
    /** CPU requested by waiting tasks of jobs that can be in time. */
    waitingCpuMillicores: number;
    /** The part of that whose tasks fit on none of the VMs that are there, but on an empty one. */
    unplaceableCpuMillicores: number;
    /** Further VMs that these need where only some tasks of a step may share one. */
    apartVmCount?: number;
    /** CPU reserved or requested by short tasks of jobs that cannot be in time any more. */
    overdueCpuMillicores: number;
    /** Growth of that over the last second, in millicores per second; 0 if it falls. */
    waitingGrowthMillicoresPerS: number;
    /** CPU reserved by long-running tasks. */
    servingCpuMillicores: number;
}

/** A VM without running tasks. */
export interface EmptyVm {
    vmId: string;
    poolName: string;
    emptySinceMs: number;
    /** CPU capacity of the VM; VMs of the same kind are interchangeable. */
    vmCpuMillicores: number;
    /** Whether it was drained to be moved, and gets no new tasks. */
    isDraining: boolean;
}

/** A VM with running short tasks only, which is empty once these have ended if it gets no others. */
export interface DrainableVm {
    vmId: string;
    poolName: string;
    busyCpuMillicores: number;
    /** Whether it is drained already, so that it can be moved. */
    isDraining: boolean;
}

/** How pools are sized, and when VMs leave them. */
export interface MovePolicy {
    /** Returns the VMs that each pool needs now, without standby pools. */
    requiredVmsByPool(pools: readonly PoolDemand[]): Map<string, RequiredVms>;
    /** A surplus VM goes to standby after being empty this long. */
    standbyAfterMs: number;
}

export interface MovePlanInput {
    nowMs: number;
    pools: readonly PoolDemand[];
    emptyVms: readonly EmptyVm[];
    drainableVms: readonly DrainableVm[];
}

export interface MovePlan {
    moves: VmMove[];
    /** VMs that get no new tasks, so that they can be moved soon; all others do. */
    drainedVmIds: string[];
    /**
     * VMs of each pool beyond its need, without overdue work, and those left in standby, once the moves are complete; negative where a pool lacks
     * VMs.
     */
    spareCounts: ReadonlyMap<string, number>;
}

export interface VmMove {
    vmId: string;
    fromPool: string;
    toPool: string;
    reason: string;
}

/** Fraction of a VM's capacity that tasks of mixed sizes can use. */
const usableFraction = 0.85;
/** Moving a VM to standby and back costs about as much as two seconds in a pool. */
const standbyAfterMs = 4_000;
/** An empty VM is moved to another pool only after this time, so that a VM whose task has just ended stays in its pool. */
const movableAfterMs = 250;

/** A surge is assumed to go on above this fraction of the recent peak; between surges, far less work arrives. */
const surgeThresholdFraction = 0.25;
/** The work of fewer jobs says little about the rate at which work arrives. */
const fewestJobsForRate = 3;
/** Time for which a surge that is larger than all before is expected to grow as it does: a move, and half of the time in which the rate is measured. */
const arrivalGrowthHorizonS = 2;

/** Waiting work is expected to grow for this long as it did; less than a move takes, since the growth also ends. */
const growthHorizonS = 1;

/** Returns the work that the pool's present surge is expected to bring, 0 if there is none; `otherPeakCpuMillicores` is the highest peak of the other pools. */
function expectedSurgeCpu(pool: PoolDemand, arrivingCpuMillicores: number, otherPeakCpuMillicores: number): number {
    const { arrivingGrowthMillicoresPerS, peakCpuMillicores } = pool;
    if (arrivingGrowthMillicoresPerS > 0 && isUnusualCount(pool.arrivingJobsCount, pool.usualJobsCount)) {
        // Once the pool has had a surge of that order, its own peak is the better estimate.
        const isFirstSurge = peakCpuMillicores < surgeThresholdFraction * otherPeakCpuMillicores;
        const isBeyondPeak = arrivingCpuMillicores > peakCpuMillicores;
        return Math.max(
            isFirstSurge ? otherPeakCpuMillicores : peakCpuMillicores,
            isBeyondPeak ? arrivingCpuMillicores + arrivingGrowthMillicoresPerS * arrivalGrowthHorizonS : 0,
        );
    }
    return arrivingCpuMillicores > surgeThresholdFraction * peakCpuMillicores ? peakCpuMillicores : 0;
}

export function vmsOf(pool: PoolDemand, cpuMillicores: number): number {
    return Math.ceil(cpuMillicores / (pool.vmCpuMillicores * usableFraction));
}

export function vmsFor(pool: PoolDemand, shortTaskCpuMillicores: number): number {
    return vmsOf(pool, shortTaskCpuMillicores + pool.servingCpuMillicores);
}

/** VMs that a pool needs; each count contains the previous one. */
export interface RequiredVms {
    /** For work that can be in time and is there, or arrives as it does now. */
    presentCount: number;
    /** For a surge that has begun, too. */
    expectedCount: number;
    /** For overdue work, too. */
    totalCount: number;
}

/** Returns the VMs that the pool needs now; `otherPeakCpuMillicores` is the highest peak of the other pools. */
export function requiredVms(pool: PoolDemand, otherPeakCpuMillicores = 0): RequiredVms {
    const waitingCpu = pool.waitingCpuMillicores + pool.waitingGrowthMillicoresPerS * growthHorizonS;
    const arrivingCpu = pool.recentJobsCount >= fewestJobsForRate ? pool.arrivingCpuMillicores : 0;
    const presentCpu = Math.max(pool.busyCpuMillicores + waitingCpu, arrivingCpu);
    const expectedCpu = Math.max(presentCpu, expectedSurgeCpu(pool, arrivingCpu, otherPeakCpuMillicores));
    // Overdue work must end some time, also while other pools lack VMs.
    const leastCount = pool.overdueCpuMillicores > 0 ? 1 : 0;
    // Capacity that is left on many VMs is of no use for tasks that fit on none of them.
    const fragmentedCount = pool.unplaceableCpuMillicores > 0 ? pool.occupiedVmCount + vmsOf(pool, pool.unplaceableCpuMillicores) : 0;
    const presentCount = Math.max(leastCount, fragmentedCount, vmsFor(pool, presentCpu));
    return {
        presentCount,
        expectedCount: Math.max(presentCount, vmsFor(pool, expectedCpu)),
        totalCount: Math.max(presentCount, vmsFor(pool, expectedCpu + pool.overdueCpuMillicores)),
    };
}

export function isActive(pool: PoolDemand): boolean {
    return !pool.isStandby && pool.vmCpuMillicores > 0;
}

/** Returns the highest peak of the other pools. */
export function largestOtherPeakCpu(pool: PoolDemand, active: readonly PoolDemand[]): number {
    return Math.max(0, ...active.filter(each => each !== pool).map(each => each.peakCpuMillicores));
}

/** Returns the VMs that each pool needs now, without standby pools. */
export function requiredVmsByPool(pools: readonly PoolDemand[]): Map<string, RequiredVms> {
    const active = pools.filter(isActive);
    return new Map(active.map(pool => [pool.poolName, requiredVms(pool, largestOtherPeakCpu(pool, active))]));
}

/** Sizes pools by their arrivals and peaks. */
export const peakMovePolicy: MovePolicy = { requiredVmsByPool, standbyAfterMs };

/** Sums of VMs by pool. */
type VmCounts = Map<string, number>;

function addTo(counts: VmCounts, poolName: string, count: number): void {
    counts.set(poolName, (counts.get(poolName) ?? 0) + count);
}

/** Plans the moves of empty VMs, and which other VMs are drained to be moved; each VM moves at most once. */
export function planMoves(input: MovePlanInput, policy: MovePolicy = peakMovePolicy): MovePlan {
    const standby = input.pools.find(pool => pool.isStandby);
    const active = input.pools.filter(isActive);
    const required = policy.requiredVmsByPool(active);
    const surplusOver = (requiredCount: (vms: RequiredVms) => number): VmCounts =>
        new Map(active.map(pool => [
            pool.poolName,
            pool.vmCount + pool.incomingCount - requiredCount(required.get(pool.poolName)!),
        ]));
    const presentSurplus = surplusOver(vms => vms.presentCount);
    const expectedSurplus = surplusOver(vms => vms.expectedCount);
    const totalSurplus = surplusOver(vms => vms.totalCount);
    /** VMs beyond each need, the most urgent need first. */
    const surpluses = [presentSurplus, expectedSurplus, totalSurplus];
    const purposes = new Map([
        [presentSurplus, "the present work"],
        [expectedSurplus, "the expected surge"],
        [totalSurplus, "overdue work"],
    ]);
    const moves: VmMove[] = [];
    const moved = new Set<string>();

    const mostRecentFirst = [...input.emptyVms].sort((a, b) => b.emptySinceMs - a.emptySinceMs);
    const findEmptyVm = (isAllowed: (vm: EmptyVm) => boolean): EmptyVm | undefined =>
        mostRecentFirst.find(vm => !moved.has(vm.vmId) && isAllowed(vm));
    const findSurplusVm = (surplus: VmCounts, toPool: string): EmptyVm | undefined =>
        findEmptyVm(vm =>
            (surplus.get(vm.poolName) ?? 0) > 0 && vm.poolName !== toPool &&
            (vm.isDraining || input.nowMs - vm.emptySinceMs >= movableAfterMs)
        );
    const addMove = (vm: EmptyVm, toPool: string, reason: string): void => {
        moved.add(vm.vmId);
        moves.push({ vmId: vm.vmId, fromPool: vm.poolName, toPool, reason });
        for (const surplus of surpluses) {
            addTo(surplus, vm.poolName, -1);
            addTo(surplus, toPool, 1);
        }
    };
    /** Fills pools from the given sources, the neediest first; returns how many VMs are still missing. */
    const fill = (surplus: VmCounts, findVm: (toPool: string) => EmptyVm | undefined): number => {
        let missingCount = 0;
        const needy = active.map(pool => pool.poolName).filter(poolName => surplus.get(poolName)! < 0)
            .sort((a, b) => surplus.get(a)! - surplus.get(b)!);
        for (const poolName of needy) {
            while (surplus.get(poolName)! < 0) {
                const vm = findVm(poolName);
                if (!vm) {
                    missingCount -= surplus.get(poolName)!;
                    break;
                }
                addMove(vm, poolName, `the pool needs ${-surplus.get(poolName)!} more VMs for ${purposes.get(surplus)}`);
            }
        }
        return missingCount;
    };
    let drainedVmIds: string[] = [];
    for (const [index, surplus] of surpluses.entries()) {
        const lessUrgent = surpluses.slice(index, -1).reverse();
        const findVm = (toPool: string): EmptyVm | undefined =>
            findSurplusVm(totalSurplus, toPool) ??
                findEmptyVm(vm => vm.poolName === standby?.poolName) ??
                lessUrgent.map(each => findSurplusVm(each, toPool)).find(vm => vm !== undefined);
        const missingCount = fill(surplus, findVm);
        if (missingCount > 0) {
            // Nothing is drained for overdue work: it would only take the place of other overdue work.
            drainedVmIds = surplus === totalSurplus ? [] : chooseDrainedVms(input.drainableVms, surplus, missingCount);
            break;
        }
    }
    if (!standby) {
        return { moves, drainedVmIds, spareCounts: expectedSurplus };
    }
    for (const vm of [...input.emptyVms].sort((a, b) => a.emptySinceMs - b.emptySinceMs)) {
        const pool = active.find(each => each.poolName === vm.poolName);
        if (
            !moved.has(vm.vmId) && pool && totalSurplus.get(vm.poolName)! > 0 && pool.vmCount > 1 &&
            input.nowMs - vm.emptySinceMs >= policy.standbyAfterMs
        ) {
            addMove(vm, standby.poolName, "surplus VM has been empty for long");
        }
    }
    // The moves count below 0 what they take from standby, which needs none.
    const spareCounts = new Map(expectedSurplus);
    addTo(spareCounts, standby.poolName, standby.vmCount + standby.incomingCount);
    return { moves, drainedVmIds, spareCounts };
}

/** Chooses VMs of pools with a surplus: those that are drained already, then the least busy. */
function chooseDrainedVms(
    drainableVms: readonly DrainableVm[],
    surplus: ReadonlyMap<string, number>,
    missingCount: number,
): string[] {
    const left = new Map(surplus);
    const chosen: string[] = [];
    const ranked = [...drainableVms].sort((a, b) =>
        Number(b.isDraining) - Number(a.isDraining) || a.busyCpuMillicores - b.busyCpuMillicores
    );
    for (const vm of ranked) {
        if (chosen.length >= missingCount) {
            break;
        }
        if ((left.get(vm.poolName) ?? 0) > 0) {
            addTo(left, vm.poolName, -1);
            chosen.push(vm.vmId);
        }
    }
    return chosen;
}
