/**
 * Starts of tasks that the next crash may give up. The store holds such a start before it is sent: if the owner ends when the worker
 * crashes, the next owner has seen neither the run nor the crash, and could not count it otherwise. The start may never have been sent, so
 * that it proves no crash.
 */
import { suspicions } from "./crashCounts.js";
import { createSuspect } from "./crashSuspect.js";
import { isFinalState, type JobRecord, type StepRecord, stepsOf, taskProgress } from "./jobRecord.js";
import type { Moment } from "./reconcileListing.js";
import { runNeeds } from "./runNeeds.js";
import { attachRun, markChanged, type SchedulerState } from "./schedulerState.js";
import { formatTaskName } from "./taskNames.js";
import { recordCrash } from "./workerCrashes.js";
import { createRun, type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/**
 * Adds a planned start to the job's progress, if the next crash may give up its task; again if the worker has restarted since, or the next
 * owner would take the incarnation that gets the start for one that crashed under it.
 */
export function recordSuspectStart(state: SchedulerState, job: JobRecord, step: StepRecord, run: Run): void {
    const worker = state.workers.get(run.workerId);
    if (!worker || run.suspicion !== suspicions.nextCrashMayBeLast) {
        return;
    }
    const progress = taskProgress(step, run.taskIndex);
    const { workerId, bornWallMs } = worker.entry;
    const recorded = progress.suspectStart;
    if (recorded?.runId !== run.runId || recorded.workerId !== workerId || recorded.bornWallMs !== bornWallMs) {
        progress.suspectStart = { runId: run.runId, workerId, bornWallMs };
        markChanged(state, job);
        run.requiredVersion = job.version;
    }
}

function restoreStart(state: SchedulerState, job: JobRecord, step: StepRecord, taskIndex: number, moment: Moment): void {
    const start = step.tasks.get(taskIndex)?.suspectStart;
    const worker = start && state.workers.get(start.workerId);
    if (!worker || step.done.has(taskIndex) || step.runs.has(taskIndex)) {
        return;
    }
    const run = createPresumedRun(job, step, taskIndex, start.runId, worker, moment.nowMs);
    if (worker.entry.bornWallMs > start.bornWallMs) {
        recordCrash(
            state,
            [createSuspect(worker, run, moment.nowMs)],
            "the worker has restarted since an earlier owner stored the start",
            moment,
        );
    }
    else {
        attachRun(state, worker, step, run);
    }
}

function createPresumedRun(job: JobRecord, step: StepRecord, taskIndex: number, runId: number, worker: WorkerRecord, nowMs: number): Run {
    const place = { jobId: job.jobId, occurrence: step.occurrence, stepIndex: step.index, taskIndex };
    const taskName = formatTaskName(job.jobId, step.occurrence, step.index, taskIndex);
    return {
        ...createRun({ ...place, taskName, runId, workerId: worker.entry.workerId }, runNeeds(job, step, taskIndex), nowMs),
        sentToBornWallMs: worker.entry.bornWallMs,
        phase: runPhases.running,
        isPresumed: true,
        isStartConfirmed: true,
        isAdopted: true,
        respondedAtMs: nowMs,
    };
}

/**
 * Treats the suspect starts that an earlier owner stored as running until their workers have responded. Call it when the term begins
 * and the workers are known.
 */
export function restoreSuspectStarts(state: SchedulerState, moment: Moment): void {
    for (const job of state.jobs.values()) {
        for (const step of isFinalState(job.state) ? [] : stepsOf(job)) {
            [...step.tasks.keys()].forEach(taskIndex => restoreStart(state, job, step, taskIndex, moment));
        }
    }
}
