/** Leases that a worker grants in the model, by a deadline on the clock of one of its incarnations. */
import type { ModelWorker } from "./modelWorker.js";

/** The longest lease that a worker grants, whatever is asked for. */
export const maxGrantedLeaseMs = 4_000;

/**
 * Until when the worker grants a lease. Each incarnation's clock is far behind the former one's, so that it shortens a deadline by the
 * former one's clock to the longest lease.
 */
export function grantedUntilMs(
    worker: ModelWorker,
    { untilMs, bornWallMs }: { untilMs: number; bornWallMs: number },
    nowMs: number,
): number {
    const longestMs = nowMs + maxGrantedLeaseMs;
    return bornWallMs < worker.bornWallMs ? longestMs : Math.min(untilMs, longestMs);
}
