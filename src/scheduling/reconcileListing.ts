/** Reconciles a worker's listing of its runs with the scheduler's state. */
import { adjustPace } from "./adjustPace.js";
import { suspicions } from "./crashCounts.js";
import { isFinalState, type JobRecord, type StepRecord } from "./jobRecord.js";
import { jobStates, noResources } from "./jobTypes.js";
import { markRunsKnown } from "./knownRuns.js";
import { runNeeds } from "./runNeeds.js";
import {
    applyEnd,
    attachRun,
    commandKinds,
    detachRun,
    findStep,
    markChanged,
    type RunEnd,
    runEnds,
    type SchedulerState,
    stopRun,
} from "./schedulerState.js";
import { learnDuration } from "./taskDurations.js";
import { parseTaskName } from "./taskNames.js";
import { clearUnprovenCrashes, recordCrash, withdrawCrash } from "./workerCrashes.js";
import { beginIncarnation } from "./workerEnds.js";
import { createRun, isOfFormerIncarnation, type Run, runKey, type RunNeeds, runPhases, type WorkerRecord } from "./workerRecord.js";

/** A run in a worker's listing. */
export interface ListedRun {
    taskName: string;
    runId: number;
    checkpoint: string;
    percent: number;
    /** Tail latency in milliseconds for a serving task, CPU usage in millicores for any other. */
    measured: number;
}

export interface ListedEnd {
    endNumber: number;
    taskName: string;
    runId: number;
    end: RunEnd;
    checkpoint: string;
}

/** A worker's response to a listing request. */
export interface Listing {
    bornWallMs: number;
    running: readonly ListedRun[];
    ended: readonly ListedEnd[];
    /** Whether the worker has more ends than the listing contains. */
    hasMoreEnds?: boolean;
}

/** A point in time, on the monotonic and on the wall clock. */
export interface Moment {
    nowMs: number;
    wallMs: number;
}

/** Whether the end completes the task or counts as one of its attempts. */
function isDecisive({ end }: ListedEnd, step: StepRecord | undefined): boolean {
    return (end === runEnds.done || end === runEnds.failed) && step?.spec.isLongRunning !== true;
}

function addUnsavedEnd(state: SchedulerState, worker: WorkerRecord, listed: ListedEnd, job: JobRecord, isDecisiveEnd: boolean): void {
    const { endNumber, taskName, runId } = listed;
    const decisiveRun = isDecisiveEnd ? { taskName, runId } : undefined;
    worker.unsavedEnds.push({ endNumber, jobId: job.jobId, decisiveRun, version: job.version });
    const workers = state.workersWithUnsavedEnds.get(job.jobId);
    if (workers) {
        workers.add(worker);
    }
    else {
        state.workersWithUnsavedEnds.set(job.jobId, new Set([worker]));
    }
}

/** Removes the unsaved ends of the job that its stored progress includes. */
export function forgetSavedEnds(state: SchedulerState, jobId: string, savedVersion: number): void {
    const workers = state.workersWithUnsavedEnds.get(jobId);
    if (!workers) {
        return;
    }
    for (const worker of workers) {
        worker.unsavedEnds = worker.unsavedEnds.filter(end => end.jobId !== jobId || end.version > savedVersion);
        if (!worker.unsavedEnds.some(end => end.jobId === jobId)) {
            workers.delete(worker);
        }
    }
    if (workers.size === 0) {
        state.workersWithUnsavedEnds.delete(jobId);
    }
}

