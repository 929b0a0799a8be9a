/** Writes the snapshots of unresponsive workers, from which the next owner learns what may run there. */
import * as z from "zod";
import { delay, type TimerService } from "../common/timerService.js";
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
import { createTermWriter, type TermWriterOptions } from "./termWriter.js";

export interface WorkerSnapshotWriter {
    /** Writes the snapshot of a worker, or clears it if `undefined`; returns whether the store may still contain one. */
    update(workerId: string, snapshot: WorkerSnapshot | undefined): Promise<SnapshotState>;
}

export interface WorkerSnapshotWriterOptions extends TermWriterOptions {
    timers: TimerService;
    signal: AbortSignal;
}

/** Stored value of a cleared snapshot, whose worker responds again. */
const emptySnapshotValue = "";

/** Delay after a failed write before it is reported, so that the store can recover before the scheduler requests another. */
const retryDelayMs = 200;

/**
 * Creates the writer. A snapshot is cleared rather than deleted, since its key's revision guards against an earlier write that arrives
 * late and could restore an outdated snapshot.
 */
export function createWorkerSnapshotWriter(options: WorkerSnapshotWriterOptions): WorkerSnapshotWriter {
    const writer = createTermWriter(options);
    return {
        update: async (workerId, snapshot) => {
            const key = jobKeys.workerSnapshotPrefix + workerId;
            const isDone = await writer.write(key, snapshot ? encodeSnapshot(snapshot) : emptySnapshotValue) === undefined;
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
    // JSON has `null` for an age that is unknown. An earlier build does not tell whether a run was listed.
    runs: z.array(z.union([
        z.tuple([z.string(), z.number(), z.number().nullish().transform(ageMs => ageMs ?? undefined)]),
        z.tuple([z.string(), z.number(), z.number().nullish().transform(ageMs => ageMs ?? undefined), z.boolean()]),
    ])),
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
