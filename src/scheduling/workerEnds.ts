/** What follows when a worker has ended or restarted, or its leases have ended: its runs are lost. */
import { raiseToken } from "./commandToken.js";
import { formerOwnersUnawareUntilMs, holdStrayLeases } from "./leases.js";
import type { Moment } from "./reconcileListing.js";
import { applyEnd, commandKinds, detachRun, runEnds, type SchedulerState } from "./schedulerState.js";
import { crashSuspects, recordCrash } from "./workerCrashes.js";
import { type Run, runPhases, type WorkerEntry, type WorkerRecord } from "./workerRecord.js";

/** Marks all runs of a worker as lost, because its incarnation or its leases have ended. */
export function markRunsLost(state: SchedulerState, worker: WorkerRecord, reason: string, moment: Moment): void {
    markLost(state, [...worker.runs.values()], reason, moment);
}

/** Marks all runs of a worker as lost, because it has certainly ended, and counts the crash if nobody ordered that. */
export function endWorker(state: SchedulerState, worker: WorkerRecord, reason: string, moment: Moment): void {
    const suspects = [...crashSuspects(worker, worker.runs.values(), moment.nowMs), ...worker.unexplainedRuns];
    worker.unexplainedRuns = [];
    markRunsLost(state, worker, reason, moment);
    recordCrash(state, suspects, reason, moment);
}

/** Marks the runs as lost: they have certainly ended, and no end of theirs will be listed. */
export function markLost(state: SchedulerState, runs: readonly Run[], reason: string, moment: Moment): void {
    for (const run of runs) {
        const { jobId, taskName, runId, workerId, phase } = run;
        const detail = `phase ${phase}, ${run.isStartConfirmed ? "listed" : "not listed yet"}`;
        state.onDecision({ what: "run lost", jobId, taskName, runId, workerId, reason, detail });
        applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
        detachRun(state, run);
    }
    // The start may have reached the next incarnation only, which says nothing about the former one.
    const suspects = runs.flatMap(run => run.suspectOfRestart ? [{ ...run.suspectOfRestart, isProven: false }] : []);
    recordCrash(state, suspects, `the worker had restarted; ${reason}`, moment);
}

/** An earlier owner that goes on for a while may not know of the worker's incarnation yet; `seenAtMs` is when this process learned of it. */
export function holdFormerOwnersLeases(state: SchedulerState, worker: WorkerRecord, seenAtMs: number, moment: Moment): void {
    const { formerOwnersEndAtMs } = state.term;
    if (formerOwnersEndAtMs !== undefined) {
        const unawareUntilMs = formerOwnersUnawareUntilMs(formerOwnersEndAtMs, seenAtMs, worker.entry.bornWallMs, moment);
        holdStrayLeases(worker, unawareUntilMs, state.maxGrantedLeaseMs);
    }
}

/**
 * Resets the record of a worker that has restarted. Until the new incarnation has listed its runs, commands that were meant for the former
 * one may take effect on it, so nothing is known of its runs and leases.
 */
export function beginIncarnation(state: SchedulerState, worker: WorkerRecord, bornWallMs: number, moment: Moment): void {
    const runs = [...worker.runs.values()];
    const suspects = crashSuspects(worker, runs, moment.nowMs);
    const lost = runs.filter(run => run.isStartConfirmed);
    const counted = [...suspects.filter(({ run }) => run.isStartConfirmed || run.suspectOfRestart), ...worker.unexplainedRuns];
    markLost(state, lost, "the worker restarted", moment);
    recordCrash(state, counted, "the worker restarted", moment);
    suspects.forEach(suspect => suspect.run.suspectOfRestart = suspect);
    for (const run of runs.filter(each => !each.isStartConfirmed && each.phase === runPhases.stopping)) {
        // The new incarnation does not know of the stop, and the start may still reach it.
        run.respondedAtMs = undefined;
        state.commands.push({ kind: commandKinds.stop, run, reason: "the worker restarted" });
    }
    const detail = `started at ${bornWallMs}, the former incarnation at ${worker.entry.bornWallMs}; ` +
        `${lost.length} runs lost, ${runs.length - lost.length} may run on it`;
    state.onDecision({ what: "worker restarted", workerId: worker.entry.workerId, detail });
    worker.entry = { ...worker.entry, bornWallMs };
    worker.isEntryCurrent = false;
    raiseToken(state, worker);
    worker.hasListed = false;
    worker.doubtedAtMs = undefined;
    worker.isRunStateKnown = false;
    holdStrayLeases(worker, moment.nowMs, state.maxGrantedLeaseMs);
    holdFormerOwnersLeases(state, worker, moment.nowMs, moment);
    worker.lastResponseAtMs = undefined;
    worker.fencedSinceMs = undefined;
    worker.lastContactAtMs = undefined;
    worker.disconnectedAtMs = undefined;
    worker.addressTakenAtMs = undefined;
    worker.leaseHeldUntilMs = Number.NEGATIVE_INFINITY;
    worker.unexplainedRuns = [];
    worker.hasRespondedToProvenOwner = false;
    worker.hasEnded = false;
    worker.hasLeft = false;
    worker.lastEndNumber = 0;
    worker.unsavedEnds = [];
    worker.acknowledgedEndNumber = 0;
    worker.forgottenEndNumber = 0;
    worker.acknowledgementHeldUpSinceMs = undefined;
    worker.failedJobIds.clear();
}

/** Takes over the entry if it describes a later incarnation of the worker. */
export function adoptIncarnation(state: SchedulerState, worker: WorkerRecord, entry: WorkerEntry, moment: Moment): void {
    if (entry.bornWallMs > worker.entry.bornWallMs) {
        beginIncarnation(state, worker, entry.bornWallMs, moment);
        worker.entry = entry;
        worker.isEntryCurrent = true;
    }
}
