/** Compares what a worker says it runs with what the scheduler believes. */
import { paceFillers } from "../decisions/paceFillers.js";
import { isFinalState } from "./jobRecord.js";
import { noResources } from "./jobTypes.js";
import {
    applyEnd,
    attachRun,
    commandKinds,
    detachRun,
    findStep,
    type RunEnd,
    runEnds,
    runNeeds,
    type SchedulerState,
    stopRun,
} from "./schedulerState.js";
import { createRun, parseTaskName, type Run, runKey, runPhases, type WorkerRecord } from "./workerRecord.js";

/** What is measured covers half a second: a pace shows in the figures after that. */
const paceIntervalMs = 500;

/** A run that a worker lists. */
export interface ListedRun {
    taskName: string;
    runId: number;
    checkpoint: string;
    percent: number;
    /** Tail latency in milliseconds of a serving task, processor use in millicores of any other. */
    measured: number;
}

export interface ListedEnd {
    endNumber: number;
    taskName: string;
    runId: number;
    end: RunEnd;
    checkpoint: string;
}

/** A worker's answer to a listing. */
export interface Listing {
    bornWallMs: number;
    running: readonly ListedRun[];
    ended: readonly ListedEnd[];
}

export interface Moment {
    nowMs: number;
    wallMs: number;
}

/** Ends all runs of a life of a worker that is over. */
export function markRunsLost(state: SchedulerState, worker: WorkerRecord, reason: string, moment: Moment): void {
    loseEach(state, [...worker.runs.values()], reason, moment);
}

function loseEach(state: SchedulerState, runs: readonly Run[], reason: string, moment: Moment): void {
    for (const run of runs) {
        state.onDecision({ what: "run lost", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId, reason });
        applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
        detachRun(state, run);
    }
}

/** Starts the record of a worker anew for another life. */
export function beginIncarnation(state: SchedulerState, worker: WorkerRecord, bornWallMs: number, moment: Moment): void {
    const runs = [...worker.runs.values()];
    loseEach(state, runs.filter(run => run.isStartConfirmed), "the worker started again", moment);
    for (const run of runs.filter(each => !each.isStartConfirmed && each.phase === runPhases.stopping)) {
        // The new life knows nothing of the stop, and the order to start may still reach it.
        run.respondedAtMs = undefined;
        state.commands.push({ kind: commandKinds.stop, run, reason: "the worker started again" });
    }
    worker.entry = { ...worker.entry, bornWallMs };
    worker.lastEndNumber = 0;
    worker.unsavedEnds = [];
    worker.failedJobIds.clear();
}

function takeEnds(state: SchedulerState, worker: WorkerRecord, listing: Listing, moment: Moment): void {
    for (const listed of [...listing.ended].sort((a, b) => a.endNumber - b.endNumber)) {
        if (listed.endNumber <= worker.lastEndNumber) {
            continue;
        }
        worker.lastEndNumber = listed.endNumber;
        const place = parseTaskName(listed.taskName);
        const run = worker.runs.get(runKey(listed.taskName, listed.runId));
        if (place) {
            applyEnd(
                state,
                { ...place, runId: listed.runId, workerId: worker.entry.workerId, end: listed.end, checkpoint: listed.checkpoint },
                moment.nowMs,
                moment.wallMs,
            );
        }
        if (run) {
            detachRun(state, run);
        }
        const job = place && state.jobs.get(place.jobId);
        state.onDecision({
            what: "run ended",
            jobId: place?.jobId,
            taskName: listed.taskName,
            runId: listed.runId,
            workerId: worker.entry.workerId,
            reason: listed.end,
        });
        if (job && job.version > job.persistedVersion) {
            worker.unsavedEnds.push({ endNumber: listed.endNumber, jobId: job.jobId, version: job.version });
        }
    }
}

