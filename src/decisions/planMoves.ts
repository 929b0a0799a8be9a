/**
 * Which VMs change their pool. Load pattern: queues surge in turn, each for some seconds to several times its mean, and
 * ask for a twentieth of it between. A pool that needs more VMs than it has gets empty ones of pools that need fewer, the
 * most recently used first, and then of standby pools; VMs that stay empty for long go to standby, where they cost nothing.
 * A surge that begins is given at once what the last ones took: one VM after another, each a move late, comes after it.
 */

export interface PoolDemand {
    poolName: string;
    isStandby: boolean;
    /** VMs at work in the pool, without those on their way. */
    vmCount: number;
    /** VMs on their way into the pool. */
    incomingCount: number;
    /** Processor capacity of one VM. */
    vmCpuMillicores: number;
    /** Processor time that short tasks use now, and that waiting ones ask for. */
    busyCpuMillicores: number;
    waitingCpuMillicores: number;
    /** Work that arrived of late, in millicore-seconds per second. */
    arrivingCpuMillicores: number;
    /** The highest rate of late, fading. */
    peakCpuMillicores: number;
    /** Processor capacity that long-running tasks hold. */
    servingCpuMillicores: number;
}

/** A VM on which nothing runs. */
export interface EmptyVm {
    vmId: string;
    poolName: string;
    emptySinceMs: number;
    /** VMs of one kind can replace each other. */
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

/** Part of a VM's capacity that tasks of mixed sizes fill. */
const fillPart = 0.85;
/** An empty VM that is surplus goes to standby after so long: a round trip costs as much as some two seconds in a pool. */
const standbyAfterMs = 4_000;
/** An empty VM is lent to another pool only after this, so that one whose task just ended is not torn away. */
const lendAfterMs = 250;

/** From this part of the last peak on, a surge is taken to have begun; between surges far less arrives. */
const surgePart = 0.4;

/** VMs that the pool needs now. */
export function requiredVmCount(pool: PoolDemand): number {
    const isSurging = pool.arrivingCpuMillicores > surgePart * pool.peakCpuMillicores;
    const arrivingCpu = isSurging ? Math.max(pool.arrivingCpuMillicores, pool.peakCpuMillicores) : pool.arrivingCpuMillicores;
    const shortCpu = Math.max(pool.busyCpuMillicores + pool.waitingCpuMillicores, arrivingCpu);
    return Math.ceil((shortCpu + pool.servingCpuMillicores) / (pool.vmCpuMillicores * fillPart));
}

/** Plans moves; each empty VM moves at most once. */
export function planMoves(input: MovePlanInput): VmMove[] {
    const standby = input.pools.find(pool => pool.isStandby);
    const active = input.pools.filter(pool => !pool.isStandby && pool.vmCpuMillicores > 0);
    const surplus = new Map(active.map(pool => [pool.poolName, pool.vmCount + pool.incomingCount - requiredVmCount(pool)]));
    const moves: VmMove[] = [];
    const moved = new Set<string>();

    const take = (isAllowed: (vm: EmptyVm) => boolean): EmptyVm | undefined =>
        input.emptyVms.filter(vm => !moved.has(vm.vmId) && isAllowed(vm)).sort((a, b) => b.emptySinceMs - a.emptySinceMs)[0];
    const move = (vm: EmptyVm, toPool: string, reason: string): void => {
        moved.add(vm.vmId);
        moves.push({ vmId: vm.vmId, fromPool: vm.poolName, toPool, reason });
    };

    const needy = active.filter(pool => surplus.get(pool.poolName)! < 0).sort((a, b) =>
        surplus.get(a.poolName)! - surplus.get(b.poolName)!
    );
    for (const pool of needy) {
        for (let missing = -surplus.get(pool.poolName)!; missing > 0; missing--) {
            const lent = take(vm =>
                (surplus.get(vm.poolName) ?? 0) > 0 && input.nowMs - vm.emptySinceMs >= lendAfterMs && vm.poolName !== pool.poolName
            );
            const vm = lent ?? take(each => each.poolName === standby?.poolName);
            if (!vm) {
                break;
            }
            if (lent) {
                surplus.set(lent.poolName, surplus.get(lent.poolName)! - 1);
            }
            move(vm, pool.poolName, `needs ${missing} more`);
        }
    }
    if (!standby) {
        return moves;
    }
    for (const vm of [...input.emptyVms].sort((a, b) => a.emptySinceMs - b.emptySinceMs)) {
        const left = surplus.get(vm.poolName) ?? 0;
        const pool = active.find(each => each.poolName === vm.poolName);
        if (!moved.has(vm.vmId) && pool && left > 0 && pool.vmCount > 1 && input.nowMs - vm.emptySinceMs >= standbyAfterMs) {
            surplus.set(vm.poolName, left - 1);
            move(vm, standby.poolName, "empty for long");
        }
    }
    return moves;
}
