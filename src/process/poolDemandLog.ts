/** Logs once a second how many VMs each pool needs and has, which demand that rests on, and which VMs are left out. */
import { type MovePlanInput, type MovePolicy, peakMovePolicy, type PoolDemand, type RequiredVms } from "../decisions/planMoves.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** Why a VM of a pool is not counted as available. */
export const vmExclusions = {
    /** A move of it was requested and is not complete. */
    moving: "moving",
    /** The VM list does not show it as up. */
    notUp: "notUp",
    /** No worker is known on it. */
    withoutWorker: "withoutWorker",
    /** Its worker does not respond, or no worker of its zone does. */
    unresponsive: "unresponsive",
    /** It is drained for a restart, or its worker is leaving. */
    draining: "draining",
    /** Its zone is evacuated. */
    evacuated: "evacuated",
} as const;
export type VmExclusion = (typeof vmExclusions)[keyof typeof vmExclusions];

export interface PoolDemandLog {
    /** Logs what the next moves are planned from, unless that was done within the last second. */
    record(
        input: MovePlanInput,
        excludedCounts: ReadonlyMap<string, ReadonlyMap<VmExclusion, number>>,
        policy?: MovePolicy,
    ): void;
}

const intervalMs = 1_000;

function formatCores(cpuMillicores: number): string {
    return String(Math.round(cpuMillicores / 1000));
}

function formatCount(count: number): string {
    return count.toFixed(1);
}

function formatPool(pool: PoolDemand, required: RequiredVms, emptyCount: number): string {
    return `${pool.poolName}: needs ${required.presentCount} VMs (${required.expectedCount} expected, ${required.totalCount} with overdue work), has ${pool.vmCount} (${emptyCount} empty) and ${pool.incomingCount} coming; ` +
        `cores: ${formatCores(pool.busyCpuMillicores)} busy, ${formatCores(pool.servingCpuMillicores)} serving, ` +
        `${formatCores(pool.waitingCpuMillicores)} waiting, ${formatCores(pool.waitingGrowthMillicoresPerS)}/s growth, ` +
        `${formatCores(pool.overdueCpuMillicores)} overdue, ` +
        `${formatCores(pool.arrivingCpuMillicores)} arriving with ${pool.arrivingJobsCount} jobs (usually ${
            formatCount(pool.usualJobsCount)
        }), ${formatCores(pool.peakCpuMillicores)} peak`;
}

export function createPoolDemandLog(logger: Logger): PoolDemandLog {
    let loggedAtMs = Number.NEGATIVE_INFINITY;
    return {
        record: ({ nowMs, pools, emptyVms }, excludedCounts, policy = peakMovePolicy) => {
            if (nowMs - loggedAtMs < intervalMs) {
                return;
            }
            loggedAtMs = nowMs;
            const required = policy.requiredVmsByPool(pools);
            const emptyCountOf = ({ poolName }: PoolDemand): number => emptyVms.filter(vm => vm.poolName === poolName).length;
            logger.log(logEvents.poolDemandSummarized, {
                pools: pools.map(pool =>
                    pool.isStandby ?
                        `${pool.poolName}: standby, ${pool.vmCount} available, ${emptyCountOf(pool)} of them movable` :
                        formatPool(pool, required.get(pool.poolName)!, emptyCountOf(pool))
                ),
                excludedVms: [...excludedCounts].map(([poolName, counts]) =>
                    `${poolName}: ${[...counts].map(([reason, count]) => `${count} ${reason}`).join(", ")}`
                ),
            });
        },
    };
}
