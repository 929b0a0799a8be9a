/** How workers come, fall silent and go, and how long what they run may live. */
import { markRunsLost, type Moment } from "./reconcileListing.js";
import { commandKinds, type SchedulerState, stopRun } from "./schedulerState.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import { createWorkerRecord, runPhases, type WorkerEntry, type WorkerRecord } from "./workerRecord.js";

/** A worker's own clock may run slower than ours by this part, and its leases then end later. */
const slowClockPart = 0.02;
/** Bound of the time between the estimate of a worker's clock and the order that carries it. */
const clockEstimateSlackMs = 200;

/** How long, by this process's clock, a lease of `durationMs` that is granted now may last. */
export function maxLeaseMs(durationMs: number): number {
    return durationMs * (1 + slowClockPart) + clockEstimateSlackMs;
}

/** Adds a worker that may hold runs of an earlier owner until it has answered, or until `unknownLeaseMs` have passed. */
export function addWorker(state: SchedulerState, entry: WorkerEntry, unknownLeaseMs: number, nowMs: number): WorkerRecord {
    const worker = createWorkerRecord(entry, nowMs + unknownLeaseMs);
    // A life that began during this term cannot hold runs of an earlier owner.
    worker.isRunStateKnown = entry.bornWallMs > state.term.startedWallMs + clockEstimateSlackMs;
    state.workers.set(entry.workerId, worker);
    state.onDecision({ what: "worker joined", workerId: entry.workerId, detail: `${entry.poolName} ${entry.rack} ${entry.address}` });
    return worker;
}

/** Gives up the runs of workers whose leases have surely ended, and forgets those that nobody announces any more. */
export function expireLeases(state: SchedulerState, moment: Moment): void {
    for (const worker of [...state.workers.values()]) {
        if (moment.nowMs <= worker.leaseEndsAtMs) {
            continue;
        }
        if (worker.runs.size > 0) {
            markRunsLost(state, worker, "its lease has ended", moment);
        }
        worker.isRunStateKnown = true;
        if (!worker.isRegistered && worker.snapshotState !== snapshotStates.changing) {
            if (worker.snapshotState === snapshotStates.written) {
                state.commands.push({ kind: commandKinds.removeSnapshot, workerId: worker.entry.workerId });
            }
            state.workers.delete(worker.entry.workerId);
            state.onDecision({ what: "worker left", workerId: worker.entry.workerId });
        }
    }
}

/** Long-running tasks leave a draining worker before it ends them. */
export function evacuateDrainingWorkers(state: SchedulerState): void {
    for (const worker of state.workers.values()) {
        if (worker.entry.isDraining) {
            [...worker.runs.values()].filter(run => run.isServing && run.phase === runPhases.running)
                .forEach(run => stopRun(state, run, "the worker is draining"));
        }
    }
}
