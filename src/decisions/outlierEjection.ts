/** Ejects backend servers by the outcomes of their requests, and probes them with growing delay. */

/** What ejection remembers of one server. */
export interface ServerHealth {
    consecutiveFailures: number;
    /** Ejections since the last success. */
    ejectionsCount: number;
    /** Until then the server gets no work; 0 if it is not ejected. */
    ejectedUntilMs: number;
}

/** Failures in a row that eject a server. */
export const ejectionFailures = 5;
/** At most this part of a pool is ejected at a time. */
export const maximumEjectedPart = 0.5;
const firstEjectionMs = 1_000;
const longestEjectionMs = 30_000;

export const healthyServer: ServerHealth = { consecutiveFailures: 0, ejectionsCount: 0, ejectedUntilMs: 0 };

/** Whether one more server of a pool may be ejected. */
export function canEject(poolServersCount: number, ejectedCount: number): boolean {
    return ejectedCount + 1 <= poolServersCount * maximumEjectedPart;
}

/** Health after a failed request. `mayBeEjected` tells whether the pool can spare the server. */
export function recordFailure(health: ServerHealth, nowMs: number, mayBeEjected: boolean): ServerHealth {
    const consecutiveFailures = health.consecutiveFailures + 1;
    const isProbeFailure = health.ejectionsCount > 0;
    if (!mayBeEjected || (consecutiveFailures < ejectionFailures && !isProbeFailure)) {
        return { ...health, consecutiveFailures };
    }
    const delayMs = Math.min(firstEjectionMs * 2 ** health.ejectionsCount, longestEjectionMs);
    return { consecutiveFailures, ejectionsCount: health.ejectionsCount + 1, ejectedUntilMs: nowMs + delayMs };
}

/** Whether the server may get a request now: always when healthy, one at a time when its ejection has run out. */
export function canReceiveRequest(health: ServerHealth, nowMs: number, outstandingCount: number): boolean {
    if (health.ejectionsCount === 0) {
        return true;
    }
    return nowMs >= health.ejectedUntilMs && outstandingCount === 0;
}