function applyListedEnds(state: SchedulerState, worker: WorkerRecord, listing: Listing, moment: Moment): void {
    // A worker repeats its ends until they are acknowledged.
    const newEnds = listing.ended.filter(listed => listed.endNumber > worker.lastEndNumber);
    for (const listed of newEnds.sort((a, b) => a.endNumber - b.endNumber)) {
        if (listed.endNumber <= worker.lastEndNumber) {
            continue;
        }
        // Ends that an earlier owner acknowledged are missing to this one.
        const isFirstOfTerm = !worker.hasListed && worker.formerTokensCount === 0;
        if (listed.endNumber > worker.lastEndNumber + 1 && !isFirstOfTerm) {
            // The worker forgets ends when they are acknowledged; these were acknowledged although no listing has shown them.
            const detail = `${worker.lastEndNumber + 1} to ${listed.endNumber - 1}, incarnation of ${worker.entry.bornWallMs}`;
            state.onDecision({ what: "ends missing", workerId: worker.entry.workerId, detail });
        }
        worker.lastEndNumber = listed.endNumber;
        const task = parseTaskName(listed.taskName);
        const run = worker.runs.get(runKey(listed.taskName, listed.runId));
        const isDecisiveEnd = isDecisive(listed, task && findStep(state, task));
        if (run) {
            learnDuration(state, run, listed.end, moment.nowMs);
        }
        if (task) {
            withdrawCrash(state, task, listed.runId);
            applyEnd(
                state,
                { ...task, runId: listed.runId, workerId: worker.entry.workerId, end: listed.end, checkpoint: listed.checkpoint },
                moment.nowMs,
                moment.wallMs,
            );
        }
        if (run) {
            detachRun(state, run);
        }
        const job = task && state.jobs.get(task.jobId);
        state.onDecision({
            what: "run ended",
            jobId: task?.jobId,
            taskName: listed.taskName,
            runId: listed.runId,
            workerId: worker.entry.workerId,
            reason: listed.end,
        });
        if (job && job.version > job.persistedVersion) {
            addUnsavedEnd(state, worker, listed, job, isDecisiveEnd);
        }
    }
}

/** Needs of a run whose job is over. Nothing tells its size, so the worker has no room until it has ended. */
const unknownNeeds: RunNeeds = {
    isServing: false,
    isFiller: false,
    teamName: undefined,
    requested: noResources,
    reserved: noResources,
    isSizeUnknown: true,
    suspicion: suspicions.none,
};

/** Adopts a run that an earlier owner started, or stops it if no job needs it. */
function adoptOrStop(state: SchedulerState, worker: WorkerRecord, listed: ListedRun, moment: Moment): void {
    const task = parseTaskName(listed.taskName);
    const job = task && state.jobs.get(task.jobId);
    const step = task && findStep(state, task);
    if (!task) {
        return;
    }
    // An earlier owner gave the task a higher run id only once it was sure that the previous run had ended.
    const knownRuns = step?.runs.get(task.taskIndex) ?? [];
    knownRuns.filter(run => run.isPresumed && run.runId < listed.runId).forEach(run => detachRun(state, run));
    knownRuns.filter(run => run.phase === runPhases.planned).forEach(run => detachRun(state, run));
    const isWanted = job && step && !isFinalState(job.state) && !step.done.has(task.taskIndex) && !step.runs.has(task.taskIndex);
    const needs = job && step ? runNeeds(job, step, task.taskIndex) : unknownNeeds;
    const { taskName, runId, percent, measured, checkpoint } = listed;
    const run: Run = {
        ...createRun({ ...task, taskName, runId, workerId: worker.entry.workerId }, needs, moment.nowMs),
        // Its age is unknown, so it is not suspected if its worker ends.
        startedAtMs: Number.NEGATIVE_INFINITY,
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
        if (!job.hasStarted) {
            // The earlier owner may have ended before it stored the first start.
            job.hasStarted = true;
            job.state = jobStates.running;
            markChanged(state, job);
        }
        step.adopted.add(task.taskIndex);
        state.onDecision({ what: "adopt run", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId });
    }
    else {
        stopRun(state, run, "no job needs it");
    }
}

/**
 * Removes runs that are missing from a listing requested after their command was answered: they never started or are gone. The first
 * listing of an incarnation settles all of them, since the worker refuses commands to the former one from then on.
 */
