/** Writes the snapshots of unresponsive workers, from which the next owner learns what may run there. */
import * as z from "zod";
import { delay, type TimerService } from "../common/timerService.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import {
    encodeSnapshot,
    type SnapshotState,
    snapshotStates,
    type WorkerSnapshot,
} from "../scheduling/unresponsiveWorkers.js";
import type { StoreMirror } from "./storeMirror.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

export interface WorkerSnapshotWriter {
    /** Writes the snapshot of a worker, or clears it if `undefined`; returns whether the store may still contain one. */
    update(workerId: string, snapshot: WorkerSnapshot | undefined): Promise<SnapshotState>;
}

export interface WorkerSnapshotWriterOptions {
    store: PlatformStore;
    timers: TimerService;
    signal: AbortSignal;
    /** Revision of the term key in the owner's term; writes are guarded by it and fail in any other term. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
}

/** Stored value of a cleared snapshot, whose worker responds again. */
const emptySnapshotValue = "";

/** Delay after a failed write before it is reported, so that the store can recover before the scheduler requests another. */
const retryDelayMs = 200;

/**
 * Creates the writer. A snapshot is cleared rather than deleted, and each write is guarded by the previous revision: otherwise
 * an earlier write that arrives late could restore an outdated snapshot.
 */
export function createWorkerSnapshotWriter(options: WorkerSnapshotWriterOptions): WorkerSnapshotWriter {
    const revisions = createWrittenRevisions(options.revisionOf);
    return {
        update: async (workerId, snapshot) => {
            const key = jobKeys.workerSnapshotPrefix + workerId;
            const token = options.termRevision();
            const swapped = token === undefined ? undefined : await options.store.swap(
                [{ key: jobKeys.term, expectedRevision: token }, { key, expectedRevision: revisions.expected(key) }],
                [{ key, value: snapshot ? encodeSnapshot(snapshot) : emptySnapshotValue }],
            );
            const isDone = swapped?.ok === true && swapped.val.isSwapped;
            if (swapped?.ok) {
                const current = swapped.val.current.find(each => each.key === key)?.revision ?? 0;
                revisions.update(key, swapped.val.isSwapped ? swapped.val.revision : current);
            }
            if (!isDone) {
                await delay(options.timers, retryDelayMs, options.signal);
            }
            // After a lost response the snapshot may or may not be stored. Assuming that it is makes the scheduler clear it before it
            // starts anything on the worker.
            return snapshot === undefined && isDone ? snapshotStates.none : snapshotStates.written;
        },
    };
}

const snapshotSchema = z.object({
    entry: z.object({
        workerId: z.string(),
        bornWallMs: z.number(),
        address: z.string(),
        poolName: z.string(),
        zone: z.string(),
        rack: z.string(),
        labels: z.array(z.string()),
        capacity: z.object({ cpuMillicores: z.number(), memoryMb: z.number(), accelerators: z.number() }),
        isDraining: z.boolean(),
    }),
    // JSON has `null` for an age that is unknown.
    runs: z.array(z.tuple([z.string(), z.number(), z.number().nullish().transform(ageMs => ageMs ?? undefined)])),
    leaseLeftMs: z.number(),
});

/** Throws if the text is no snapshot of the worker. A part of a snapshot must not be used: a run that it lacks would count as ended. */
export function decodeSnapshot(workerId: string, text: string): WorkerSnapshot {
    const snapshot = snapshotSchema.parse(JSON.parse(text));
    if (snapshot.entry.workerId !== workerId) {
        throw new Error(`the snapshot is of another worker: ${snapshot.entry.workerId}`);
    }
    return snapshot;
}

/** Passes what earlier owners stored of their runs to the scheduler of a new term: snapshots, and starts of suspected tasks. */
export function restoreEarlierRuns(
    scheduler: Scheduler,
    mirror: StoreMirror,
    isRegistered: (workerId: string) => boolean,
    moment: Moment,
    onUnreadable: (key: string, reason: string) => void,
): void {
    for (const { key, value, receivedAtMs } of mirror.values(jobKeys.workerSnapshotPrefix)) {
        if (value === emptySnapshotValue) {
            continue;
        }
        try {
            const workerId = key.slice(jobKeys.workerSnapshotPrefix.length);
            scheduler.restoreSnapshot(decodeSnapshot(workerId, value), isRegistered(workerId), receivedAtMs, moment);
        }
        catch (error) {
            onUnreadable(key, String(error));
        }
    }
    scheduler.restoreSuspectStarts(moment);
}
