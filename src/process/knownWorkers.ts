/** What a process knows of the workers from their entries in the store, whether or not it owns the scheduling. */
import type { Moment } from "../scheduling/reconcileListing.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { WorkerEntry } from "../scheduling/workerRecord.js";

export interface KnownWorkers {
    /** The store holds this entry of the worker. */
    register(entry: WorkerEntry): void;
    /** The worker's entry was deleted; returns whether the worker was known to have one. */
    remove(workerId: string): boolean;
    /**
     * The worker's entry was overwritten by one that cannot be read; returns whether the worker was known to have one. Such a worker has
     * not left: what it runs goes on, and an owner must reach it to extend its leases.
     */
    markUnreadable(workerId: string): boolean;
    isRegistered(workerId: string): boolean;
    /**
     * Passes the workers to the scheduler of a new term, also those that get no new runs but may have some: their entries are unreadable,
     * or were deleted a short time ago.
     */
    passTo(scheduler: Pick<Scheduler, "registerWorker" | "unregisterWorker">, moment: Moment): void;
}

interface KnownWorker {
    /** The latest entry that could be read. */
    entry: WorkerEntry;
    /** When the first entry of the incarnation was seen. */
    seenAtMs: number;
    isReadable: boolean;
    /** `undefined` while the store holds an entry. */
    removedAtMs: number | undefined;
}

/** A worker whose entry was deleted longer ago is not asked by a new owner what it runs. */
const maxUnregisteredMs = 10_400;

export function createKnownWorkers(nowMs: () => number): KnownWorkers {
    const workers = new Map<string, KnownWorker>();

    const findPresent = (workerId: string): KnownWorker | undefined => {
        const worker = workers.get(workerId);
        return worker?.removedAtMs === undefined ? worker : undefined;
    };
    const isRegistered = (worker: KnownWorker | undefined): boolean => worker?.isReadable === true && worker.removedAtMs === undefined;

    const isUnregistered = (worker: KnownWorker): boolean =>
        !isRegistered(worker) && nowMs() - (worker.removedAtMs ?? nowMs()) < maxUnregisteredMs;

    return {
        register: entry => {
            const known = workers.get(entry.workerId);
            const seenAtMs = known?.entry.bornWallMs === entry.bornWallMs ? known.seenAtMs : nowMs();
            workers.set(entry.workerId, { entry, seenAtMs, isReadable: true, removedAtMs: undefined });
        },
        remove: workerId => {
            const worker = findPresent(workerId);
            if (worker) {
                worker.removedAtMs = nowMs();
            }
            return worker !== undefined;
        },
        markUnreadable: workerId => {
            const worker = findPresent(workerId);
            if (worker) {
                worker.isReadable = false;
            }
            return worker !== undefined;
        },
        isRegistered: workerId => isRegistered(workers.get(workerId)),
        passTo: (scheduler, moment) => {
            [...workers.values()].filter(isRegistered).forEach(({ entry, seenAtMs }) => scheduler.registerWorker(entry, moment, seenAtMs));
            for (const { entry, seenAtMs } of [...workers.values()].filter(isUnregistered)) {
                scheduler.registerWorker(entry, moment, seenAtMs);
                scheduler.unregisterWorker(entry.workerId);
            }
        },
    };
}