function removeAbsentRuns(
    state: SchedulerState,
    worker: WorkerRecord,
    listedKeys: ReadonlySet<string>,
    sentAtMs: number,
    moment: Moment,
): void {
    for (const [key, run] of worker.runs) {
        const hasResponded = run.respondedAtMs !== undefined && run.respondedAtMs < sentAtMs && run.phase !== runPhases.starting;
        const isRefused = isOfFormerIncarnation(worker, run) && !worker.hasListed;
        if ((hasResponded || isRefused) && !listedKeys.has(key)) {
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
            if (run.suspectOfRestart) {
                recordCrash(state, [run.suspectOfRestart], "the worker had restarted and does not list the run", moment);
            }
        }
    }
}

/** Applies a listing that was requested at `sentAtMs`. */
export function reconcileListing(state: SchedulerState, worker: WorkerRecord, listing: Listing, sentAtMs: number, moment: Moment): void {
    if (listing.bornWallMs > worker.entry.bornWallMs) {
        // It was requested with the fencing token of the former incarnation, whose commands may still take effect.
        beginIncarnation(state, worker, listing.bornWallMs, moment);
        return;
    }
    if (listing.bornWallMs < worker.entry.bornWallMs) {
        return;
    }
    applyListedEnds(state, worker, listing, moment);
    worker.forgottenEndNumber = Math.min(worker.lastEndNumber, ...listing.ended.map(({ endNumber }) => endNumber - 1));
    const listedKeys = new Set<string>();
    for (const listed of listing.running) {
        const key = runKey(listed.taskName, listed.runId);
        listedKeys.add(key);
        const run = worker.runs.get(key);
        if (!run) {
            adoptOrStop(state, worker, listed, moment);
            continue;
        }
        if (!run.isStartConfirmed && run.phase !== runPhases.starting && !run.isStartAccepted) {
            const { jobId, taskName, runId, workerId } = run;
            state.onDecision({ what: "start carried out late", jobId, taskName, runId, workerId, detail: `phase ${run.phase}` });
        }
        run.isStartConfirmed = true;
        run.suspectOfRestart = undefined;
        if (run.isPresumed) {
            run.startedAtMs = Number.NEGATIVE_INFINITY;
        }
        run.isPresumed = false;
        run.percent = listed.percent;
        run.measured = listed.measured;
        run.checkpoint = listed.checkpoint;
        if (run.phase === runPhases.starting) {
            run.phase = runPhases.running;
        }
    }
    // The end of an absent run may be among those that are not listed yet.
    if (!listing.hasMoreEnds) {
        removeAbsentRuns(state, worker, listedKeys, sentAtMs, moment);
        markRunsKnown(state, worker, "listing");
        worker.hasListed = true;
    }
    if (worker.doubtedAtMs !== undefined && sentAtMs >= worker.doubtedAtMs) {
        worker.doubtedAtMs = undefined;
    }
    adjustPace(state, worker, moment.nowMs);
    if (worker.unresponsiveSinceMs !== undefined) {
        const detail = `after ${
            Math.round(moment.nowMs - worker.unresponsiveSinceMs)
        } ms, ${worker.unexplainedRuns.length} runs had lost their leases`;
        state.onDecision({ what: "worker responds again", workerId: worker.entry.workerId, detail });
    }
    worker.unresponsiveSinceMs = undefined;
    worker.disconnectedAtMs = undefined;
    worker.addressTakenAtMs = undefined;
    worker.lastResponseAtMs = moment.nowMs;
    worker.lastContactAtMs = moment.nowMs;
    worker.unexplainedRuns = [];
    clearUnprovenCrashes(state, worker, moment.nowMs);
    worker.fencedSinceMs ??= moment.nowMs;
    worker.hasRespondedToProvenOwner ||= state.isOwnershipProven;
    if (worker.unsavedEnds.length === 0 && listing.hasMoreEnds) {
        state.commands.push({ kind: commandKinds.list, workerId: worker.entry.workerId });
    }
}
