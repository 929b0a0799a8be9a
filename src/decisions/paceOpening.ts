/**
 * Spreads the first listings of a new owner's workers over a short time. It is designed for a takeover of hundreds of workers in a surge: opened in one
 * pass, their connections and responses take the owner's processor for longer than callers of short tasks can wait.
 */
export interface OpeningSchedule {
    /** Returns how many of the workers without a session are due now; must be called in each pass. */
    dueCount(missingCount: number, nowMs: number): number;
}

/**
 * The last session is opened this long after the first. Leases of a former owner that was silent for two seconds before the takeover have less than
 * three left, and a worker whose first two listings get no response needs more than two of them.
 */
const openingMs = 300;

export function createOpeningSchedule(): OpeningSchedule {
    let startedAtMs: number | undefined;
    let lastAtMs = 0;
    return {
        dueCount: (missingCount, nowMs) => {
            if (missingCount === 0) {
                startedAtMs = undefined;
                return 0;
            }
            if (startedAtMs === undefined) {
                startedAtMs = nowMs;
                lastAtMs = nowMs;
            }
            const leftMs = startedAtMs + openingMs - lastAtMs;
            const part = leftMs > 0 ? Math.min(1, (nowMs - lastAtMs) / leftMs) : 1;
            lastAtMs = nowMs;
            return Math.ceil(missingCount * part);
        },
    };
}
