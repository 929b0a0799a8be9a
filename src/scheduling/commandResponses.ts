/** What an answer to an order, or its absence, means for the run. */
import { type CommandOutcome, commandOutcomes } from "./commandOutcomes.js";
import { isFinalState } from "./jobRecord.js";
import { jobStates } from "./jobTypes.js";
import type { Moment } from "./reconcileListing.js";
import { applyEnd, commandKinds, detachRun, markChanged, runEnds, type SchedulerState, stopRun } from "./schedulerState.js";
import { type Run, runKey, runPhases, type WorkerRecord } from "./workerRecord.js";

/** A worker that has refused to start a run is passed over for so long: its next listing may tell more. */
const refusedPauseMs = 300;

/** Whether the run has not been settled otherwise meanwhile. */
function isKnown(worker: WorkerRecord, run: Run): boolean {
    return worker.runs.get(runKey(run.taskName, run.runId)) === run;
}

/** Takes the answer to an order to start; one without an answer is stopped, so that the run cannot begin later. */
export function handleStartResponse(state: SchedulerState, run: Run, outcome: CommandOutcome, reason: string, moment: Moment): void {
    const worker = state.workers.get(run.workerId);
    if (!worker || !isKnown(worker, run)) {
        return;
    }
    run.respondedAtMs = moment.nowMs;
    if (outcome === commandOutcomes.accepted) {
        run.isStartConfirmed = true;
        if (run.phase === runPhases.starting) {
            run.phase = runPhases.running;
        }
        const job = state.jobs.get(run.jobId);
        if (job && !job.hasStarted && !isFinalState(job.state)) {
            job.hasStarted = true;
            job.state = jobStates.running;
            markChanged(state, job);
        }
        return;
    }
    state.onDecision({
        what: `start ${outcome}`,
        jobId: run.jobId,
        taskName: run.taskName,
        runId: run.runId,
        workerId: run.workerId,
        reason,
    });
    if (outcome === commandOutcomes.unknown) {
        worker.unresponsiveSinceMs ??= moment.nowMs;
        if (run.phase === runPhases.starting || run.phase === runPhases.running) {
            run.phase = runPhases.unsettled;
            stopRun(state, run, "its start was not answered");
        }
        return;
    }
    worker.avoidedUntilMs = Math.max(worker.avoidedUntilMs, moment.nowMs + refusedPauseMs);
    applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
    detachRun(state, run);
}

/** Takes the answer to an order to stop, which is repeated until it was carried out. */
export function handleStopResponse(state: SchedulerState, run: Run, outcome: CommandOutcome, moment: Moment): void {
    const worker = state.workers.get(run.workerId);
    if (!worker || !isKnown(worker, run)) {
        return;
    }
    if (outcome === commandOutcomes.accepted) {
        run.respondedAtMs = moment.nowMs;
        state.commands.push({ kind: commandKinds.look, workerId: run.workerId });
    }
    else {
        // The run may still start, or go on: only an answered stop, or the end of the lease, settles it.
        state.commands.push({ kind: commandKinds.stop, run, reason: "the order to stop was not carried out" });
    }
}
