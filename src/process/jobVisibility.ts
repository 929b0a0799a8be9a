/** Which callers reach a job, also after its queue was removed from the configuration or has got another path. */
import type { DirectoryEntry } from "../scheduling/jobDirectory.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";

/** Whom a call is for. */
export interface JobCaller {
    /** The queue that the call names. */
    queueName: string;
    /** The team whose key the call carries; `undefined` if the queue needs none. */
    teamName: string | undefined;
}

type JobOrigin = Pick<DirectoryEntry, "queueName" | "teamName" | "acceptedVersion">;

/** Whether the job's queue was removed; `false` if this process may only lack a newer configuration that has it. */
function isQueueRemoved({ queueName, acceptedVersion }: JobOrigin, policy: SchedulingPolicy | undefined): boolean {
    return policy !== undefined && !policy.queues.has(queueName) && acceptedVersion !== undefined && acceptedVersion <= policy.version;
}

/** Whether the configuration tells what has become of the job's queue. */
export function isQueueKnown(job: JobOrigin, policy: SchedulingPolicy | undefined): boolean {
    return policy?.queues.has(job.queueName) === true || isQueueRemoved(job, policy);
}

/**
 * Whether the job is the caller's to query, cancel and submit again. A team reaches its jobs through any queue. A job without a team is
 * reached through its queue, and by any caller once that is removed, since no other caller is left.
 */
export function isVisible(job: JobOrigin, { queueName, teamName }: JobCaller, policy: SchedulingPolicy | undefined): boolean {
    if (job.teamName !== undefined && teamName !== undefined) {
        return job.teamName === teamName;
    }
    return job.queueName === queueName || (job.teamName === undefined && isQueueRemoved(job, policy));
}
