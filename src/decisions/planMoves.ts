/**
 * Plans which VMs move to another pool. It is designed for queues that surge one after the other: each asks for several
 * times its mean load for some seconds, and for a twentieth of the mean in between.
 *
 * A pool that needs more VMs than it has gets empty VMs from pools that need fewer, the most recently used first, and then
 * from standby pools. VMs that stay empty for long go to standby, where they cost nothing. When a surge begins, the pool
 * immediately gets as many VMs as earlier surges needed: adding one VM after another, each delayed by the duration of a
 * move, would lag behind the surge. The first surge of a pool is expected to grow about as large as those of the other pools, and
 * waiting work that grows to go on growing while VMs move.
 */

/** VMs and CPU demand of one pool. */
export interface PoolDemand {
    poolName: string;
    isStandby: boolean;
    /** VMs available in the pool, without those that are moving into it. */
    vmCount: number;
    /** VMs that are moving into the pool. */
    incomingCount: number;
    /** CPU capacity of one VM. */
    vmCpuMillicores: number;
    /** CPU reserved by running short tasks. */
    busyCpuMillicores: number;
    /** CPU requested by waiting tasks. */
    waitingCpuMillicores: number;
    /** Growth of that over the last second, in millicores per second; 0 if it falls. */
    waitingGrowthMillicoresPerS: number;
    /** Work that arrived recently, in millicore-seconds per second. */
    arrivingCpuMillicores: number;
    /** Highest recent arrival rate, which decays over time. */
    peakCpuMillicores: number;
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
}

export interface MovePlanInput {
    nowMs: number;
    pools: readonly PoolDemand[];
    emptyVms: readonly EmptyVm[];
}

export interface VmMove {
    vmId: string;
    fromPool: string;
    toPool: string;
    reason: string;
}

/** Fraction of a VM's capacity that tasks of mixed sizes can use. */
const usableFraction = 0.85;
/**
 * A surplus VM goes to standby after being empty this long; moving it there and back costs about as much as two seconds
 * in a pool.
 */
const standbyAfterMs = 4_000;
/** An empty VM is moved to another pool only after this time, so that a VM whose task has just ended stays in its pool. */
const movableAfterMs = 250;

/** A surge is assumed to have begun above this fraction of the recent peak; between surges, far less work arrives. */
const surgeThresholdFraction = 0.4;

/** Waiting work is expected to grow for this long as it did; less than a move takes, since the growth also ends. */
const growthHorizonS = 1;

/** Returns the peak of the pool's present or next surge; `otherPeakCpuMillicores` is the highest of the other pools. */
function expectedPeakCpu(pool: PoolDemand, otherPeakCpuMillicores: number): number {
    const isFirstSurge = pool.arrivingCpuMillicores > pool.peakCpuMillicores &&
        pool.peakCpuMillicores < surgeThresholdFraction * otherPeakCpuMillicores;
    // Once the pool has had a surge of that order, its own peak is the better estimate.
    return isFirstSurge ? otherPeakCpuMillicores : pool.peakCpuMillicores;
}

/** Returns the number of VMs that the pool needs now; `otherPeakCpuMillicores` is the highest peak of the other pools. */
export function requiredVmCount(pool: PoolDemand, otherPeakCpuMillicores = 0): number {
    const peakCpu = expectedPeakCpu(pool, otherPeakCpuMillicores);
    const isSurging = pool.arrivingCpuMillicores > surgeThresholdFraction * peakCpu;
    const arrivingCpu = isSurging ? Math.max(pool.arrivingCpuMillicores, peakCpu) : pool.arrivingCpuMillicores;
    const waitingCpu = pool.waitingCpuMillicores + pool.waitingGrowthMillicoresPerS * growthHorizonS;
    const shortTaskCpu = Math.max(pool.busyCpuMillicores + waitingCpu, arrivingCpu);
    return Math.ceil((shortTaskCpu + pool.servingCpuMillicores) / (pool.vmCpuMillicores * usableFraction));
}

function isActive(pool: PoolDemand): boolean {
    return !pool.isStandby && pool.vmCpuMillicores > 0;
}

/** Returns the number of VMs that each pool needs now, without standby pools. */
export function requiredVmCounts(pools: readonly PoolDemand[]): Map<string, number> {
    const active = pools.filter(isActive);
    const otherPeakCpu = (pool: PoolDemand): number =>
        Math.max(0, ...active.filter(each => each !== pool).map(each => each.peakCpuMillicores));
    return new Map(active.map(pool => [pool.poolName, requiredVmCount(pool, otherPeakCpu(pool))]));
}

/** Plans the moves of empty VMs; each VM moves at most once. */
export function planMoves(input: MovePlanInput): VmMove[] {
    const standby = input.pools.find(pool => pool.isStandby);
    const active = input.pools.filter(isActive);
    const required = requiredVmCounts(active);
    const surplus = new Map(active.map(pool => [pool.poolName, pool.vmCount + pool.incomingCount - required.get(pool.poolName)!]));
    const moves: VmMove[] = [];
    const moved = new Set<string>();

    const mostRecentFirst = [...input.emptyVms].sort((a, b) => b.emptySinceMs - a.emptySinceMs);
    const findEmptyVm = (isAllowed: (vm: EmptyVm) => boolean): EmptyVm | undefined =>
        mostRecentFirst.find(vm => !moved.has(vm.vmId) && isAllowed(vm));
    const addMove = (vm: EmptyVm, toPool: string, reason: string): void => {
        moved.add(vm.vmId);
        moves.push({ vmId: vm.vmId, fromPool: vm.poolName, toPool, reason });
    };

    const poolsWithDeficit = active.filter(pool => surplus.get(pool.poolName)! < 0).sort((a, b) =>
        surplus.get(a.poolName)! - surplus.get(b.poolName)!
    );
    for (const pool of poolsWithDeficit) {
        for (let missing = -surplus.get(pool.poolName)!; missing > 0; missing--) {
            const surplusVm = findEmptyVm(vm =>
                (surplus.get(vm.poolName) ?? 0) > 0 && input.nowMs - vm.emptySinceMs >= movableAfterMs && vm.poolName !== pool.poolName
            );
            const vm = surplusVm ?? findEmptyVm(each => each.poolName === standby?.poolName);
            if (!vm) {
                break;
            }
            if (surplusVm) {
                surplus.set(surplusVm.poolName, surplus.get(surplusVm.poolName)! - 1);
            }
            addMove(vm, pool.poolName, `the pool needs ${missing} more VMs`);
        }
    }
    if (!standby) {
        return moves;
    }
    for (const vm of [...input.emptyVms].sort((a, b) => a.emptySinceMs - b.emptySinceMs)) {
        const remainingSurplus = surplus.get(vm.poolName) ?? 0;
        const pool = active.find(each => each.poolName === vm.poolName);
        if (!moved.has(vm.vmId) && pool && remainingSurplus > 0 && pool.vmCount > 1 && input.nowMs - vm.emptySinceMs >= standbyAfterMs) {
            surplus.set(vm.poolName, remainingSurplus - 1);
            addMove(vm, standby.poolName, "surplus VM has been empty for long");
        }
    }
    return moves;
}
