/**
 * Sizes pools whose queues surge for a few seconds, where each surplus VM costs about as much as it can earn. A pool gets VMs for
 * the work that is there, and for the demand that is forecast for the end of a move.
 */
import { forecastDemand } from "./forecastDemand.js";
import { type PoolDemand, type RequiredVms, vmsFor, vmsOf } from "./planMoves.js";
import { isUnusualCount } from "./unusualCount.js";

/** Part of the CPU of overdue work for which VMs are taken; it is worth little, and also runs where other work leaves room. */
const overdueFraction = 0.5;
/** The work of fewer jobs says little about the rate at which work arrives. */
const fewestJobsForRate = 3;
/** VMs that are requested now are planned with at most this delay, after which their moves begin. */
const planningDelayS = 0.5;

/** Returns the demand for which VMs are taken now, those that arrive after a move included. */
export function demandToServe(pool: PoolDemand, moveS: number, otherPeakMillicoresPerS: number): number {
    const demandCpu = pool.busyCpuMillicores + pool.waitingCpuMillicores;
    if (!pool.beginning || pool.recentJobsCount < fewestJobsForRate) {
        return demandCpu;
    }
    const isUnusual = isUnusualCount(pool.arrivingJobsCount, pool.usualJobsCount);
    const peakMillicoresPerS = Math.max(pool.beginning.peakMillicoresPerS, otherPeakMillicoresPerS);
    const arrivals = {
        ...pool.beginning,
        jobsCount: pool.arrivingJobsCount,
        formerJobsCount: pool.recentJobsCount - pool.arrivingJobsCount,
    };
    return Math.max(demandCpu, forecastDemand(arrivals, demandCpu, isUnusual, moveS + planningDelayS, peakMillicoresPerS));
}

/** Returns the VMs that the pool needs for a demand of short tasks. */
export function sizePool(pool: PoolDemand, demandCpu: number): RequiredVms {
    // Overdue work must end some time, also while other pools lack VMs.
    const leastCount = pool.overdueCpuMillicores > 0 ? 1 : 0;
    // Capacity that is left on many VMs is of no use for tasks that fit on none of them.
    const fragmentedCount = pool.unplaceableCpuMillicores > 0 ?
        pool.occupiedVmCount + Math.max(vmsOf(pool, pool.unplaceableCpuMillicores), pool.apartVmCount ?? 0) :
        0;
    const presentCount = Math.max(leastCount, fragmentedCount, vmsFor(pool, demandCpu));
    return {
        presentCount,
        expectedCount: presentCount,
        totalCount: Math.max(presentCount, vmsFor(pool, demandCpu + pool.overdueCpuMillicores * overdueFraction)),
    };
}
