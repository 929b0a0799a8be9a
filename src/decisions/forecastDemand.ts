/**
 * Forecasts the CPU that the short tasks of a pool use at the time at which VMs that are requested now can be used. It is designed for surges
 * whose arrivals double within the duration of a move: work that is there says too little at their rise, and the peak of earlier surges too
 * much, since a surge of long jobs takes as long as these to reach its full demand, and is over soon after.
 */
import { type BeginningDemand, latestWindowS } from "./poolArrivals.js";

/** A surge that begins is assumed to grow by at most this factor each second: a few large jobs look like a much steeper rise. */
const mostGrowthPerS = 2;

/** The jobs of the last two seconds. */
export interface RecentArrivals extends BeginningDemand {
    /** Number of jobs that arrived within the last second, and in the second before. */
    jobsCount: number;
    formerJobsCount: number;
}

/** Whether a count differs from another by more than the standard deviation of the difference of two counts of independent arrivals. */
function isSignificant(count: number, expectedCount: number): boolean {
    return Math.abs(count - expectedCount) > Math.sqrt(count + expectedCount);
}

/** Returns the number of jobs that are expected to arrive per second in `horizonS`. */
function forecastJobs(arrivals: RecentArrivals, isUnusual: boolean, horizonS: number): { linear: number; surge: number } {
    const { jobsCount, formerJobsCount, latestJobsCount } = arrivals;
    const change = jobsCount - formerJobsCount;
    const hasChanged = isSignificant(jobsCount, formerJobsCount);
    const linear = hasChanged ? Math.max(0, jobsCount + change * horizonS) : jobsCount;
    if (!hasChanged || !isUnusual || change <= 0) {
        return { linear, surge: linear };
    }
    const latestRate = isSignificant(latestJobsCount, jobsCount * latestWindowS) ? latestJobsCount / latestWindowS : 0;
    const growthPerS = Math.min(mostGrowthPerS, jobsCount / Math.max(1, formerJobsCount));
    return { linear, surge: Math.max(jobsCount, latestRate) * growthPerS ** horizonS };
}

/**
 * Returns the demand in `horizonS`. `demandMillicores` is what runs and waits now. `isUnusual`: more jobs arrive than chance brings.
 * `peakMillicoresPerS` is the highest rate at which the demand of new jobs began in any pool of late; it limits how far a rise is extrapolated.
 */
export function forecastDemand(
    arrivals: RecentArrivals,
    demandMillicores: number,
    isUnusual: boolean,
    horizonS: number,
    peakMillicoresPerS: number,
): number {
    const { durationS, jobMillicores } = arrivals;
    if (durationS <= 0) {
        return 0;
    }
    const { linear, surge } = forecastJobs(arrivals, isUnusual, horizonS);
    const rate = Math.min(surge * jobMillicores, Math.max(linear * jobMillicores, peakMillicoresPerS));
    const remaining = demandMillicores * Math.max(0, 1 - horizonS / durationS);
    return remaining + rate * Math.min(horizonS, durationS);
}
