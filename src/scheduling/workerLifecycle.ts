/** Adds, drains and removes workers, and bounds how long their runs may keep their leases. */
import { markRunsKnown } from "./knownRuns.js";
import { allLeasesEndAtMs } from "./leases.js";
import { forgetWorker } from "./plannedStarts.js";
import type { Moment } from "./reconcileListing.js";
import { commandKinds, type SchedulerState, stopRun } from "./schedulerState.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import { crashSuspects, recordCrash } from "./workerCrashes.js";
import { holdFormerOwnersLeases, markLost, markRunsLost } from "./workerEnds.js";
import {
    createWorkerRecord,
    runPhases,
    type WorkerEntry,
    type WorkerIncarnation,
    type WorkerRecord,
} from "./workerRecord.js";

/** A worker that comes to an address later than this says nothing about how the earlier one there ended. */
const maxDepartureAgeMs = 600_000;

/** Adds a worker that may hold runs of an earlier owner until it has responded or their leases have ended. */
export function addWorker(state: SchedulerState, entry: WorkerEntry, moment: Moment, seenAtMs = moment.nowMs): WorkerRecord {
    const worker = createWorkerRecord(entry, state.term.unknownWorkersUntilMs);
    // One that returns may have received all its tokens so far.
    worker.formerTokensCount = state.departedWorkers.get(entry.workerId) ?? 0;
    if (state.departedSnapshots.delete(entry.workerId)) {
        worker.snapshotState = snapshotStates.changing;
    }
    holdFormerOwnersLeases(state, worker, seenAtMs, moment);
    state.workers.set(entry.workerId, worker);
    state.onDecision({ what: "worker joined", workerId: entry.workerId, detail: `${entry.poolName} ${entry.rack} ${entry.address}` });
    explainDeparture(state, entry, moment);
    for (const other of state.workers.values()) {
        if (other !== worker && other.entry.address === entry.address && entry.bornWallMs > other.entry.bornWallMs) {
            other.addressTakenAtMs ??= moment.nowMs;
            // The response shows that the former worker is gone.
            state.commands.push({ kind: commandKinds.list, workerId: other.entry.workerId });
        }
    }
    return worker;
}

/** The worker's entry is gone. */
export function removeEntry(state: SchedulerState, workerId: string): void {
    const worker = state.workers.get(workerId);
    if (worker) {
        worker.isRegistered = false;
        worker.hasLeft ||= worker.unresponsiveSinceMs === undefined;
    }
}

/** Counts the crash of an earlier worker at the address, unless this is that worker, which has gone on. */
function explainDeparture(state: SchedulerState, { workerId, bornWallMs, address }: WorkerEntry, moment: Moment): void {
    for (const [formerAddress, departed] of state.unexplainedDepartures) {
        if (departed.workerId === workerId && departed.bornWallMs >= bornWallMs) {
            state.unexplainedDepartures.delete(formerAddress);
        }
    }
    const suspects = state.unexplainedDepartures.get(address)?.runs ?? [];
    recordCrash(state, suspects, "a later worker registered at its address after its leases had ended", moment);
    state.unexplainedDepartures.delete(address);
}

/**
 * Records that the worker's VM was moved or restarted: its runs are lost, and nothing is asked of it any more. An incarnation that
 * has begun since is left alone.
 */
export function endIncarnation(state: SchedulerState, { workerId, bornWallMs }: WorkerIncarnation, reason: string, moment: Moment): void {
    const worker = state.workers.get(workerId);
    if (worker?.entry.bornWallMs !== bornWallMs) {
        return;
    }
    markRunsLost(state, worker, reason, moment);
    worker.hasEnded = true;
    worker.unexplainedRuns = [];
    worker.unresponsiveSinceMs = undefined;
}

/** Keeps the runs under which a worker that is gone may have crashed, until another worker at its address shows that it has ended. */
function keepUnexplainedRuns(state: SchedulerState, worker: WorkerRecord, nowMs: number): void {
    for (const [address, { runs, departedAtMs }] of state.unexplainedDepartures) {
        if (nowMs - departedAtMs > maxDepartureAgeMs || !runs.some(({ run }) => state.jobs.has(run.jobId))) {
            state.unexplainedDepartures.delete(address);
        }
    }
    if (worker.unexplainedRuns.length > 0) {
        const { workerId, bornWallMs, address } = worker.entry;
        state.unexplainedDepartures.set(address, { workerId, bornWallMs, runs: worker.unexplainedRuns, departedAtMs: nowMs });
    }
}

/** Gives up the runs of workers whose leases have certainly ended, and removes such workers if the store has no entry for them. */
export function expireLeases(state: SchedulerState, moment: Moment): void {
    for (const worker of state.workers.values()) {
        const haveAllEnded = worker.hasEnded || moment.nowMs > allLeasesEndAtMs(worker);
        if (!haveAllEnded && moment.nowMs <= worker.leaseEndsAtMs) {
            continue;
        }
        const lost = [...worker.runs.values()].filter(run => haveAllEnded || run.isStartConfirmed);
        if (lost.length > 0) {
            worker.unexplainedRuns.push(...crashSuspects(worker, lost, moment.nowMs));
            markLost(state, lost, "its lease has ended", moment);
        }
        if (!haveAllEnded && (worker.runs.size > 0 || !worker.isRunStateKnown)) {
            continue;
        }
        markRunsKnown(state, worker, "its leases have ended");
        if (!worker.isRegistered && worker.snapshotState !== snapshotStates.changing) {
            if (worker.snapshotState === snapshotStates.written) {
                state.departedSnapshots.add(worker.entry.workerId);
                state.commands.push({ kind: commandKinds.removeSnapshot, workerId: worker.entry.workerId });
            }
            state.workers.delete(worker.entry.workerId);
            if (worker.addressTakenAtMs === undefined) {
                keepUnexplainedRuns(state, worker, moment.nowMs);
            }
            else {
                recordCrash(state, worker.unexplainedRuns, "another worker registered at its address", moment);
            }
            state.departedWorkers.set(worker.entry.workerId, worker.formerTokensCount + 1);
            forgetWorker(state, worker.entry.workerId);
            state.onDecision({ what: "worker left", workerId: worker.entry.workerId });
        }
    }
}

/** Stops the long-running tasks on draining workers before the workers end them. */
export function stopTasksOnDrainingWorkers(state: SchedulerState): void {
    for (const worker of state.workers.values()) {
        if (worker.entry.isDraining) {
            [...worker.runs.values()].filter(run => run.isServing && run.phase === runPhases.running)
                .forEach(run => stopRun(state, run, "the worker is draining"));
        }
    }
}
