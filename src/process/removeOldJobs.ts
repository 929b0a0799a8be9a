/** Removes ended jobs from the store after their retention time. */
import type { PlatformStore } from "../connection/platformStore.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";

/** A transaction may have 32 entries: the guard of the term key, and up to three keys for each job. */
const jobsPerTransaction = 8;

/** Removes the jobs that ended before `endedBeforeWallMs`; the next call retries those of a failed transaction. */
export async function removeOldJobs(
    store: PlatformStore,
    directory: JobDirectory,
    termRevision: number,
    endedBeforeWallMs: number,
): Promise<void> {
    const old = [...directory.entries.values()].filter(entry => entry.endedWallMs !== undefined && entry.endedWallMs < endedBeforeWallMs);
    for (let index = 0; index < old.length; index += jobsPerTransaction) {
        const keys = old.slice(index, index + jobsPerTransaction).flatMap(entry => [
            jobKeys.submissionPrefix + entry.jobId,
            jobKeys.progressPrefix + entry.jobId,
            ...(entry.isCancelled ? [jobKeys.cancellationPrefix + entry.jobId] : []),
        ]);
        await store.swap([{ key: jobKeys.term, expectedRevision: termRevision }], keys.map(key => ({ key, value: undefined })));
    }
}
