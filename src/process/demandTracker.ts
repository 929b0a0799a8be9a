/** Tracks the rate of arriving work per pool, and its recent peak. Runs in every process, since any may become the owner. */

export interface PoolArrivals {
    /** Current rate of arriving work, in millicore-seconds per second. */
    arrivingCpuMillicores: number;
    /** Number of jobs that this work comes from. */
    arrivingJobsCount: number;
    /** Highest rate of the last minutes, measured over a longer window and decaying. */
    peakCpuMillicores: number;
}

export interface DemandTracker {
    /**
     * Records work of short tasks that was submitted for a pool `ageMs` ago. Old work is ignored, so that the initial copy of the
     * store does not look like a surge.
     */
    recordArrival(poolName: string, workMillicoreS: number, ageMs: number): void;
    read(poolName: string): PoolArrivals;
}

interface Arrival {
    atMs: number;
    workMillicoreS: number;
}

interface PoolHistory {
    arrivals: Arrival[];
    peak: number;
    peakAtMs: number;
}

/** Shorter than a surge, but long enough to cover several large jobs. */
const arrivalWindowMs = 1_000;
/** The peak uses a longer window, since a few large jobs cause a high rate for a moment. */
const peakWindowMs = 2_000;
/** Half-life of the decaying peak. */
const peakHalfLifeMs = 60_000;

/** Several times the store's slowest response. */
const maxArrivalAgeMs = 1_500;

export function createDemandTracker(nowMs: () => number): DemandTracker {
    const histories = new Map<string, PoolHistory>();

    const arrivalsWithin = (history: PoolHistory, windowMs: number): Arrival[] =>
        history.arrivals.filter(arrival => arrival.atMs > nowMs() - windowMs);
    const rateWithin = (history: PoolHistory, windowMs: number): number =>
        arrivalsWithin(history, windowMs).reduce((sum, arrival) => sum + arrival.workMillicoreS, 0) / (windowMs / 1000);
    const decayedPeak = (history: PoolHistory): number => history.peak * 0.5 ** ((nowMs() - history.peakAtMs) / peakHalfLifeMs);

    return {
        recordArrival: (poolName, workMillicoreS, ageMs) => {
            if (ageMs >= maxArrivalAgeMs) {
                return;
            }
            const history = histories.get(poolName) ?? { arrivals: [], peak: 0, peakAtMs: nowMs() };
            histories.set(poolName, history);
            const oldestMs = nowMs() - peakWindowMs;
            history.arrivals = history.arrivals.filter(arrival => arrival.atMs > oldestMs);
            history.arrivals.push({ atMs: nowMs(), workMillicoreS });
            const rate = rateWithin(history, peakWindowMs);
            if (rate >= decayedPeak(history)) {
                history.peak = rate;
                history.peakAtMs = nowMs();
            }
        },
        read: poolName => {
            const history = histories.get(poolName);
            return history ?
                {
                    arrivingCpuMillicores: rateWithin(history, arrivalWindowMs),
                    arrivingJobsCount: arrivalsWithin(history, arrivalWindowMs).length,
                    peakCpuMillicores: decayedPeak(history),
                } :
                { arrivingCpuMillicores: 0, arrivingJobsCount: 0, peakCpuMillicores: 0 };
        },
    };
}
