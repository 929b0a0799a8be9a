/**
 * Withdrawals of jobs: a cancel of a job that the store has no submission of is stored before it is answered, so that no submission which the
 * same caller made before is stored later. Each caller has a key of its own for an id: a cancel holds back no other caller's job. A later
 * submission of the caller itself replaces the withdrawal.
 */
import { createHash } from "node:crypto";
import { newChangeId } from "../common/ids.js";
import { delay, type TimerService } from "../common/timerService.js";
import { createWithdrawalLimit } from "../decisions/limitWithdrawals.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { encodeWithdrawal, jobKeys } from "../scheduling/jobDocuments.js";
import { commitOutcomes, type CommitResult, type CompanionKey, type GroupCommit } from "./groupCommit.js";
import type { JobCaller } from "./jobVisibility.js";

export const withdrawalOutcomes = {
    /** Stored: no earlier submission of the caller is stored any more. */
    withdrawn: "withdrawn",
    /** The store has a submission now; nothing was withdrawn. */
    submitted: "submitted",
    /** The caller has cancelled too many unknown jobs; nothing was withdrawn. */
    limited: "limited",
} as const;

export interface Withdrawals {
    /**
     * Withdraws a job whose submission key has this revision, 0 if it does not exist. Returns the result of the write if that shows neither
     * that the job is withdrawn nor that it was submitted.
     */
    withdraw(
        caller: JobCaller,
        jobId: string,
        submissionRevision: number,
    ): Promise<(typeof withdrawalOutcomes)[keyof typeof withdrawalOutcomes] | CommitResult>;
    /** The key on which the write of a submission depends; it is that of a known withdrawal if it is to be deleted. */
    companionKey(caller: JobCaller, jobId: string): CompanionKey;
    /**
     * Whether a submission may replace the withdrawal: its call was certainly made later. `isLater` tells whether the call was received a while
     * after the withdrawal was known, and its caller still waits.
     */
    mayReplace(isLater: () => boolean): Promise<boolean>;
}

export interface WithdrawalsOptions {
    commit: GroupCommit;
    directory: JobDirectory;
    timers: TimerService;
    /** Revision of a key in the mirror that fills the directory; 0 if it does not contain the key. */
    mirroredRevision(key: string): number;
}

/** Further writes if other cancels of the caller come in between. */
const maxWritesCount = 4;
/**
 * How long a submission that would replace a withdrawal waits before it is stored. A caller that has given up has closed its connection, which
 * shows only after the call if both were held up on the way.
 */
const confirmationMs = 300;

/** A team reaches its jobs through any queue; without a team, a caller is one of its queue. */
function callerPrefix({ queueName, teamName }: JobCaller): string {
    const name = teamName === undefined ? `queue ${queueName}` : `team ${teamName}`;
    return `${jobKeys.withdrawalPrefix}${createHash("sha256").update(name).digest("hex").slice(0, 32)}/`;
}

export function withdrawalKey(caller: JobCaller, jobId: string): string {
    return callerPrefix(caller) + jobId;
}

export function createWithdrawals(options: WithdrawalsOptions): Withdrawals {
    const { commit, directory, timers } = options;
    const limit = createWithdrawalLimit();

    const countKept = (prefix: string): number => {
        let count = 0;
        for (const key of directory.withdrawals.keys()) {
            count += key.startsWith(prefix) ? 1 : 0;
        }
        return count;
    };
    return {
        withdraw: async (caller, jobId, submissionRevision) => {
            const prefix = callerPrefix(caller);
            if (!limit.mayStore(prefix, () => countKept(prefix), timers.nowMs())) {
                return withdrawalOutcomes.limited;
            }
            const key = prefix + jobId;
            const submission = { key: jobKeys.submissionPrefix + jobId, expectedRevision: submissionRevision, isDeleted: false };
            let expectedRevision = options.mirroredRevision(key);
            for (let writesCount = 0;; writesCount++) {
                const value = encodeWithdrawal({ changeId: newChangeId(), withdrawnWallMs: timers.wallClockMs() });
                const committed = await commit.write(key, value, expectedRevision, submission);
                const { outcome, wasPresent } = committed;
                if (outcome === commitOutcomes.stored && (wasPresent !== true || committed.value === value)) {
                    return withdrawalOutcomes.withdrawn;
                }
                if (outcome === commitOutcomes.blocked) {
                    return withdrawalOutcomes.submitted;
                }
                const isKeyOutdated = outcome === commitOutcomes.stored || outcome === commitOutcomes.removed;
                if (!isKeyOutdated || writesCount >= maxWritesCount) {
                    return isKeyOutdated ? { outcome: commitOutcomes.notStored } : committed;
                }
                expectedRevision = committed.revision ?? 0;
            }
        },
        companionKey: (caller, jobId) => {
            const key = withdrawalKey(caller, jobId);
            const isDeleted = directory.withdrawals.has(key);
            return { key, expectedRevision: isDeleted ? options.mirroredRevision(key) : 0, isDeleted };
        },
        mayReplace: async isLater => {
            if (!isLater()) {
                return false;
            }
            await delay(timers, confirmationMs);
            return isLater();
        },
    };
}
