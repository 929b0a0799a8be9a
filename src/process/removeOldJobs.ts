/** Removes ended jobs, refusals and withdrawals from the store after their retention time. */
import type { PlatformStore, StoreGuard } from "../connection/platformStore.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";

/** A transaction may have 32 entries: the guard of the term key, and up to three keys for each job. */
const jobsPerTransaction = 8;
/** As above; each refusal or withdrawal has a guard and a deletion. */
const replaceableKeysPerTransaction = 15;

/**
 * Removes the refusals and withdrawals before `beforeWallMs`. Each is guarded by its revision, since a later attempt to submit the job may be
 * accepted in its place, and the job may be withdrawn again, at any time.
 */
async function removeOldReplaceableKeys(
    store: PlatformStore,
    directory: JobDirectory,
    termGuard: StoreGuard,
    beforeWallMs: number,
    revisionOf: (key: string) => number,
): Promise<void> {
    const refused = [...directory.refusals].filter(([, { refusedWallMs }]) => refusedWallMs < beforeWallMs)
        .map(([jobId]) => jobKeys.submissionPrefix + jobId);
    const withdrawn = [...directory.withdrawals].filter(([, { withdrawnWallMs }]) => withdrawnWallMs < beforeWallMs).map(([key]) => key);
    const guards = [...refused, ...withdrawn].map((key): StoreGuard => ({ key, expectedRevision: revisionOf(key) }));
    for (let index = 0; index < guards.length; index += replaceableKeysPerTransaction) {
        const some = guards.slice(index, index + replaceableKeysPerTransaction);
        await store.swap([termGuard, ...some], some.map(({ key }) => ({ key, value: undefined })));
    }
}

/** Removes the jobs that ended before `endedBeforeWallMs`; the next call retries those of a failed transaction. */
export async function removeOldJobs(
    store: PlatformStore,
    directory: JobDirectory,
    termRevision: number,
    endedBeforeWallMs: number,
    revisionOf: (key: string) => number,
): Promise<void> {
    const termGuard = { key: jobKeys.term, expectedRevision: termRevision };
    const old = [...directory.entries.values()].filter(entry => entry.endedWallMs !== undefined && entry.endedWallMs < endedBeforeWallMs);
    for (let index = 0; index < old.length; index += jobsPerTransaction) {
        const keys = old.slice(index, index + jobsPerTransaction).flatMap(entry => [
            jobKeys.submissionPrefix + entry.jobId,
            jobKeys.progressPrefix + entry.jobId,
            ...(entry.isCancelled ? [jobKeys.cancellationPrefix + entry.jobId] : []),
        ]);
        await store.swap([termGuard], keys.map(key => ({ key, value: undefined })));
    }
    await removeOldReplaceableKeys(store, directory, termGuard, endedBeforeWallMs, revisionOf);
}
