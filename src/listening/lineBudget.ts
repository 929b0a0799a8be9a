/** Bounds the log lines that clients without authorization can cause. */

export interface LineBudget {
    /** Returns how many lines were left out since the last one, or `undefined` if this one is left out too. */
    take(): number | undefined;
}

export function createLineBudget(linesPerS: number, nowMs: () => number): LineBudget {
    let periodStartMs = -Infinity;
    let writtenCount = 0;
    let omittedCount = 0;
    return {
        take: () => {
            if (nowMs() - periodStartMs >= 1_000) {
                periodStartMs = nowMs();
                writtenCount = 0;
            }
            if (writtenCount >= linesPerS) {
                omittedCount += 1;
                return undefined;
            }
            writtenCount += 1;
            const omitted = omittedCount;
            omittedCount = 0;
            return omitted;
        },
    };
}
