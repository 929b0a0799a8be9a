/** Measures how fast the work that waits for each pool grows. */

export interface WaitingTrend {
    /** Records the CPU that waiting tasks request now, and returns its growth in millicores per second; 0 if it falls. */
    record(poolName: string, nowMs: number, waitingCpuMillicores: number): number;
}

/** Longer than the gaps between large jobs of a surge. */
const windowMs = 1_000;

export function createWaitingTrend(): WaitingTrend {
    const samplesByPool = new Map<string, { atMs: number; waitingCpuMillicores: number }[]>();
    return {
        record: (poolName, nowMs, waitingCpuMillicores) => {
            const samples = samplesByPool.get(poolName) ?? [];
            // The newest sample that is as old as the window is kept, so that the window is covered.
            const firstRecent = samples.findIndex(sample => sample.atMs > nowMs - windowMs);
            samples.splice(0, Math.max(0, (firstRecent < 0 ? samples.length : firstRecent) - 1));
            samples.push({ atMs: nowMs, waitingCpuMillicores });
            samplesByPool.set(poolName, samples);
            const { atMs, waitingCpuMillicores: earlierMillicores } = samples[0]!;
            return Math.max(0, waitingCpuMillicores - earlierMillicores) / (Math.max(windowMs, nowMs - atMs) / 1000);
        },
    };
}
