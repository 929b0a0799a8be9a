/**
 * Workers that crash under the runs of a task. A task that crashes each worker that starts it would go through the whole pool,
 * so its job is given up after some crashes. Which of the runs on a worker made it crash is unknown: all young ones are suspected.
 */
import { ageAtLastContactMs, type CrashSuspect, createSuspect, describeSuspect } from "./crashSuspect.js";
import { attemptsProgress, isFinalState } from "./jobRecord.js";
import { jobStates } from "./jobTypes.js";
import type { Moment } from "./reconcileListing.js";
import { endJob, findStep, markChanged, type SchedulerState } from "./schedulerState.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/** A run that its worker was seen to survive for this long is not suspected of the worker's crash. */
const maxSuspectAgeMs = 2_000;
/** A task is given up when this many workers have crashed under it. */
const maxWorkerCrashes = 3;

/** Whether the worker's end, if it has ended, is a crash. */
function endsUnexpectedly({ entry, isVmStopping, hasEnded }: WorkerRecord): boolean {
    return !entry.isDraining && !isVmStopping && !hasEnded;
}

/** The runs that may have crashed the worker, if it has ended without an order; call it before they are detached. */
export function crashSuspects(worker: WorkerRecord, runs: Iterable<Run>): CrashSuspect[] {
    return endsUnexpectedly(worker) ?
        [...runs].filter(run => run.phase !== runPhases.planned && ageAtLastContactMs(worker, run) < maxSuspectAgeMs)
            .map(run => createSuspect(worker, run)) :
        [];
}

/** Counts the crash of a worker for the tasks of these runs, and gives up those under which too many workers have crashed. */
export function recordCrash(state: SchedulerState, suspects: readonly CrashSuspect[], reason: string, moment: Moment): void {
    for (const suspect of suspects) {
        const { jobId, taskName, taskIndex, runId, workerId, ...place } = suspect.run;
        const job = state.jobs.get(jobId);
        const step = findStep(state, { jobId, ...place });
        if (!job || !step || isFinalState(job.state) || step.done.has(taskIndex)) {
            continue;
        }
        const progress = attemptsProgress(step, taskIndex);
        const crashedRunIds = progress.crashedRunIds ??= [];
        if (crashedRunIds.includes(runId)) {
            continue;
        }
        crashedRunIds.push(runId);
        markChanged(state, job);
        const runs = `runs ${crashedRunIds.join(", ")}`;
        const crashesCount = crashedRunIds.length;
        const detail = `${describeSuspect(suspect, moment.nowMs)}; ${runs}`;
        state.onDecision({ what: "worker crashed under run", jobId, taskName, runId, workerId, reason, detail });
        if (crashesCount >= maxWorkerCrashes) {
            state.onDecision({ what: "give up task", jobId, taskName, reason: `${crashesCount} workers crashed under it`, detail: runs });
            endJob(state, job, jobStates.failed, moment.wallMs);
        }
    }
}

function isSuspect(worker: WorkerRecord, run: Run): boolean {
    return run.phase === runPhases.planned || ageAtLastContactMs(worker, run) < maxSuspectAgeMs;
}

/** The runs that would be suspected again if the worker crashed now. */
export function currentSuspects(worker: WorkerRecord): Run[] {
    return worker.suspectRuns.size === 0 ? [] : [...worker.suspectRuns].filter(run => isSuspect(worker, run));
}

/** Whether the next crash gives up a task under which this many workers have crashed. */
export function isNextCrashLast(crashesCount: number): boolean {
    return crashesCount >= maxWorkerCrashes - 1;
}

/**
 * Whether a task may start beside these suspects. A task that the next crash would give up runs apart from the others, so that a
 * crash shows whether it is the cause; the members of a gang are not apart from each other.
 */
export function mayStartBeside(suspects: readonly Run[], crashesCount: number, gangRunId: number | undefined): boolean {
    return suspects.every(run => run.runId === gangRunId || !isNextCrashLast(Math.max(run.crashesCount, crashesCount)));
}
