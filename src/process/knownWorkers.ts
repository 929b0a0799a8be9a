/** What a process knows of the workers from their entries in the store, whether or not it owns the scheduling. */
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
    registered(): WorkerEntry[];
    /** Workers that get no new runs but may have some: their entries are unreadable, or were deleted at most `maxAgeMs` ago. */
    unregistered(maxAgeMs: number): WorkerEntry[];
}

interface KnownWorker {
    /** The latest entry that could be read. */
    entry: WorkerEntry;
    isReadable: boolean;
    /** `undefined` while the store holds an entry. */
    removedAtMs: number | undefined;
}

export function createKnownWorkers(nowMs: () => number): KnownWorkers {
    const workers = new Map<string, KnownWorker>();

    const findPresent = (workerId: string): KnownWorker | undefined => {
        const worker = workers.get(workerId);
        return worker?.removedAtMs === undefined ? worker : undefined;
    };
    const isRegistered = (worker: KnownWorker | undefined): boolean => worker?.isReadable === true && worker.removedAtMs === undefined;

    return {
        register: entry => void workers.set(entry.workerId, { entry, isReadable: true, removedAtMs: undefined }),
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
        registered: () => [...workers.values()].filter(isRegistered).map(({ entry }) => entry),
        unregistered: maxAgeMs =>
            [...workers.values()]
                .filter(worker => !isRegistered(worker) && nowMs() - (worker.removedAtMs ?? nowMs()) < maxAgeMs)
                .map(({ entry }) => entry),
    };
}
