/** Sizes pools by the demand that the owner of the scheduling sees and expects. */
import { isActive, type MovePolicy, peakMovePolicy, type PoolDemand } from "../decisions/planMoves.js";
import { demandToServe, sizePool } from "../decisions/sizePools.js";
import { toleratedLatenessMs } from "../decisions/startWindow.js";
import { createDemandHistory } from "./demandHistory.js";

export interface AdaptivePools {
    /** Records the pools' present demand, and returns how moves are planned for it. `latenessMs`: how late the process runs its timers. */
    update(pools: readonly PoolDemand[], nowMs: number, latenessMs: number): MovePolicy;
}

/** `moveMs` is the time that a move takes; a VM that is empty for as long goes to standby, as its way there and back costs about as much. */
export function createAdaptivePools(moveMs: number): AdaptivePools {
    const history = createDemandHistory();
    return {
        update: (pools, nowMs, latenessMs) => {
            const active = pools.filter(isActive);
            const required = new Map(active.map(pool => {
                const otherPeak = Math.max(0, ...active.filter(each => each !== pool).map(each => each.beginning?.peakMillicoresPerS ?? 0));
                const demandMillicores = history.recentPeak(pool.poolName, demandToServe(pool, moveMs / 1_000, otherPeak), nowMs);
                return [pool.poolName, sizePool(pool, demandMillicores)] as const;
            }));
            // An owner that is late sees demand and completed moves too late to size pools closely, and starts tasks too late to use VMs at once.
            return latenessMs > toleratedLatenessMs ? peakMovePolicy : { requiredVmsByPool: () => required, standbyAfterMs: moveMs };
        },
    };
}
