/** Writes the notes of silent workers. */
import { delay, type TimerService } from "../common/timerService.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { encodeSnapshot, type SnapshotState, snapshotStates, type WorkerSnapshot } from "../scheduling/unresponsiveWorkers.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

export interface NoteWriter {
    /** Writes the note of a worker, or empties it; tells whether the store may still hold one. */
    change(workerId: string, note: WorkerSnapshot | undefined): Promise<SnapshotState>;
}

export interface NoteWriterOptions {
    store: PlatformStore;
    timers: TimerService;
    signal: AbortSignal;
    /** Revision of the owner's term; a write under another one must not land. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
}

/** Value of a note of which the worker answers again. */
export const emptyNote = "";

/** A note that could not be written waits for the store to answer again. */
const retryMs = 200;

/**
 * Creates the writer. A note is emptied, not deleted, and each write names the revision before it: an earlier write that
 * lands late would otherwise bring an outdated note back.
 */
export function createNoteWriter(options: NoteWriterOptions): NoteWriter {
    const revisions = createWrittenRevisions(options.revisionOf);
    return {
        change: async (workerId, note) => {
            const key = jobKeys.workerSnapshotPrefix + workerId;
            const token = options.termRevision();
            const swapped = token === undefined ? undefined : await options.store.swap(
                [{ key: jobKeys.term, expectedRevision: token }, { key, expectedRevision: revisions.expected(key) }],
                [{ key, value: note ? encodeSnapshot(note) : emptyNote }],
            );
            const isDone = swapped?.ok === true && swapped.val.isSwapped;
            if (swapped?.ok) {
                const current = swapped.val.current.find(each => each.key === key)?.revision ?? 0;
                revisions.update(key, swapped.val.isSwapped ? swapped.val.revision : current);
            }
            if (!isDone) {
                await delay(options.timers, retryMs, options.signal);
            }
            // After a lost answer the note may stand or not: taken as standing, it is emptied before anything starts there.
            return note === undefined && isDone ? snapshotStates.none : snapshotStates.written;
        },
    };
}
