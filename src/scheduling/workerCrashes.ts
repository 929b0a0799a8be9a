/**
 * Workers that crash under the runs of a task. A task that crashes each worker that starts it would go through the whole pool,
 * so its job is given up after some crashes. Which of the runs on a worker made it crash is unknown: all young ones are suspected.
 */
import { isGivenUp, type Suspicion, suspicionOf, suspicions } from "./crashCounts.js";
import { ageAtLastContactMs, type CrashSuspect, createSuspect, describeSuspect, maxSuspectAgeMs } from "./crashSuspect.js";
import type { TaskProgress } from "./jobDocuments.js";
import { attemptsProgress, countCrashes, crashCountsOf, isFinalState } from "./jobRecord.js";
import { jobStates } from "./jobTypes.js";
import type { Moment } from "./reconcileListing.js";
import { endJob, findStep, markChanged, type SchedulerState } from "./schedulerState.js";
import type { TaskIdentity } from "./taskNames.js";
import { isOfFormerIncarnation, type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/** Whether the worker's end, if it has ended, is a crash. */
function endsUnexpectedly({ entry, isVmStopping, hasEnded }: WorkerRecord): boolean {
    return !entry.isDraining && !isVmStopping && !hasEnded;
}

/** The runs that may have crashed the worker, if it has ended without an order; call it before they are detached. */
export function crashSuspects(worker: WorkerRecord, runs: Iterable<Run>, nowMs: number): CrashSuspect[] {
    // What was started before an incarnation that has not responded is judged by the end of the incarnation before it.
    const isJudged = (run: Run): boolean => worker.lastContactAtMs === undefined && isOfFormerIncarnation(worker, run);
    return endsUnexpectedly(worker) ?
        [...runs].filter(run => run.phase !== runPhases.planned && !isJudged(run) && ageAtLastContactMs(worker, run) < maxSuspectAgeMs)
            .map(run => createSuspect(worker, run, nowMs)) :
        [];
}

/** Adds the run to those under which a worker crashed; returns whether that is news. */
function addCrash(progress: TaskProgress, runId: number, isProven: boolean): boolean {
    const crashed = progress.crashedRunIds ??= [];
    const proven = progress.provenCrashRunIds ??= [];
    // The members of a gang share their run id, and the worker of one of them may show more than that of another.
    const changed = [crashed, ...(isProven ? [proven] : [])].filter(runIds => !runIds.includes(runId));
    changed.forEach(runIds => runIds.push(runId));
    return changed.length > 0;
}

function describeRuns({ crashedRunIds = [], provenCrashRunIds = [] }: TaskProgress): string {
    const unproven = crashedRunIds.filter(runId => !provenCrashRunIds.includes(runId));
    return `runs ${crashedRunIds.join(", ")}${unproven.length > 0 ? `; not proven for ${unproven.join(", ")}` : ""}`;
}

/** Takes back what was counted for a run whose worker has listed its end since: it ended before the worker did. */
export function withdrawCrash(state: SchedulerState, place: TaskIdentity, runId: number): void {
    const job = state.jobs.get(place.jobId);
    const step = findStep(state, place);
    // The members of a gang share their run id, and the crash under one of them ends the others.
    const progress = step?.spec.isGang ? undefined : step?.tasks.get(place.taskIndex);
    if (job && progress?.crashedRunIds?.includes(runId)) {
        progress.crashedRunIds = progress.crashedRunIds.filter(each => each !== runId);
        progress.provenCrashRunIds = progress.provenCrashRunIds?.filter(each => each !== runId);
        markChanged(state, job);
    }
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
        if (!addCrash(progress, runId, suspect.isProven)) {
            continue;
        }
        markChanged(state, job);
        const what = suspect.isProven ? "worker crashed under run" : "worker may have crashed under run";
        const detail = `${describeSuspect(suspect, moment.nowMs)}; ${describeRuns(progress)}`;
        state.onDecision({ what, jobId, taskName, runId, workerId, reason, detail });
        const counts = crashCountsOf(progress);
        if (isGivenUp(counts)) {
            const { provenCount, possibleCount } = counts;
            const crashes = `${provenCount} workers crashed under it${possibleCount > 0 ? `, and ${possibleCount} may have` : ""}`;
            state.onDecision({ what: "give up task", jobId, taskName, reason: crashes, detail: describeRuns(progress) });
            endJob(state, job, jobStates.failed, moment.wallMs);
        }
    }
}

/**
 * Forgets the losses without proof of tasks that the worker, which has just listed its runs, has survived: such a task does not crash
 * each worker that starts it. They would add up over the life of a long-running job otherwise.
 */
export function clearUnprovenCrashes(state: SchedulerState, worker: WorkerRecord, nowMs: number): void {
    for (const run of [...worker.suspectRuns].filter(each => each.isStartConfirmed && nowMs - each.startedAtMs >= maxSuspectAgeMs)) {
        const job = state.jobs.get(run.jobId);
        const step = findStep(state, run);
        if (job && step && !step.done.has(run.taskIndex) && countCrashes(step, run.taskIndex).possibleCount > 0) {
            const progress = attemptsProgress(step, run.taskIndex);
            progress.crashedRunIds = [...progress.provenCrashRunIds ?? []];
            run.suspicion = suspicionOf(crashCountsOf(progress));
            markChanged(state, job);
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

/**
 * Whether a task may start beside these suspects. A task that the next crash would give up runs apart from the others, so that a
 * crash shows whether it is the cause; the members of a gang are not apart from each other.
 */
export function mayStartBeside(suspects: readonly Run[], suspicion: Suspicion, gangRunId: number | undefined): boolean {
    const { nextCrashMayBeLast } = suspicions;
    return suspects.every(run => run.runId === gangRunId || (run.suspicion !== nextCrashMayBeLast && suspicion !== nextCrashMayBeLast));
}
