/** Writes the progress of jobs, a few of them in one transaction, guarded so that only the present owner's writes land. */
import type { ChangeFeedStore } from "../connection/platformStore.js";
import { encodeProgress, jobKeys } from "../scheduling/jobDocuments.js";
import type { UnsavedJob } from "../scheduling/scheduler.js";

export interface ProgressWriter {
    /** Starts writes for what waits, as far as the number of open ones allows. */
    pump(): void;
}

export interface ProgressWriterOptions {
    store: ChangeFeedStore;
    nowMs(): number;
    /** Revision of the owner's term; a write under another one must not land. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
    takeUnsaved(atMost: number): UnsavedJob[];
    onSaved(jobId: string, version: number): void;
    onNotSaved(jobId: string): void;
    /** Another owner has written its term. */
    onSuperseded(): void;
    onFailed(reason: string, jobsCount: number): void;
}

/** A transaction takes 32 entries: the term's guard, and a guard and a write for each job. */
const jobsPerWrite = 15;
const maximumOpenWrites = 3;
/** After a failure the next write waits, longer each time. */
const firstPauseMs = 50;
const longestPauseMs = 400;

export function createProgressWriter(options: ProgressWriterOptions): ProgressWriter {
    /** Revisions that this process wrote, which the mirror may not show yet. */
    const writtenRevisions = new Map<string, number>();
    const open = new Set<string>();
    let openWrites = 0;
    let pauseMs = 0;
    let pausedUntilMs = 0;

    const expectedRevision = (key: string): number => Math.max(writtenRevisions.get(key) ?? 0, options.revisionOf(key));

    const write = async (jobs: readonly UnsavedJob[], termRevision: number): Promise<void> => {
        const keys = jobs.map(job => jobKeys.progressPrefix + job.jobId);
        const guards = keys.map(key => ({ key, expectedRevision: expectedRevision(key) }));
        const swapped = await options.store.swap(
            [{ key: jobKeys.term, expectedRevision: termRevision }, ...guards],
            jobs.map((job, index) => ({ key: keys[index]!, value: encodeProgress(job.progress) })),
        );
        if (swapped.ok && swapped.val.isSwapped) {
            const { revision } = swapped.val;
            keys.forEach(key => writtenRevisions.set(key, revision));
            pauseMs = 0;
            jobs.forEach(job => options.onSaved(job.jobId, job.version));
            return;
        }
        jobs.forEach(job => options.onNotSaved(job.jobId));
        if (swapped.err) {
            pauseMs = Math.min(longestPauseMs, Math.max(firstPauseMs, pauseMs * 2));
            pausedUntilMs = options.nowMs() + pauseMs;
            options.onFailed(swapped.val.reason, jobs.length);
            return;
        }
        // An earlier write whose answer was lost may have landed: its revision is the one to go on from.
        const current = new Map(swapped.val.current.map(each => [each.key, each.revision]));
        keys.forEach(key => writtenRevisions.set(key, current.get(key) ?? 0));
        if ((current.get(jobKeys.term) ?? 0) !== termRevision) {
            options.onSuperseded();
        }
    };

    const pump = (): void => {
        const termRevision = options.termRevision();
        while (termRevision !== undefined && openWrites < maximumOpenWrites && options.nowMs() >= pausedUntilMs) {
            const taken = options.takeUnsaved(jobsPerWrite);
            const ready = taken.filter(job => !open.has(job.jobId));
            const waiting = taken.filter(job => open.has(job.jobId));
            waiting.forEach(job => options.onNotSaved(job.jobId));
            if (ready.length === 0) {
                return;
            }
            openWrites += 1;
            ready.forEach(job => open.add(job.jobId));
            void write(ready, termRevision).finally(() => {
                openWrites -= 1;
                ready.forEach(job => open.delete(job.jobId));
            });
        }
    };
    return { pump };
}
