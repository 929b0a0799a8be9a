/**
 * Outlier ejection: takes backend servers with consecutive failures out of routing and probes them with exponential
 * backoff.
 */

/** Ejection state of one server. */
export interface ServerHealth {
    consecutiveFailures: number;
    /** Ejections since the last success. */
    ejectionsCount: number;
    /** Time until which the server gets no requests; 0 if it is not ejected. */
    ejectedUntilMs: number;
}

/** Number of consecutive failures after which a server is ejected. */
export const failuresBeforeEjection = 5;
/** Highest fraction of a pool that may be ejected at the same time. */
export const maximumEjectedFraction = 0.5;
const initialEjectionMs = 1_000;
const maximumEjectionMs = 30_000;

export const healthyServer: ServerHealth = { consecutiveFailures: 0, ejectionsCount: 0, ejectedUntilMs: 0 };

/** Whether one more server of a pool may be ejected. */
export function canEject(poolServersCount: number, ejectedCount: number): boolean {
    return ejectedCount + 1 <= poolServersCount * maximumEjectedFraction;
}

/**
 * Returns the health after the failure of a request that was sent at `sentAtMs`. `canBeEjected` tells whether the pool can do without the
 * server. A request from before the end of the ejection is no probe: a server that has crashed under many may be back by then.
 */
export function recordFailure(health: ServerHealth, sentAtMs: number, nowMs: number, canBeEjected: boolean): ServerHealth {
    if (health.ejectionsCount > 0 && sentAtMs < health.ejectedUntilMs) {
        return health;
    }
    const consecutiveFailures = health.consecutiveFailures + 1;
    const isProbeFailure = health.ejectionsCount > 0;
    if (!canBeEjected || (consecutiveFailures < failuresBeforeEjection && !isProbeFailure)) {
        return { ...health, consecutiveFailures };
    }
    const ejectionMs = Math.min(initialEjectionMs * 2 ** health.ejectionsCount, maximumEjectionMs);
    return { consecutiveFailures, ejectionsCount: health.ejectionsCount + 1, ejectedUntilMs: nowMs + ejectionMs };
}

/** Whether the server may receive a request now: always if it is healthy, one at a time once its ejection has expired. */
export function canReceiveRequest(health: ServerHealth, nowMs: number, outstandingCount: number): boolean {
    if (health.ejectionsCount === 0) {
        return true;
    }
    return nowMs >= health.ejectedUntilMs && outstandingCount === 0;
}
