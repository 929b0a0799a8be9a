/** Writes the progress of jobs, a few of them in one transaction, guarded so that only the present owner's writes land. */
import type { ChangeFeedStore } from "../connection/platformStore.js";
import { encodeProgress, jobKeys } from "../scheduling/jobDocuments.js";
import type { UnsavedJob } from "../scheduling/scheduler.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

export interface ProgressWriter {
    /** Starts writes for what waits, as far as the number of open ones allows. */
    flush(): void;
    /** Whether a write may be expected to land: the last one did, or its pause is over and no other try is open. */
    isHealthy(): boolean;
}

export interface ProgressWriterOptions {
    store: ChangeFeedStore;
    nowMs(): number;
    /** Revision of the owner's term; a write under another one must not land. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
    takeUnsaved(atMost: number): UnsavedJob[];
    /** The store holds the progress of these jobs. */
    onSaved(jobs: readonly UnsavedJob[]): void;
    onSaveFailed(jobId: string): void;
    /** Another owner has written its term. */
    onSuperseded(): void;
    onWriteFailed(reason: string, jobsCount: number): void;
}

/** A transaction takes 32 entries: the term's guard, and a guard and a write for each job. */
const jobsPerWrite = 15;
const maximumOpenWrites = 3;
/** After a failure the next write waits, longer each time. */
const firstPauseMs = 50;
const longestPauseMs = 400;

export function createProgressWriter(options: ProgressWriterOptions): ProgressWriter {
    const revisions = createWrittenRevisions(options.revisionOf);
    let openWrites = 0;
    let pauseMs = 0;
    let pausedUntilMs = 0;

    const write = async (jobs: readonly UnsavedJob[], termRevision: number): Promise<void> => {
        const keys = jobs.map(job => jobKeys.progressPrefix + job.jobId);
        const values = jobs.map(job => encodeProgress(job.progress));
        const guards = keys.map(key => ({ key, expectedRevision: revisions.expected(key) }));
        const swapped = await options.store.swap(
            [{ key: jobKeys.term, expectedRevision: termRevision }, ...guards],
            keys.map((key, index) => ({ key, value: values[index]! })),
        );
        if (swapped.ok && swapped.val.isSwapped) {
            const { revision } = swapped.val;
            keys.forEach(key => revisions.update(key, revision));
            pauseMs = 0;
            options.onSaved(jobs);
            return;
        }
        if (swapped.err) {
            jobs.forEach(job => options.onSaveFailed(job.jobId));
            pauseMs = Math.min(longestPauseMs, Math.max(firstPauseMs, pauseMs * 2));
            pausedUntilMs = options.nowMs() + pauseMs;
            options.onWriteFailed(swapped.val.reason, jobs.length);
            return;
        }
        // An earlier write whose answer was lost may have landed: its revision is the one to go on from.
        const current = new Map(swapped.val.current.map(each => [each.key, each]));
        keys.forEach(key => revisions.update(key, current.get(key)?.revision ?? 0));
        const landed = jobs.filter((_, index) => current.get(keys[index]!)?.value === values[index]);
        if (landed.length > 0) {
            options.onSaved(landed);
        }
        jobs.filter(job => !landed.includes(job)).forEach(job => options.onSaveFailed(job.jobId));
        if ((current.get(jobKeys.term)?.revision ?? 0) !== termRevision) {
            options.onSuperseded();
        }
    };

    const pump = (): void => {
        const termRevision = options.termRevision();
        while (termRevision !== undefined && openWrites < maximumOpenWrites && options.nowMs() >= pausedUntilMs) {
            const taken = options.takeUnsaved(jobsPerWrite);
            if (taken.length === 0) {
                return;
            }
            openWrites += 1;
            void write(taken, termRevision).finally(() => openWrites -= 1);
        }
    };
    // After a failure one try at a time tells whether the store is back: without, nothing might be left that writes.
    const isWorking = (): boolean => pauseMs === 0 || (openWrites === 0 && options.nowMs() >= pausedUntilMs);
    return { flush: pump, isHealthy: isWorking };
}
