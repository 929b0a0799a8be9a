/** What a response from a worker's address shows of its present incarnation, of the leases of its runs, and of the runs themselves. */
import { holdLease, holdStrayLeases, maxLeaseMs, minLeaseMs } from "./leases.js";
import { type Listing, type Moment, reconcileListing } from "./reconcileListing.js";
import { commandKinds, type SchedulerState } from "./schedulerState.js";
import type { WorkerRecord } from "./workerRecord.js";

/** Applies a listing that was requested at `sentAtMs`, by a request that asked for a lease of `extendedByMs`, if any. */
export function applyListing(
    state: SchedulerState,
    worker: WorkerRecord,
    listing: Listing,
    sentAtMs: number,
    moment: Moment,
    extendedByMs: number | undefined,
): void {
    const wasRunStateKnown = worker.isRunStateKnown;
    const { bornWallMs } = worker.entry;
    reconcileListing(state, worker, listing, sentAtMs, moment);
    if (extendedByMs !== undefined && listing.bornWallMs === bornWallMs) {
        holdLease(worker, sentAtMs + minLeaseMs(extendedByMs));
    }
    if (worker.runs.size > 0 && worker.leaseEndsAtMs < moment.nowMs && worker.lastResponseAtMs === moment.nowMs) {
        // What the worker lists has a lease, whatever was concluded before.
        worker.leaseEndsAtMs = moment.nowMs + maxLeaseMs(state.maxGrantedLeaseMs);
    }
    if (!wasRunStateKnown && worker.isRunStateKnown) {
        // From now on, only commands that are meant for this incarnation, and of this term, extend the leases.
        worker.leaseEndsAtMs = Math.max(
            moment.nowMs + maxLeaseMs(state.requestedLeaseMs),
            Math.min(worker.strayLeasesEndAtMs, moment.nowMs + maxLeaseMs(state.maxGrantedLeaseMs)),
        );
    }
}

/** A response shows the clock of another incarnation: the worker gets no new runs until it has listed those that it has. */
export function doubtIncarnation(state: SchedulerState, workerId: string, nowMs: number): void {
    const worker = state.workers.get(workerId);
    if (worker) {
        worker.doubtedAtMs = nowMs;
        holdStrayLeases(worker, nowMs, state.maxGrantedLeaseMs);
        state.commands.push({ kind: commandKinds.list, workerId });
    }
}
