/**
 * Documents that the store holds for a job: the submission, written once by the process that accepted it; the progress,
 * written only by the process that owns the scheduling; and the cancellation marker, written by any process.
 */
import { type AcceptedPolicy, describeExcessiveSize, type JobState, jobStates, type JobSubmission } from "./jobTypes.js";
import { areAmounts, isAmount, isReadableQueue, isReadableTeam } from "./policyDocuments.js";

export const jobKeys = {
    submissionPrefix: "nutmegjunction/job/",
    progressPrefix: "nutmegjunction/progress/",
    cancellationPrefix: "nutmegjunction/cancel/",
    /** Cancels of jobs that the store had no submission of, by caller and job. */
    withdrawalPrefix: "nutmegjunction/withdrawn/",
    /** Names the process that schedules now; bound to its lease. */
    owner: "nutmegjunction/owner",
    /** Rewritten by each new owner; its revision is the fencing token of the owner's writes. */
    term: "nutmegjunction/term",
    /** Tells the next owner whether earlier ones may still send commands. */
    handover: "nutmegjunction/handover",
    /** Snapshots of unresponsive workers, with the runs that may exist on them. */
    workerSnapshotPrefix: "nutmegjunction/silent/",
    /** Policies of removed queues and teams that have unfinished jobs. */
    retainedPolicies: "nutmegjunction/retained",
    /** Predicted starts in the pools whose load is more than they can serve in time. */
    loadSummary: "nutmegjunction/load",
    prefix: "nutmegjunction/",
} as const;

/** The run that a start begins, and the incarnation of the worker to which it is sent. */
export interface SuspectStart {
    runId: number;
    workerId: string;
    bornWallMs: number;
}

/** Progress of one task that is not done. */
export interface TaskProgress {
    /** Ids of the failed runs, so that an end that is listed again, to another owner, counts once. */
    failedRunIds: number[];
    /** Ids of the runs whose worker has ended, before or after them; missing if there are none. */
    crashedRunIds?: number[];
    /** Those of `crashedRunIds` that were certainly at work when their worker ended; earlier builds did not tell. */
    provenCrashRunIds?: number[];
    /** The start of a task that the next crash may give up, until its run has ended. */
    suspectStart?: SuspectStart;
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

function isReadablePolicy({ configurationVersion, queue, team }: AcceptedPolicy): boolean {
    return Number.isFinite(configurationVersion) && isReadableQueue(queue) && (team === undefined || isReadableTeam(team));
}

/** Returns the path of a field on which the scheduler relies and that is not as it should be. */
function findUnreadableField({ queueName, submittedWallMs, repeat, steps, acceptedUnder }: JobSubmission): string | undefined {
    if (typeof queueName !== "string") {
        return "queueName";
    }
    if (!Number.isFinite(submittedWallMs)) {
        return "submittedWallMs";
    }
    if (repeat && ![repeat.firstDueWallMs, repeat.intervalMs, repeat.count].every(Number.isFinite)) {
        return "repeat";
    }
    if (acceptedUnder !== undefined && !isReadablePolicy(acceptedUnder)) {
        return "acceptedUnder";
    }
    for (const [index, step] of steps.entries()) {
        const { taskCount, request, estimatedDurationMs, dependsOn, maxTasksPerWorker } = step;
        const isReadable = Number.isSafeInteger(taskCount) && taskCount > 0 &&
            areAmounts(request) && isAmount(estimatedDurationMs) &&
            (maxTasksPerWorker === undefined || Number.isFinite(maxTasksPerWorker)) &&
            dependsOn.every(before => Number.isSafeInteger(before) && before >= 0 && before < index);
        if (!isReadable) {
            return `steps.${index}`;
        }
    }
    return undefined;
}

export function decodeSubmission(text: string): JobSubmission {
    const value = JSON.parse(text) as JobSubmission;
    if (typeof value.jobId !== "string" || !Array.isArray(value.steps)) {
        throw new Error(`stored job has no id or steps: ${text.slice(0, 80)}`);
    }
    const unreadableField = findUnreadableField(value);
    if (unreadableField !== undefined) {
        throw new Error(`stored job has an unreadable field: ${unreadableField}`);
    }
    const excess = describeExcessiveSize(value.steps, value.repeat?.count ?? 1);
    if (excess !== undefined) {
        throw new Error(`stored job is too large: ${excess}`);
    }
    return value;
}

/**
 * Stored under a job's submission key in place of a submission: the job was refused and does not run, unless a later attempt replaces the
 * document. It has none of a submission's fields, so that builds which do not know it run nothing.
 */
export interface StoredRefusal {
    /** Tells this write from other refusals of the same job. */
    changeId: string;
    refusedWallMs: number;
    queueName: string;
    teamName?: string | undefined;
    /** Whether the job was within its team's share. */
    isWithinShare: boolean;
    workMillicoreS: number;
    criticalPathMs: number;
}

const refusalStart = '{"refusal":';

export function encodeRefusal(refusal: StoredRefusal): string {
    return JSON.stringify({ refusal });
}

/** Returns `undefined` if the text holds no refusal that can be read. */
export function decodeRefusal(text: string): StoredRefusal | undefined {
    if (!text.startsWith(refusalStart)) {
        return undefined;
    }
    try {
        const { refusal } = JSON.parse(text) as { refusal: StoredRefusal | null };
        const isReadable = typeof refusal?.queueName === "string" &&
            [refusal.refusedWallMs, refusal.workMillicoreS, refusal.criticalPathMs].every(Number.isFinite);
        return isReadable ? refusal : undefined;
    }
    catch {
        return undefined;
    }
}

/**
 * Stored when a cancel is answered that the job does not exist. Submissions of the same caller from before must not be stored any more: their
 * calls may wait in a paused process, their writes in the store.
 */
export interface StoredWithdrawal {
    /** Tells this write from other cancels of the same job by the same caller. */
    changeId: string;
    withdrawnWallMs: number;
}

export function encodeWithdrawal(withdrawal: StoredWithdrawal): string {
    return JSON.stringify(withdrawal);
}

export function decodeWithdrawal(text: string): StoredWithdrawal {
    const value = JSON.parse(text) as StoredWithdrawal;
    if (!Number.isFinite(value.withdrawnWallMs)) {
        throw new Error(`stored withdrawal has no time: ${text.slice(0, 80)}`);
    }
    return value;
}

export function encodeProgress(progress: JobProgress): string {
    return JSON.stringify(progress);
}

export function decodeProgress(text: string): JobProgress {
    const value = JSON.parse(text) as JobProgress;
    if (!Object.hasOwn(jobStates, value.state)) {
        throw new Error(`stored progress has no state: ${text.slice(0, 80)}`);
    }
    if (value.workerIds !== undefined && !(Array.isArray(value.workerIds) && value.workerIds.every(each => typeof each === "string"))) {
        throw new Error(`stored progress has an unreadable field: workerIds`);
    }
    return value;
}
