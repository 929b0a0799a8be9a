/**
 * The store in the model. It holds the progress of the job, whose writes are guarded by the term and by the revision of the
 * previous write. A write can land late, and its answer can be late or lost.
 */
import { decodeProgress, encodeProgress, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import type { UnsavedJob } from "../../src/scheduling/scheduler.js";
import type { ModelOwner } from "./modelOwner.js";

export interface PendingSave {
    owner: ModelOwner;
    /** Token of the term in which the write was sent. */
    token: number;
    job: UnsavedJob;
    expectedRevision: number;
    /** `undefined` until the write has reached the store. */
    hasLanded: boolean | undefined;
    /** The owner no longer waits for the answer. */
    isAbandoned: boolean;
}

export interface ModelStore {
    progress(): JobProgress | undefined;
    pendingSaves: PendingSave[];
    /** Token of the newest term. */
    highestTerm: number;
    /** Sends a write of the owner's unsaved progress. */
    send(owner: ModelOwner): PendingSave[];
    land(save: PendingSave): void;
    answer(save: PendingSave, nowMs: number): void;
    /** The answer to the write is lost; a write that has not landed yet may still do so. */
    abandon(save: PendingSave, isForgotten?: boolean): void;
}

export function createModelStore(initial: JobProgress | undefined, onStored: (progress: JobProgress) => void): ModelStore {
    let stored = initial;
    let revision = 0;
    const knownRevisions = new Map<ModelOwner, number>();
    const remove = (save: PendingSave): void => {
        store.pendingSaves = store.pendingSaves.filter(each => each !== save);
    };
    const store: ModelStore = {
        progress: () => stored,
        pendingSaves: [],
        highestTerm: 0,
        send: owner => {
            const expectedRevision = knownRevisions.get(owner) ?? revision;
            const sent = owner.scheduler.takeUnsavedJobs(10).map(job => ({
                owner,
                token: owner.token,
                job,
                expectedRevision,
                hasLanded: undefined,
                isAbandoned: false,
            }));
            store.pendingSaves.push(...sent);
            return sent;
        },
        land: save => {
            save.hasLanded = save.token === store.highestTerm && save.expectedRevision === revision;
            if (save.hasLanded) {
                revision += 1;
                stored = decodeProgress(encodeProgress(save.job.progress));
                onStored(stored);
            }
            if (save.isAbandoned) {
                remove(save);
            }
        },
        answer: (save, nowMs) => {
            const { scheduler } = save.owner;
            remove(save);
            knownRevisions.set(save.owner, revision);
            if (save.hasLanded) {
                scheduler.progressSaved(save.job.jobId, save.job.version, nowMs);
            }
            else {
                scheduler.progressSaveFailed(save.job.jobId);
            }
        },
        abandon: (save, isForgotten) => {
            save.isAbandoned = true;
            if (save.hasLanded !== undefined) {
                remove(save);
            }
            if (!isForgotten) {
                save.owner.scheduler.progressSaveFailed(save.job.jobId);
            }
        },
    };
    return store;
}

export function describePendingSave({ token, job, expectedRevision, hasLanded, isAbandoned }: PendingSave): unknown {
    return [token, job, expectedRevision, hasLanded, isAbandoned];
}
