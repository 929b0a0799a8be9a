/**
 * Documents that the store holds for a job: the submission, written once by the process that accepted it; the progress,
 * written only by the process that owns the scheduling; and the cancellation marker, written by any process.
 */
import type { JobState, JobSubmission } from "./jobTypes.js";

export const jobKeys = {
    submissionPrefix: "nutmegjunction/job/",
    progressPrefix: "nutmegjunction/progress/",
    cancellationPrefix: "nutmegjunction/cancel/",
    /** Names the process that schedules now; bound to its lease. */
    owner: "nutmegjunction/owner",
    /** Rewritten by each new owner; its revision is the fencing token of the owner's writes. */
    term: "nutmegjunction/term",
    /** Tells the next owner whether earlier ones may still send commands. */
    handover: "nutmegjunction/handover",
    /** Snapshots of unresponsive workers, with the runs that may exist on them. */
    workerSnapshotPrefix: "nutmegjunction/silent/",
    prefix: "nutmegjunction/",
} as const;

/** Progress of one task that is not done. */
export interface TaskProgress {
    /** Ids of the failed runs, so that an end that is listed again, to another owner, counts once. */
    failedRunIds: number[];
    /** Checkpoint from which the next run resumes; empty if there is none. */
    checkpoint: string;
}

/** Progress of one step in one occurrence. */
export interface StepProgress {
    /** Indices of the tasks that are done, or `"all"` once the step is done. */
    done: number[] | "all";
    /** Tasks that failed or saved a checkpoint, by index. */
    tasks?: Record<string, TaskProgress>;
}

export interface JobProgress {
    state: JobState;
    /** Wall clock time at which the job reached its final state. */
    endedWallMs?: number;
    /** Indexed by occurrence, then by step. A missing entry means no progress. */
    occurrences?: Record<string, StepProgress[]>;
    /** Workers on which tasks of the job may run; a start is sent to no other worker. */
    workerIds?: string[];
}

export function encodeSubmission(submission: JobSubmission): string {
    return JSON.stringify(submission);
}

export function decodeSubmission(text: string): JobSubmission {
    const value = JSON.parse(text) as JobSubmission;
    if (typeof value.jobId !== "string" || !Array.isArray(value.steps)) {
        throw new Error(`stored job has no id or steps: ${text.slice(0, 80)}`);
    }
    return value;
}

export function encodeProgress(progress: JobProgress): string {
    return JSON.stringify(progress);
}

export function decodeProgress(text: string): JobProgress {
    const value = JSON.parse(text) as JobProgress;
    if (typeof value.state !== "string") {
        throw new Error(`stored progress has no state: ${text.slice(0, 80)}`);
    }
    return value;
}
