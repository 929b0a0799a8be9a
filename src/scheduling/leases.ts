/** Bounds on how long leases last, on this process's clock. */

/** Fraction by which a worker's clock may run slower than this process's clock; its leases then end later. */
const maxClockDriftRatio = 0.02;
/** Upper bound on the time between estimating a worker's clock and sending the command that uses the estimate. */
const clockEstimateSlackMs = 200;
/** An owner that is in touch with a worker learns within this time that the worker has restarted. */
const restartNoticeMs = 2_500;
/** Upper bound on how far the wall clocks of two machines differ. */
const maxWallClockDifferenceMs = 5_000;
/** Upper bound of the clock difference and delivery delay by which a lease of an earlier owner may outlast its nominal duration. */
const formerLeaseSlackMs = 400;
/**
 * The tasks of a lost worker wait until their leases have ended, so leases are not extended for as long as some workers would grant.
 * They still outlast an outage of the store of usual length.
 */
const maxRequestedLeaseMs = 6_000;

/**
 * A start expires after this time on the worker's clock. It is longer than any response takes, and short enough that a lost
 * start does not hold up its task for long.
 */
export const startValidityMs = 2_500;

/** The lease to request from workers that grant at most `maxGrantedMs`. */
export function requestedLeaseMs(maxGrantedMs: number): number {
    return Math.min(maxGrantedMs, maxRequestedLeaseMs);
}

/** When the leases of `leaseMs` that earlier owners have granted end, if these owners send no commands after `ownersEndAtMs`. */
export function formerLeasesEndMs(ownersEndAtMs: number, leaseMs: number): number {
    return ownersEndAtMs + leaseMs + formerLeaseSlackMs;
}

/**
 * Commands that were sent until `sentUntilMs` may have reached an incarnation of the worker for which they were not meant. Their time limits
 * are read by a clock that is not known, so their leases may last as long as the worker grants at most.
 */
export function holdStrayLeases(worker: { strayLeasesEndAtMs: number }, sentUntilMs: number, maxGrantedMs: number): void {
    worker.strayLeasesEndAtMs = Math.max(worker.strayLeasesEndAtMs, sentUntilMs + maxLeaseMs(maxGrantedMs));
}

/**
 * Until when earlier owners, which send no commands after `ownersEndAtMs`, may have taken an incarnation for the one before. Both
 * `seenAtMs`, when this process learned of the incarnation, and its own start on the wall clock bound how long ago it began.
 */
export function formerOwnersUnawareUntilMs(
    ownersEndAtMs: number,
    seenAtMs: number,
    bornWallMs: number,
    { nowMs, wallMs }: { nowMs: number; wallMs: number },
): number {
    const latestBeginMs = Math.min(seenAtMs, nowMs - (wallMs - bornWallMs) + maxWallClockDifferenceMs);
    return Math.min(ownersEndAtMs, latestBeginMs + restartNoticeMs);
}

/** How long a lease of `durationMs` that is granted now may last at most. */
export function maxLeaseMs(durationMs: number): number {
    return durationMs * (1 + maxClockDriftRatio) + clockEstimateSlackMs;
}

/** The longest duration on a worker's clock that certainly ends within `limitMs`; 0 if there is none. */
export function longestDurationWithin(limitMs: number): number {
    return Math.max(0, (limitMs - clockEstimateSlackMs) / (1 + maxClockDriftRatio));
}

/** How long a lease of `durationMs` that is granted now lasts at least. */
export function minLeaseMs(durationMs: number): number {
    return durationMs - clockEstimateSlackMs;
}

/** Until when a run certainly holds the lease of its own start, once a worker has accepted that. */
export function startHeldUntilMs(run: { startedAtMs: number; startValidityMs: number }): number {
    return run.startedAtMs + minLeaseMs(run.startValidityMs);
}

/** The worker has confirmed that its runs hold their leases until then. */
export function holdLease(worker: { leaseHeldUntilMs: number }, untilMs: number): void {
    worker.leaseHeldUntilMs = Math.max(worker.leaseHeldUntilMs, untilMs);
}

/** When no run on the worker can have a lease any more, whether or not a listing has shown it. */
export function allLeasesEndAtMs({ leaseEndsAtMs, strayLeasesEndAtMs }: { leaseEndsAtMs: number; strayLeasesEndAtMs: number }): number {
    return Math.max(leaseEndsAtMs, strayLeasesEndAtMs);
}
