/** Index of the jobs in the store. Every process keeps one, to answer callers and to load the jobs when it becomes the owner. */
import {
    decodeProgress,
    decodeRefusal,
    decodeSubmission,
    decodeWithdrawal,
    jobKeys,
    type StoredRefusal,
    type StoredWithdrawal,
} from "./jobDocuments.js";
import { isFinalState } from "./jobRecord.js";
import { estimateCriticalPathMs, estimateWork, type JobState, jobStates } from "./jobTypes.js";

export interface DirectoryEntry {
    jobId: string;
    queueName: string;
    teamName: string | undefined;
    submission: string | undefined;
    /** Version of the configuration under which the job was accepted; `undefined` if the submission does not tell. */
    acceptedVersion: number | undefined;
    submittedWallMs: number;
    /** Estimated work of the job's short tasks. */
    workMillicoreS: number;
    /** Estimated duration of the longest chain of its short steps. */
    criticalPathMs: number;
    progress: string | undefined;
    state: JobState;
    endedWallMs: number | undefined;
    isCancelled: boolean;
}

/** The effect of a store change on a job. */
export type DirectoryEvent =
    | { kind: "accepted"; entry: DirectoryEntry }
    | { kind: "cancelled"; entry: DirectoryEntry }
    | { kind: "progressed"; entry: DirectoryEntry }
    /** `isRepeated`: an earlier attempt to submit the job was refused too. */
    | { kind: "refused"; jobId: string; refusal: StoredRefusal; isRepeated: boolean }
    | { kind: "removed"; jobId: string };

export interface JobDirectory {
    entries: ReadonlyMap<string, DirectoryEntry>;
    /** The refused ids; they have no entries. */
    refusals: ReadonlyMap<string, StoredRefusal>;
    /** Cancels of jobs that the store had no submission of, by their keys. */
    withdrawals: ReadonlyMap<string, StoredWithdrawal>;
    /** Applies a change of a stored key; returns `undefined` if the key belongs to no job or its document cannot be read. */
    apply(key: string, value: string | undefined): DirectoryEvent | undefined;
    find(jobId: string): DirectoryEntry | undefined;
    /** The jobs that have not ended, in the order of their submission. */
    unfinishedEntries(): DirectoryEntry[];
    /** Counts the queue's jobs that have not started. */
    countQueued(queueName: string): number;
}

export interface JobDirectoryOptions {
    /** Called for a stored document that cannot be read. */
    onUnreadable(key: string, reason: string): void;
}

export function createJobDirectory(options: JobDirectoryOptions): JobDirectory {
    const entries = new Map<string, DirectoryEntry>();
    const refusals = new Map<string, StoredRefusal>();
    const withdrawals = new Map<string, StoredWithdrawal>();

    const entryOf = (jobId: string): DirectoryEntry => {
        const known = entries.get(jobId) ?? {
            jobId,
            queueName: "",
            teamName: undefined,
            submission: undefined,
            acceptedVersion: undefined,
            submittedWallMs: 0,
            workMillicoreS: 0,
            criticalPathMs: 0,
            progress: undefined,
            state: jobStates.queued,
            endedWallMs: undefined,
            isCancelled: false,
        };
        entries.set(jobId, known);
        return known;
    };
    const removeIfEmpty = (entry: DirectoryEntry): DirectoryEvent => {
        if (entry.submission === undefined && entry.progress === undefined && !entry.isCancelled) {
            entries.delete(entry.jobId);
        }
        return { kind: "removed", jobId: entry.jobId };
    };

    const applyRefusal = (jobId: string, refusal: StoredRefusal): DirectoryEvent => {
        const isRepeated = refusals.has(jobId);
        refusals.set(jobId, refusal);
        const entry = entries.get(jobId);
        if (entry) {
            entry.submission = undefined;
            removeIfEmpty(entry);
        }
        return { kind: "refused", jobId, refusal, isRepeated };
    };
    const applySubmission = (jobId: string, value: string | undefined): DirectoryEvent => {
        const refusal = value === undefined ? undefined : decodeRefusal(value);
        if (refusal) {
            return applyRefusal(jobId, refusal);
        }
        refusals.delete(jobId);
        const entry = entryOf(jobId);
        entry.submission = value;
        if (value === undefined) {
            return removeIfEmpty(entry);
        }
        const submission = decodeSubmission(value);
        entry.queueName = submission.queueName;
        entry.teamName = submission.teamName;
        entry.acceptedVersion = submission.acceptedUnder?.configurationVersion;
        entry.submittedWallMs = submission.submittedWallMs;
        entry.workMillicoreS = estimateWork(submission.steps);
        entry.criticalPathMs = Math.max(0, ...estimateCriticalPathMs(submission.steps));
        return { kind: "accepted", entry };
    };
    const applyProgress = (jobId: string, value: string | undefined): DirectoryEvent => {
        const entry = entryOf(jobId);
        entry.progress = value;
        if (value === undefined) {
            return removeIfEmpty(entry);
        }
        const progress = decodeProgress(value);
        entry.state = progress.state;
        entry.endedWallMs = progress.endedWallMs;
        return { kind: "progressed", entry };
    };
    const applyCancellation = (jobId: string, value: string | undefined): DirectoryEvent => {
        const entry = entryOf(jobId);
        entry.isCancelled = value !== undefined;
        return value === undefined ? removeIfEmpty(entry) : { kind: "cancelled", entry };
    };

    const applyWithdrawal = (key: string, value: string | undefined): void => {
        if (value === undefined) {
            withdrawals.delete(key);
        }
        else {
            withdrawals.set(key, decodeWithdrawal(value));
        }
    };

    return {
        entries,
        refusals,
        withdrawals,
        apply: (key, value) => {
            try {
                if (key.startsWith(jobKeys.submissionPrefix)) {
                    return applySubmission(key.slice(jobKeys.submissionPrefix.length), value);
                }
                if (key.startsWith(jobKeys.progressPrefix)) {
                    return applyProgress(key.slice(jobKeys.progressPrefix.length), value);
                }
                if (key.startsWith(jobKeys.withdrawalPrefix)) {
                    applyWithdrawal(key, value);
                }
                if (key.startsWith(jobKeys.cancellationPrefix)) {
                    return applyCancellation(key.slice(jobKeys.cancellationPrefix.length), value);
                }
            }
            catch (error) {
                options.onUnreadable(key, String(error));
            }
            return undefined;
        },
        find: jobId => entries.get(jobId),
        unfinishedEntries: () =>
            [...entries.values()].filter(entry => !isFinalState(entry.state)).sort((a, b) => a.submittedWallMs - b.submittedWallMs),
        countQueued: queueName => {
            let count = 0;
            for (const entry of entries.values()) {
                if (entry.queueName === queueName && entry.state === jobStates.queued && !entry.isCancelled) {
                    count += 1;
                }
            }
            return count;
        },
    };
}
