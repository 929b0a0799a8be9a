/** Handles the responses to start and stop commands, and missing responses. */
import { type CommandOutcome, commandOutcomes } from "./commandOutcomes.js";
import { isFinalState } from "./jobRecord.js";
import { jobStates } from "./jobTypes.js";
import { holdLease, holdStrayLeases, startHeldUntilMs } from "./leases.js";
import type { Moment } from "./reconcileListing.js";
import { applyEnd, commandKinds, detachRun, markChanged, runEnds, type SchedulerState, stopRun } from "./schedulerState.js";
import { markUnresponsive } from "./unresponsiveWorkers.js";
import { isOfFormerIncarnation, type Run, runKey, runPhases, type WorkerRecord } from "./workerRecord.js";

/** How long a worker that refused a start gets no new runs; its next listing may show why it refused. */
const refusalBackoffMs = 300;

/** Whether the worker's record still holds this run, so that nothing else has settled it in the meantime. */
function isTracked(worker: WorkerRecord, run: Run): boolean {
    return worker.runs.get(runKey(run.taskName, run.runId)) === run;
}

/** Handles the response to a start. Without a response, a stop is sent, so that the run cannot begin later. */
export function handleStartResponse(state: SchedulerState, run: Run, outcome: CommandOutcome, reason: string, moment: Moment): void {
    const worker = state.workers.get(run.workerId);
    if (!worker || !isTracked(worker, run)) {
        return;
    }
    run.respondedAtMs = moment.nowMs;
    if (outcome === commandOutcomes.accepted) {
        run.isStartAccepted = true;
        if (!isOfFormerIncarnation(worker, run)) {
            worker.lastContactAtMs = moment.nowMs;
            holdLease(worker, startHeldUntilMs(run));
        }
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
        // An incarnation that is not known yet may have carried it out.
        holdStrayLeases(worker, moment.nowMs, state.maxGrantedLeaseMs);
        // The silence of a former incarnation says nothing about this one.
        if (!isOfFormerIncarnation(worker, run)) {
            markUnresponsive(worker, moment.nowMs);
        }
        if (run.phase === runPhases.starting || run.phase === runPhases.running) {
            run.phase = runPhases.unsettled;
            stopRun(state, run, "the start got no response");
        }
        return;
    }
    worker.avoidedUntilMs = Math.max(worker.avoidedUntilMs, moment.nowMs + refusalBackoffMs);
    applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
    detachRun(state, run);
}

/** Handles the response to a stop, which is repeated until the worker accepts it. */
export function handleStopResponse(state: SchedulerState, run: Run, outcome: CommandOutcome, moment: Moment): void {
    const worker = state.workers.get(run.workerId);
    if (!worker || !isTracked(worker, run)) {
        return;
    }
    if (outcome === commandOutcomes.accepted) {
        run.respondedAtMs = moment.nowMs;
        state.commands.push({ kind: commandKinds.list, workerId: run.workerId });
    }
    else {
        // The run may still start or continue: only an accepted stop or the end of the lease settles it.
        state.commands.push({ kind: commandKinds.stop, run, reason: "the stop was not accepted" });
    }
}
