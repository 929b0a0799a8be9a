/**
 * Stores a submission, unless its caller has withdrawn the job since, or that it was refused because of load. A refusal takes the place of the
 * submission in the store, so that an earlier attempt's write that arrives late finds the key taken. Each refusal writes the key anew: a later
 * attempt that replaces a refusal is guarded by the refusal's revision, and may itself be in flight when the next one is refused.
 */
import { newChangeId } from "../common/ids.js";
import type { TimerService } from "../common/timerService.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { decodeRefusal, encodeRefusal, encodeSubmission, jobKeys } from "../scheduling/jobDocuments.js";
import { estimateCriticalPathMs, estimateWork, type JobSubmission } from "../scheduling/jobTypes.js";
import { type CommitOutcome, commitOutcomes, type CommitResult, type GroupCommit } from "./groupCommit.js";
import type { Withdrawals } from "./withdrawals.js";

export const refusalCauses = {
    /** The team has submitted more than its share. */
    beyondShare: "beyond-share",
    withinShare: "within-share",
} as const;
export type RefusalCause = (typeof refusalCauses)[keyof typeof refusalCauses];

/** Why a submission is refused because of load. */
export interface RefusalDecision {
    cause: RefusalCause;
    reason: string;
    isWithinShare: boolean;
    retryAfterMs: number;
    /** Predicted time from now to the job's end, and that after which an end counts as too late. */
    predictedEndMs?: number;
    latestEndMs?: number;
}

/** Decides which submissions are refused because of load. */
export interface JobAdmission {
    /** Returns `undefined` if the submission is to be accepted. */
    decide(submission: JobSubmission): RefusalDecision | undefined;
    /** The refusal is stored. */
    onRefused(submission: JobSubmission, decision: RefusalDecision, revision: number | undefined): void;
}

/** The call that makes a submission. */
export interface SubmissionAttempt {
    /** When the process received the head of the call. */
    receivedAtMs: number;
    /** Whether the caller still waits for the response. */
    isCallerConnected(): boolean;
}

export interface WrittenSubmission extends Omit<CommitResult, "outcome"> {
    outcome: CommitOutcome;
    /** Set if the store holds this refusal. */
    refusal?: RefusalDecision;
    /** Whether the stored value is that of another call. */
    isOfOtherCall: boolean;
    /** The store holds a refusal, perhaps of a later attempt than this call. */
    isRefusedElsewhere?: boolean;
}

export interface SubmissionWriterOptions {
    commit: GroupCommit;
    directory: JobDirectory;
    timers: TimerService;
    /** Revision of a key in the mirror that fills the directory, and when the mirror received it. */
    mirroredRevision(key: string): number;
    mirroredAtMs(key: string): number | undefined;
    admission: JobAdmission | undefined;
    withdrawals: Withdrawals;
}

/** Further writes find that other processes have refused or accepted the job meanwhile. */
const maxWritesCount = 4;
/**
 * A refusal or a withdrawal is replaced only by a call that was received so long after it was known here, and whose caller still waits. Any
 * other call may be an earlier attempt, held up by a slow link or a paused process, for which it was meant. It changes nothing in the store: a
 * caller that repeats its calls often would otherwise never find a refusal old enough.
 */
const knownForMs = 300;

const refusedElsewhere: WrittenSubmission = { outcome: commitOutcomes.unknown, isOfOtherCall: false, isRefusedElsewhere: true };
const withdrawn: WrittenSubmission = { outcome: commitOutcomes.blocked, isOfOtherCall: false };

export function createSubmissionWriter(options: SubmissionWriterOptions) {
    const { commit, directory, timers, withdrawals } = options;

    const isLaterThan = (key: string, { receivedAtMs, isCallerConnected }: SubmissionAttempt): boolean => {
        const knownSinceMs = options.mirroredAtMs(key);
        return knownSinceMs !== undefined && receivedAtMs - knownSinceMs >= knownForMs && isCallerConnected();
    };
    const encodeDecision = ({ queueName, teamName, steps }: JobSubmission, { isWithinShare }: RefusalDecision): string =>
        encodeRefusal({
            changeId: newChangeId(),
            refusedWallMs: timers.wallClockMs(),
            queueName,
            teamName,
            isWithinShare,
            workMillicoreS: estimateWork(steps),
            criticalPathMs: Math.max(0, ...estimateCriticalPathMs(steps)),
        });

    return async (submission: JobSubmission, attempt: SubmissionAttempt): Promise<WrittenSubmission> => {
        const { jobId } = submission;
        const key = jobKeys.submissionPrefix + jobId;
        const wasRefused = directory.refusals.has(jobId);
        let expectedRevision = wasRefused ? options.mirroredRevision(key) : 0;
        const refusal = options.admission?.decide(submission);
        if (!refusal && wasRefused && !isLaterThan(key, attempt)) {
            return refusedElsewhere;
        }
        let companion = refusal ? undefined : withdrawals.companionKey(submission, jobId);
        const withdrawalToReplace = companion?.isDeleted ? companion.key : undefined;
        if (withdrawalToReplace !== undefined && !await withdrawals.mayReplace(() => isLaterThan(withdrawalToReplace, attempt))) {
            return withdrawn;
        }
        for (let writesCount = 0; writesCount < maxWritesCount; writesCount++) {
            const value = refusal ? encodeDecision(submission, refusal) : encodeSubmission(submission);
            const committed = await commit.write(key, value, expectedRevision, companion);
            if (committed.outcome === commitOutcomes.removed) {
                expectedRevision = 0;
                continue;
            }
            if (companion?.isDeleted && committed.outcome === commitOutcomes.blocked && committed.revision === 0) {
                // The withdrawal has been removed meanwhile, since it was old.
                companion = { ...companion, expectedRevision: 0, isDeleted: false };
                continue;
            }
            if (committed.outcome !== commitOutcomes.stored || committed.value === value) {
                const isRefused = refusal !== undefined && committed.outcome === commitOutcomes.stored;
                if (isRefused) {
                    options.admission?.onRefused(submission, refusal!, committed.revision);
                }
                return { ...committed, ...(isRefused ? { refusal: refusal! } : {}), isOfOtherCall: false };
            }
            if (decodeRefusal(committed.value ?? "") === undefined) {
                return { ...committed, isOfOtherCall: true };
            }
            if (!refusal) {
                // This process did not know of the refusal when the call arrived.
                return refusedElsewhere;
            }
            expectedRevision = committed.revision ?? 0;
        }
        return { outcome: commitOutcomes.unknown, isOfOtherCall: false };
    };
}
