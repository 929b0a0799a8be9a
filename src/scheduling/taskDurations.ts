/**
 * How long tasks are expected to take: as estimated, or as learned from those of the same queue and image that have ended in this term. What a
 * job's objective is based on stays the estimate.
 */
import type { JobRecord, StepRecord } from "./jobRecord.js";
import { findStep, type RunEnd, runEnds, type SchedulerState } from "./schedulerState.js";
import type { Run } from "./workerRecord.js";

/** Parts of the tasks that take no longer. */
export const durationParts = {
    median: 0.5,
    /** For work that must end before a reservation begins. */
    most: 0.9,
} as const;

function durationKey(job: JobRecord, { spec }: StepRecord): string {
    return `${job.submission.queueName}\n${spec.image ?? ""}`;
}

/** By what the estimates of such tasks must be multiplied. */
function correction(state: SchedulerState, job: JobRecord, step: StepRecord, part: number): number {
    return state.features.learnedDurations ? state.durations.ratio(durationKey(job, step), part) ?? 1 : 1;
}

/** Expected duration of a task of the step, or `undefined` if nothing tells it. */
export function expectedDurationMs(
    state: SchedulerState,
    job: JobRecord,
    step: StepRecord,
    part: number = durationParts.median,
): number | undefined {
    const { estimatedDurationMs } = step.spec;
    return estimatedDurationMs > 0 ? estimatedDurationMs * correction(state, job, step, part) : undefined;
}

/** Expected time from the start of the step to the end of the job; the steps after it are taken to be estimated like this one. */
export function expectedPathMs(state: SchedulerState, job: JobRecord, step: StepRecord): number {
    return step.criticalPathMs * correction(state, job, step, durationParts.median);
}

/** Whether the time of the run says how long its task takes: it ran from its beginning to its end, and this owner saw it begin. */
function isWholeRun(step: StepRecord, run: Run): boolean {
    const isCounted = !step.spec.isLongRunning && (!step.spec.isGang || run.taskIndex === 0);
    return isCounted && !run.isAdopted && Number.isFinite(run.startedAtMs) && (step.tasks.get(run.taskIndex)?.checkpoint ?? "") === "";
}

/** Learns from an end that a listing shows. Call it before the end is applied. */
export function learnDuration(state: SchedulerState, run: Run, end: RunEnd, nowMs: number): void {
    const job = state.features.learnedDurations && end === runEnds.done ? state.jobs.get(run.jobId) : undefined;
    const step = job && findStep(state, run);
    if (step && isWholeRun(step, run)) {
        state.durations.record(durationKey(job, step), step.spec.estimatedDurationMs, nowMs - run.startedAtMs);
    }
}
