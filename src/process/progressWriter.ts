/** Writes the progress of jobs in batches. Each transaction is guarded so that only writes of the current owner succeed. */
import type { ChangeFeedStore } from "../connection/platformStore.js";
import { encodeProgress, jobKeys } from "../scheduling/jobDocuments.js";
import type { UnsavedJob } from "../scheduling/scheduler.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

export interface ProgressWriter {
    /** Starts writing unsaved progress, as far as the limit of concurrent writes allows. */
    flush(): void;
    /** Whether a write can be expected to succeed: the last one did, or its backoff has ended and no other attempt is in flight. */
    isHealthy(): boolean;
}

export interface ProgressWriterOptions {
    store: ChangeFeedStore;
    nowMs(): number;
    /** Revision of the term key in the owner's term; writes are guarded by it and fail in any other term. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
    takeUnsaved(atMost: number): UnsavedJob[];
    /** The progress of these jobs is stored. */
    onSaved(jobs: readonly UnsavedJob[]): void;
    onSaveFailed(jobId: string): void;
    /** A newer owner has written the term key. */
    onSuperseded(): void;
    onWriteFailed(reason: string, jobsCount: number): void;
}

/** A transaction may have 32 entries: the guard of the term key, and a guard and a write for each job. */
const jobsPerWrite = 15;
const maxWritesInFlight = 3;
/** Backoff after failed writes; doubles with each failure. */
const initialBackoffMs = 50;
const maxBackoffMs = 400;

export function createProgressWriter(options: ProgressWriterOptions): ProgressWriter {
    const revisions = createWrittenRevisions(options.revisionOf);
    let writesInFlight = 0;
    let backoffMs = 0;
    let retryAtMs = 0;

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
            backoffMs = 0;
            options.onSaved(jobs);
            return;
        }
        if (swapped.err) {
            jobs.forEach(job => options.onSaveFailed(job.jobId));
            backoffMs = Math.min(maxBackoffMs, Math.max(initialBackoffMs, backoffMs * 2));
            retryAtMs = options.nowMs() + backoffMs;
            options.onWriteFailed(swapped.val.reason, jobs.length);
            return;
        }
        // An earlier write whose response was lost may have succeeded, so continue from the revisions that the store returned.
        const current = new Map(swapped.val.current.map(each => [each.key, each]));
        keys.forEach(key => revisions.update(key, current.get(key)?.revision ?? 0));
        const alreadySaved = jobs.filter((_, index) => current.get(keys[index]!)?.value === values[index]);
        if (alreadySaved.length > 0) {
            options.onSaved(alreadySaved);
        }
        jobs.filter(job => !alreadySaved.includes(job)).forEach(job => options.onSaveFailed(job.jobId));
        if ((current.get(jobKeys.term)?.revision ?? 0) !== termRevision) {
            options.onSuperseded();
        }
    };

    const flush = (): void => {
        const termRevision = options.termRevision();
        while (termRevision !== undefined && writesInFlight < maxWritesInFlight && options.nowMs() >= retryAtMs) {
            const taken = options.takeUnsaved(jobsPerWrite);
            if (taken.length === 0) {
                return;
            }
            writesInFlight += 1;
            void write(taken, termRevision).finally(() => writesInFlight -= 1);
        }
    };
    // After a failure, one attempt at a time probes whether the store is back. Starts wait for a healthy writer, so without
    // the probe nothing might be left to write.
    const isHealthy = (): boolean => backoffMs === 0 || (writesInFlight === 0 && options.nowMs() >= retryAtMs);
    return { flush, isHealthy };
}