/** Takes over a run that an earlier owner started, or stops it where nothing asks for it. */
function adoptOrStop(state: SchedulerState, worker: WorkerRecord, listed: ListedRun, moment: Moment): void {
    const place = parseTaskName(listed.taskName);
    const job = place && state.jobs.get(place.jobId);
    const step = place && findStep(state, place);
    if (!place) {
        return;
    }
    // An earlier owner that gave the task a higher run id was sure that the run before had ended.
    const known = step?.runs.get(place.taskIndex) ?? [];
    known.filter(run => run.isPresumed && run.runId < listed.runId).forEach(run => detachRun(state, run));
    const isWanted = job && step && !isFinalState(job.state) && !step.done.has(place.taskIndex) && !step.runs.has(place.taskIndex);
    // Of a run whose job is over the size is not known: nothing fits beside it until it has ended.
    const needs = job && step ?
        runNeeds(job, step) :
        { isServing: false, teamName: undefined, requested: noResources, reserved: worker.entry.capacity };
    const { taskName, runId, percent, measured, checkpoint } = listed;
    const run: Run = {
        ...createRun({ ...place, taskName, runId, workerId: worker.entry.workerId }, needs, moment.nowMs),
        phase: runPhases.running,
        isStartConfirmed: true,
        isAdopted: true,
        respondedAtMs: moment.nowMs,
        percent,
        measured,
        checkpoint,
    };
    attachRun(state, worker, isWanted ? step : undefined, run);
    if (isWanted) {
        job.hasStarted = true;
        state.onDecision({ what: "adopt run", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId });
    }
    else {
        stopRun(state, run, "nothing asks for it");
    }
}

/** Runs that a listing, asked for after they were answered, does not show have never started or are gone. */
function dropAbsent(state: SchedulerState, worker: WorkerRecord, listing: Listing, sentAtMs: number, moment: Moment): void {
    const shown = new Set(listing.running.map(listed => runKey(listed.taskName, listed.runId)));
    for (const run of [...worker.runs.values()]) {
        const isAnswered = run.respondedAtMs !== undefined && run.respondedAtMs < sentAtMs;
        if (isAnswered && run.phase !== runPhases.starting && !shown.has(runKey(run.taskName, run.runId))) {
            if (run.phase === runPhases.running) {
                applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
            }
            state.onDecision({
                what: "run absent",
                jobId: run.jobId,
                taskName: run.taskName,
                runId: run.runId,
                workerId: run.workerId,
                reason: run.phase,
            });
            detachRun(state, run);
        }
    }
}

/** Adapts the pace of the fillers to the serving tasks beside them. */
function adaptPace(state: SchedulerState, worker: WorkerRecord, nowMs: number): void {
    const running = [...worker.runs.values()].filter(run => run.phase === runPhases.running);
    const fillers = running.filter(run => findStep(state, run)?.spec.isFiller);
    if (fillers.length === 0 || nowMs - worker.pacedAtMs < paceIntervalMs) {
        return;
    }
    worker.pacedAtMs = nowMs;
    const serving = running.flatMap(run => {
        const targetMs = findStep(state, run)?.spec.latencyTargetMs;
        return run.isServing && targetMs !== undefined ? [{ tailLatencyMs: run.measured, targetMs }] : [];
    });
    const percent = paceFillers(Math.min(...fillers.map(run => run.pacePercent)), serving);
    for (const run of fillers.filter(each => each.pacePercent !== percent)) {
        run.pacePercent = percent;
        state.commands.push({ kind: commandKinds.pace, run, percent });
        state.onDecision({
            what: "pace",
            jobId: run.jobId,
            taskName: run.taskName,
            runId: run.runId,
            workerId: run.workerId,
            detail: `${percent} %`,
        });
    }
}

/** Applies a listing that was asked for at `sentAtMs`. */
export function reconcileListing(state: SchedulerState, worker: WorkerRecord, listing: Listing, sentAtMs: number, moment: Moment): void {
    if (listing.bornWallMs > worker.entry.bornWallMs) {
        beginIncarnation(state, worker, listing.bornWallMs, moment);
    }
    else if (listing.bornWallMs < worker.entry.bornWallMs) {
        return;
    }
    takeEnds(state, worker, listing, moment);
    for (const listed of listing.running) {
        const run = worker.runs.get(runKey(listed.taskName, listed.runId));
        if (!run) {
            adoptOrStop(state, worker, listed, moment);
            continue;
        }
        run.isStartConfirmed = true;
        run.isPresumed = false;
        run.percent = listed.percent;
        run.measured = listed.measured;
        run.checkpoint = listed.checkpoint;
        if (run.phase === runPhases.starting) {
            run.phase = runPhases.running;
        }
    }
    dropAbsent(state, worker, listing, sentAtMs, moment);
    adaptPace(state, worker, moment.nowMs);
    worker.isRunStateKnown = true;
    worker.unresponsiveSinceMs = undefined;
    worker.lastResponseAtMs = moment.nowMs;
    worker.fencedSinceMs ??= moment.nowMs;
    if (worker.unsavedEnds.length === 0 && listing.ended.length >= 500) {
        state.commands.push({ kind: commandKinds.look, workerId: worker.entry.workerId });
    }
}
