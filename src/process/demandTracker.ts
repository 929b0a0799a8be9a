/** How much work arrives for each pool, and how much its surges of late brought. Every process follows it: any may become the owner. */

export interface PoolArrivals {
    /** Work that arrives now, in millicore-seconds per second. */
    arrivingCpuMillicores: number;
    /** The highest rate of the last minutes, over a longer time and fading. */
    peakCpuMillicores: number;
}

export interface DemandTracker {
    /** Work of short tasks was handed in for a pool. */
    recordArrival(poolName: string, workMillicoreS: number): void;
    read(poolName: string): PoolArrivals;
}

interface PoolHistory {
    arrivals: { atMs: number; workMillicoreS: number }[];
    peak: number;
    peakAtMs: number;
}

/** Shorter than a surge, long enough for several jobs of a large kind. */
const arrivalWindowMs = 1_000;
/** A peak is told over a longer time, since a few large jobs make a high rate for a moment. */
const peakWindowMs = 2_000;
/** After so long a peak counts half. */
const peakHalfLifeMs = 60_000;

export function createDemandTracker(nowMs: () => number): DemandTracker {
    const histories = new Map<string, PoolHistory>();

    const rateWithin = (history: PoolHistory, windowMs: number): number => {
        const sinceMs = nowMs() - windowMs;
        const recent = history.arrivals.filter(arrival => arrival.atMs > sinceMs);
        return recent.reduce((sum, arrival) => sum + arrival.workMillicoreS, 0) / (windowMs / 1000);
    };
    const peakNow = (history: PoolHistory): number => history.peak * 0.5 ** ((nowMs() - history.peakAtMs) / peakHalfLifeMs);

    return {
        recordArrival: (poolName, workMillicoreS) => {
            const history = histories.get(poolName) ?? { arrivals: [], peak: 0, peakAtMs: nowMs() };
            histories.set(poolName, history);
            const oldestMs = nowMs() - peakWindowMs;
            history.arrivals = history.arrivals.filter(arrival => arrival.atMs > oldestMs);
            history.arrivals.push({ atMs: nowMs(), workMillicoreS });
            const rate = rateWithin(history, peakWindowMs);
            if (rate >= peakNow(history)) {
                history.peak = rate;
                history.peakAtMs = nowMs();
            }
        },
        read: poolName => {
            const history = histories.get(poolName);
            return history ?
                { arrivingCpuMillicores: rateWithin(history, arrivalWindowMs), peakCpuMillicores: peakNow(history) } :
                { arrivingCpuMillicores: 0, peakCpuMillicores: 0 };
        },
    };
}
