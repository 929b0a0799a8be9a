/** Whether a job can still be in time, or still has value, given what is left of it. */
import { latenessClass } from "../decisions/orderSteps.js";
import type { JobRecord, OccurrenceRecord } from "./jobRecord.js";
import type { QueuePolicy } from "./jobTypes.js";

/** Latest end of an occurrence of the job that still meets the queue's objective. */
export function deadlineWallMs(job: JobRecord, occurrence: OccurrenceRecord, queue: QueuePolicy): number {
    return occurrence.dueWallMs + queue.criticalPathFactor * job.criticalPathMs + queue.latencyObjectiveMs;
}

/** Returns the lateness class of the job's occurrence if `remainingMs` of its work is left; see `latenessClass`. */
export function jobLateness(
    job: JobRecord,
    occurrence: OccurrenceRecord,
    queue: QueuePolicy,
    remainingMs: number,
    wallMs: number,
): 0 | 1 | 2 {
    return latenessClass(
        { criticalPathMs: remainingMs, deadlineWallMs: deadlineWallMs(job, occurrence, queue), submittedWallMs: occurrence.dueWallMs },
        wallMs,
    );
}
