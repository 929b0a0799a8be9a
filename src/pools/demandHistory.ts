/** Keeps the highest demand of the last second, so that a short gap between jobs releases no VMs. */

export interface DemandHistory {
    /** Records the demand of a pool, and returns its highest of the last second. */
    recentPeak(poolName: string, demandMillicores: number, nowMs: number): number;
}

/** Longer than the gaps between large jobs of a surge. */
const recentWindowMs = 1_000;

export function createDemandHistory(): DemandHistory {
    const samplesByPool = new Map<string, { atMs: number; demandMillicores: number }[]>();
    return {
        recentPeak: (poolName, demandMillicores, nowMs) => {
            const recent = (samplesByPool.get(poolName) ?? []).filter(sample => sample.atMs > nowMs - recentWindowMs);
            recent.push({ atMs: nowMs, demandMillicores });
            samplesByPool.set(poolName, recent);
            return Math.max(...recent.map(sample => sample.demandMillicores));
        },
    };
}
