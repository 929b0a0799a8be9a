/** Tracks the rate of arriving work per pool, and its recent peak. Runs in every process, since any may become the owner. */
import { type BeginningDemand, latestWindowS, type PoolArrivals } from "../decisions/poolArrivals.js";

export interface DemandTracker {
    /**
     * Records work of short tasks that was submitted for a pool `ageMs` ago. Old work is ignored, so that the initial copy of the
     * store does not look like a surge. `durationMs` is the critical path of that work.
     */
    recordArrival(poolName: string, workMillicoreS: number, ageMs: number, durationMs?: number): void;
    read(poolName: string): PoolArrivals;
}

interface Arrival {
    atMs: number;
    workMillicoreS: number;
    durationMs: number;
}

interface PoolHistory {
    arrivals: Arrival[];
    peak: number;
    peakAtMs: number;
    beginningPeak: number;
    beginningPeakAtMs: number;
    /** Number of jobs that arrived in each second of the clock, oldest first, without seconds in which none did. */
    jobsBySecond: { second: number; jobsCount: number }[];
}

/** Shorter than a surge, but long enough to cover several large jobs. */
const arrivalWindowMs = 1_000;
/** The peak uses a longer window, since a few large jobs cause a high rate for a moment. */
const peakWindowMs = 2 * arrivalWindowMs;
/** Half-life of the decaying peak. */
const peakHalfLifeMs = 60_000;

/** The usual number of jobs is the smallest of any time of this length, so that a surge does not count as usual. */
const calmWindowS = 6;
/** Calm times are looked for this far back. */
const calmHistoryS = 30;

/** Several times the store's slowest response. */
const maxArrivalAgeMs = 1_500;

/** Critical path of work for which none is given. */
const defaultDurationMs = 1_000;
/** Estimates may be zero. */
const shortestDurationMs = 100;

const noArrivals: PoolArrivals = {
    arrivingCpuMillicores: 0,
    arrivingGrowthMillicoresPerS: 0,
    arrivingJobsCount: 0,
    usualJobsCount: 1 / calmWindowS,
    recentJobsCount: 0,
    peakCpuMillicores: 0,
};

/** CPU that the jobs use on average while they run. */
function sumMillicores(arrivals: readonly Arrival[]): number {
    return arrivals.reduce((sum, { workMillicoreS, durationMs }) => sum + workMillicoreS / (durationMs / 1_000), 0);
}

export function createDemandTracker(nowMs: () => number): DemandTracker {
    const histories = new Map<string, PoolHistory>();

    const arrivalsWithin = (history: PoolHistory, windowMs: number): Arrival[] =>
        history.arrivals.filter(arrival => arrival.atMs > nowMs() - windowMs);
    const rateWithin = (history: PoolHistory, windowMs: number): number =>
        arrivalsWithin(history, windowMs).reduce((sum, arrival) => sum + arrival.workMillicoreS, 0) / (windowMs / 1000);
    /** Returns the rate of the least busy time, without the last seconds; one job more than arrived, since few say little. */
    const usualJobsPerS = ({ jobsBySecond }: PoolHistory): number => {
        const endSecond = Math.floor((nowMs() - arrivalWindowMs) / 1_000);
        let least = Number.POSITIVE_INFINITY;
        for (let fromSecond = endSecond - calmHistoryS; fromSecond <= endSecond - calmWindowS; fromSecond++) {
            const within = jobsBySecond.filter(({ second }) => second >= fromSecond && second < fromSecond + calmWindowS);
            least = Math.min(least, within.reduce((sum, { jobsCount }) => sum + jobsCount, 0));
        }
        return (least + 1) / calmWindowS;
    };
    const countJob = ({ jobsBySecond }: PoolHistory): void => {
        const second = Math.floor(nowMs() / 1_000);
        const last = jobsBySecond.at(-1);
        if (last?.second === second) {
            last.jobsCount += 1;
            return;
        }
        jobsBySecond.push({ second, jobsCount: 1 });
        if (jobsBySecond[0]!.second < second - calmHistoryS - 1) {
            jobsBySecond.shift();
        }
    };
    const decayedBeginningPeak = (history: PoolHistory): number =>
        history.beginningPeak * 0.5 ** ((nowMs() - history.beginningPeakAtMs) / peakHalfLifeMs);
    const decayedPeak = (history: PoolHistory): number => history.peak * 0.5 ** ((nowMs() - history.peakAtMs) / peakHalfLifeMs);

    const describeBeginning = (history: PoolHistory): BeginningDemand => {
        const both = arrivalsWithin(history, peakWindowMs);
        const millicores = sumMillicores(both);
        const workMillicoreS = both.reduce((sum, arrival) => sum + arrival.workMillicoreS, 0);
        return {
            latestJobsCount: arrivalsWithin(history, latestWindowS * 1_000).length,
            jobMillicores: both.length > 0 ? millicores / both.length : 0,
            peakMillicoresPerS: decayedBeginningPeak(history),
            durationS: millicores > 0 ? workMillicoreS / millicores : 0,
        };
    };

    return {
        recordArrival: (poolName, workMillicoreS, ageMs, durationMs = defaultDurationMs) => {
            if (ageMs >= maxArrivalAgeMs) {
                return;
            }
            const history = histories.get(poolName) ??
                { arrivals: [], peak: 0, peakAtMs: nowMs(), beginningPeak: 0, beginningPeakAtMs: nowMs(), jobsBySecond: [] };
            histories.set(poolName, history);
            const oldestMs = nowMs() - peakWindowMs;
            history.arrivals = history.arrivals.filter(arrival => arrival.atMs > oldestMs);
            history.arrivals.push({ atMs: nowMs(), workMillicoreS, durationMs: Math.max(shortestDurationMs, durationMs) });
            countJob(history);
            const rate = rateWithin(history, peakWindowMs);
            if (rate >= decayedPeak(history)) {
                history.peak = rate;
                history.peakAtMs = nowMs();
            }
            const beginning = sumMillicores(history.arrivals) / (peakWindowMs / 1_000);
            if (beginning >= decayedBeginningPeak(history)) {
                history.beginningPeak = beginning;
                history.beginningPeakAtMs = nowMs();
            }
        },
        read: poolName => {
            const history = histories.get(poolName);
            if (!history) {
                return noArrivals;
            }
            const arriving = rateWithin(history, arrivalWindowMs);
            const preceding = 2 * rateWithin(history, peakWindowMs) - arriving;
            return {
                arrivingCpuMillicores: arriving,
                arrivingGrowthMillicoresPerS: Math.max(0, arriving - preceding) / (arrivalWindowMs / 1_000),
                arrivingJobsCount: arrivalsWithin(history, arrivalWindowMs).length,
                usualJobsCount: usualJobsPerS(history) * arrivalWindowMs / 1_000,
                recentJobsCount: arrivalsWithin(history, peakWindowMs).length,
                peakCpuMillicores: decayedPeak(history),
                beginning: describeBeginning(history),
            };
        },
    };
}
