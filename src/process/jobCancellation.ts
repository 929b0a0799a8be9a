/** Cancels jobs: a stored one by a marker in the store, one that the store has no submission of by a withdrawal. */
import type { Result } from "../common/results.js";
import type { TimerService } from "../common/timerService.js";
import type { ReadAnswer, StoredValue, StoreError } from "../connection/platformStore.js";
import type { DirectoryEntry } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";
import type { CommitResult, GroupCommit } from "./groupCommit.js";
import { type JobResult, jobResultKinds } from "./jobResults.js";
import { isVisible, type JobCaller } from "./jobVisibility.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { withdrawalOutcomes, type Withdrawals } from "./withdrawals.js";

/** The read of a submission from the store. */
export interface SubmissionLookup {
    key: string;
    /** Queue that the call names. */
    queueName: string;
    submission: StoredValue | undefined;
    /** Revision of the key, which may hold a refusal; 0 if it does not exist. */
    storedRevision: number;
    answer: ReadAnswer | undefined;
}

/** How the process finds jobs, and describes what it found. */
export interface JobLookups {
    findVisibleJob(caller: JobCaller, jobId: string): DirectoryEntry | undefined;
    lookUp(queueName: string, jobId: string): Promise<Result<SubmissionLookup, StoreError>>;
    /** Decodes a stored submission; `undefined` if it cannot be read. */
    decodeEntry(jobId: string, submission: string): DirectoryEntry | undefined;
    describeNoSubmission(lookup: SubmissionLookup): JobResult;
    describeHidden(entry: DirectoryEntry, lookup: SubmissionLookup): JobResult;
    describeCommit(result: CommitResult, key: string, jobId: string): JobResult;
    refuse(reason: string): JobResult;
    /** The result without the store; `undefined` while it is reachable. */
    storeUnreachable(): JobResult | undefined;
}

export interface JobCancellationOptions {
    commit: GroupCommit;
    withdrawals: Withdrawals;
    lookups: JobLookups;
    timers: TimerService;
    logger: Logger;
    policy(): SchedulingPolicy | undefined;
}

/** Submissions of the job that may be stored while it is being cancelled; there is rarely one. */
const maxRoundsCount = 3;
const limitRetryAfterMs = 1_000;

export function createJobCancellation(options: JobCancellationOptions): (caller: JobCaller, jobId: string) => Promise<JobResult> {
    const { commit, withdrawals, lookups, timers, logger } = options;

    /** Returns `undefined` if a submission was stored meanwhile. */
    const withdraw = async (caller: JobCaller, jobId: string, lookup: SubmissionLookup): Promise<JobResult | undefined> => {
        const result = await withdrawals.withdraw(caller, jobId, lookup.storedRevision);
        switch (result) {
            case withdrawalOutcomes.withdrawn:
                return lookups.describeNoSubmission(lookup);
            case withdrawalOutcomes.submitted:
                return undefined;
            case withdrawalOutcomes.limited: {
                const reason = "too many cancels of jobs that do not exist; nothing was cancelled";
                return { kind: jobResultKinds.overloaded, reason, retryAfterMs: limitRetryAfterMs };
            }
            default:
                return lookups.describeCommit(result, jobKeys.withdrawalPrefix, jobId);
        }
    };

    const cancelStored = async ({ queueName }: JobCaller, jobId: string): Promise<JobResult> => {
        const key = jobKeys.cancellationPrefix + jobId;
        const committed = await commit.create(key, JSON.stringify({ wallMs: timers.wallClockMs() }));
        const answer = lookups.describeCommit(committed, key, jobId);
        if (answer.kind === jobResultKinds.ok) {
            logger.log(logEvents.jobCancelled, { jobId, queue: queueName, ...answer.logFields });
        }
        return answer;
    };

    /** Returns `undefined` if the job has to be looked up again. */
    const cancelUnknown = async (caller: JobCaller, jobId: string): Promise<JobResult | undefined> => {
        const lookup = await lookups.lookUp(caller.queueName, jobId);
        if (lookup.err) {
            return lookups.refuse("the store does not respond");
        }
        const { submission } = lookup.val;
        if (!submission) {
            return withdraw(caller, jobId, lookup.val);
        }
        const entry = lookups.decodeEntry(jobId, submission.value);
        // A submission that cannot be read is cancelled for whoever asks: it never runs, and its team is not known.
        return entry && !isVisible(entry, caller, options.policy()) ?
            lookups.describeHidden(entry, lookup.val) :
            cancelStored(caller, jobId);
    };

    return async (caller, jobId) => {
        const known = lookups.findVisibleJob(caller, jobId);
        if (known?.isCancelled) {
            return { kind: jobResultKinds.ok };
        }
        const unreachable = lookups.storeUnreachable();
        if (unreachable) {
            return unreachable;
        }
        if (known) {
            return cancelStored(caller, jobId);
        }
        for (let round = 0; round < maxRoundsCount; round++) {
            const result = await cancelUnknown(caller, jobId);
            if (result) {
                return result;
            }
        }
        return lookups.refuse("the job is being submitted and refused again and again");
    };
}
