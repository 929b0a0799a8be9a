/**
 * Learns how long tasks take compared with their estimates. It is designed for estimates that are off by up to 90 %, alike for most tasks of
 * a queue and an image. The memory is bounded: keys that ended last longest ago are forgotten, and of each key only the latest ends count, so
 * that a change shows within these.
 */

export interface DurationLearner {
    /** Records a task that took `actualMs` and was estimated to take `estimatedMs`. */
    record(key: string, estimatedMs: number, actualMs: number): void;
    /** Returns the ratio of actual to estimated durations that the given part of tasks, 0 to 1, stays below; `undefined` if too few are known. */
    ratio(key: string, part: number): number | undefined;
    keysCount(): number;
}

interface LatestRatios {
    ratios: number[];
    /** Where the next ratio is written, once all places are taken. */
    nextIndex: number;
    /** `undefined` if it must be sorted again. */
    sorted: number[] | undefined;
}

/** One for each queue and image of a large deployment. */
export const maxKeys = 128;
/** So many of the latest ends count; a queue in a surge has them within a second. */
export const maxRatiosPerKey = 64;
/** With fewer ends, the estimate is used as it is: the first ones to end are the shortest ones. */
export const minRatiosPerKey = 16;

export function createDurationLearner(): DurationLearner {
    /** The key that was recorded last comes last. */
    const latestByKey = new Map<string, LatestRatios>();
    return {
        record: (key, estimatedMs, actualMs) => {
            if (!(estimatedMs > 0) || !(actualMs >= 0)) {
                return;
            }
            const latest = latestByKey.get(key) ?? { ratios: [], nextIndex: 0, sorted: undefined };
            latest.ratios[latest.nextIndex] = actualMs / estimatedMs;
            latest.nextIndex = (latest.nextIndex + 1) % maxRatiosPerKey;
            latest.sorted = undefined;
            latestByKey.delete(key);
            latestByKey.set(key, latest);
            const [oldest] = latestByKey.keys();
            if (latestByKey.size > maxKeys && oldest !== undefined) {
                latestByKey.delete(oldest);
            }
        },
        ratio: (key, part) => {
            const latest = latestByKey.get(key);
            if (!latest || latest.ratios.length < minRatiosPerKey) {
                return undefined;
            }
            const sorted = latest.sorted ??= [...latest.ratios].sort((a, b) => a - b);
            return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
        },
        keysCount: () => latestByKey.size,
    };
}
