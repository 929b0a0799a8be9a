/** Passes a stored job to the scheduler. */
import type { DirectoryEntry } from "../scheduling/jobDirectory.js";
import { decodeSubmission, jobKeys } from "../scheduling/jobDocuments.js";
import { createJobRecord } from "../scheduling/jobRecord.js";
import type { Scheduler } from "../scheduling/scheduler.js";

function isSubmissionReadable(submission: string): boolean {
    try {
        createJobRecord(decodeSubmission(submission), undefined);
        return true;
    }
    catch {
        return false;
    }
}

/**
 * Adds the job, unless its submission is unknown or a document of it cannot be read. A job whose progress cannot be read is
 * not started: its tasks may be done already.
 */
export function addStoredJob(
    scheduler: Scheduler,
    { jobId, submission, progress, isCancelled }: DirectoryEntry,
    wallMs: number,
    onUnreadable: (key: string, reason: string) => void,
): void {
    if (submission === undefined) {
        return;
    }
    try {
        scheduler.addJob(submission, progress, isCancelled, wallMs);
    }
    catch (error) {
        onUnreadable((isSubmissionReadable(submission) ? jobKeys.progressPrefix : jobKeys.submissionPrefix) + jobId, String(error));
    }
}
