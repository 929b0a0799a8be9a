/** Callers' operations on jobs: submit, ask, cancel. Answers from the process's copy of the store; writes go to the store. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore, StoreGuard } from "../connection/platformStore.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { encodeSubmission, jobKeys } from "../scheduling/jobDocuments.js";
import { type JobState, jobStates, type JobSubmission } from "../scheduling/jobTypes.js";
import { commitOutcomes, createGroupCommit } from "./groupCommit.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { StoreMirror } from "./storeMirror.js";

export const jobResultKinds = {
    /** Done, and stored. */
    ok: "ok",
    notFound: "notFound",
    /** Not carried out, and never will be; come back after `retryAfterMs`. */
    refused: "refused",
    /** Whether it was carried out is not known; the same call may be made again. */
    unknown: "unknown",
    /** The configuration has changed meanwhile; the call must be checked again. */
    outdated: "outdated",
} as const;
export type JobResultKind = (typeof jobResultKinds)[keyof typeof jobResultKinds];

export interface JobResult {
    kind: JobResultKind;
    state?: JobState;
    reason?: string;
    retryAfterMs?: number;
}

export interface JobService {
    submit(submission: JobSubmission): Promise<JobResult>;
    state(queueName: string, jobId: string): JobResult;
    cancel(queueName: string, jobId: string): Promise<JobResult>;
    countQueued(queueName: string): number;
}

export interface JobServiceOptions {
    store: ChangeFeedStore;
    mirror(): StoreMirror;
    directory: JobDirectory;
    timers: TimerService;
    logger: Logger;
    /** The configuration that callers' requests are checked against. */
    configurationGuard(): StoreGuard | undefined;
}

/**
 * Without contact to the store for so long, a write is not tried, and the copy may lack jobs that callers know of. In touch, a
 * watch confirms the copy at least every 0.7 s, a slow store some hundred milliseconds later.
 */
const staleAfterMs = 1_300;
/** A short outage of the store is over by then; the calls of many callers spread over the rest by their own jitter. */
const storeRetryAfterMs = 1_000;

export function createJobService(options: JobServiceOptions): JobService {
    const { directory, logger } = options;
    const commit = createGroupCommit({
        store: options.store,
        timers: options.timers,
        sharedGuard: options.configurationGuard,
        isStoreReachable: () => !isStale(),
    });
    const isStale = (): boolean => (options.mirror().ageMs() ?? Number.POSITIVE_INFINITY) > staleAfterMs;
    // Out of touch, this process cannot know whether the caller's earlier attempt was accepted elsewhere.
    const outOfTouch: JobResult = { kind: jobResultKinds.unknown, reason: "out of touch with the store", retryAfterMs: storeRetryAfterMs };
    const refuse = (reason: string): JobResult => ({ kind: jobResultKinds.refused, reason, retryAfterMs: storeRetryAfterMs });

    const create = async (key: string, value: string, jobId: string): Promise<JobResult> => {
        const outcome = await commit.create(key, value);
        switch (outcome) {
            case commitOutcomes.stored:
                return { kind: jobResultKinds.ok };
            case commitOutcomes.outdated:
                return { kind: jobResultKinds.outdated };
            case commitOutcomes.notStored:
                return isStale() ? outOfTouch : refuse("the store did not take the write");
            default:
                logger.log(logEvents.jobOutcomeUnknown, { jobId, key });
                return { kind: jobResultKinds.unknown, reason: "the store's answer was lost", retryAfterMs: storeRetryAfterMs };
        }
    };

    const known = (queueName: string, jobId: string) => {
        const entry = directory.find(jobId);
        return entry?.submission !== undefined && entry.queueName === queueName ? entry : undefined;
    };

    return {
        submit: async submission => {
            if (known(submission.queueName, submission.jobId)) {
                return { kind: jobResultKinds.ok };
            }
            if (isStale()) {
                return outOfTouch;
            }
            const answer = await create(jobKeys.submissionPrefix + submission.jobId, encodeSubmission(submission), submission.jobId);
            if (answer.kind === jobResultKinds.ok) {
                logger.log(logEvents.jobAccepted, { jobId: submission.jobId, queue: submission.queueName, team: submission.teamName });
            }
            return answer;
        },
        state: (queueName, jobId) => {
            const entry = known(queueName, jobId);
            if (entry) {
                const isEnded = entry.state === jobStates.completed || entry.state === jobStates.failed;
                return { kind: jobResultKinds.ok, state: entry.isCancelled && !isEnded ? jobStates.cancelled : entry.state };
            }
            return isStale() ? refuse("the copy of the store is out of date") : { kind: jobResultKinds.notFound };
        },
        cancel: async (queueName, jobId) => {
            if (directory.find(jobId)?.isCancelled) {
                return { kind: jobResultKinds.ok };
            }
            if (isStale()) {
                return outOfTouch;
            }
            if (!known(queueName, jobId)) {
                const read = await options.store.read(jobKeys.submissionPrefix + jobId);
                if (read.err) {
                    return refuse("the store does not answer");
                }
                if (!read.val) {
                    return { kind: jobResultKinds.notFound };
                }
            }
            const answer = await create(
                jobKeys.cancellationPrefix + jobId,
                JSON.stringify({ wallMs: options.timers.wallClockMs() }),
                jobId,
            );
            if (answer.kind === jobResultKinds.ok) {
                logger.log(logEvents.jobCancelled, { jobId, queue: queueName });
            }
            return answer;
        },
        countQueued: queueName => directory.countQueued(queueName),
    };
}
