/** In-memory key-value store with etcd-style revisions, leases and watches. */

export interface KeyValue {
    key: string;
    value: string;
    revision: number;
    leaseId: string | undefined;
}

export interface ChangeEvent {
    type: "PUT" | "DELETE";
    key: string;
    value: string;
    revision: number;
}

interface Lease {
    durationMs: number;
    endsAtMs: number;
}

interface Watcher {
    isInRange(key: string): boolean;
    onEvents(events: ChangeEvent[]): void;
}

/** One operation of a transaction, with keys and values decoded from base64. */
export type Operation =
    | { type: "put"; key: string; value: string; leaseId: string | undefined }
    | { type: "delete"; key: string }
    | { type: "range"; key: string; rangeEnd: string | undefined };

/** Matches the single key `key`, or all keys in `[key, rangeEnd)` if `rangeEnd` is given. */
function createRangePredicate(key: string, rangeEnd: string | undefined): (candidate: string) => boolean {
    return rangeEnd === undefined ? candidate => candidate === key : candidate => candidate >= key && candidate < rangeEnd;
}

/** Creates an empty store that uses `nowMs` as the clock for leases. */
export function createKeyValueStore(nowMs: () => number) {
    let entries = new Map<string, KeyValue>();
    let revision = 1;
    let nextLease = 1;
    const leases = new Map<string, Lease>();
    const watchers = new Set<Watcher>();

    const range = (key: string, rangeEnd?: string): KeyValue[] => {
        const isInRange = createRangePredicate(key, rangeEnd);
        return [...entries.values()].filter(entry => isInRange(entry.key)).sort((a, b) => a.key < b.key ? -1 : 1);
    };

    const notifyWatchers = (events: ChangeEvent[]): void => {
        watchers.forEach(watcher => {
            const wanted = events.filter(event => watcher.isInRange(event.key));
            if (wanted.length > 0) {
                watcher.onEvents(wanted);
            }
        });
    };

    const write = (operation: Operation): ChangeEvent[] => {
        if (operation.type === "put") {
            entries.set(operation.key, { key: operation.key, value: operation.value, revision, leaseId: operation.leaseId });
            return [{ type: "PUT", key: operation.key, value: operation.value, revision }];
        }
        if (operation.type === "delete" && entries.delete(operation.key)) {
            return [{ type: "DELETE", key: operation.key, value: "", revision }];
        }
        return [];
    };

    /** Executes the operations of a transaction and returns the result of each range read. All writes share one new revision. */
    const execute = (operations: Operation[]): (KeyValue[] | undefined)[] => {
        const isWriting = operations.some(operation => operation.type !== "range");
        revision += isWriting ? 1 : 0;
        const events = operations.flatMap(write);
        const results = operations.map(operation => operation.type === "range" ? range(operation.key, operation.rangeEnd) : undefined);
        notifyWatchers(events);
        return results;
    };

    const endLease = (leaseId: string): void => {
        leases.delete(leaseId);
        const owned = [...entries.values()].filter(entry => entry.leaseId === leaseId);
        if (owned.length > 0) {
            execute(owned.map(entry => ({ type: "delete", key: entry.key })));
        }
    };

    return {
        range,
        execute,
        endLease,
        revision: () => revision,
        grantLease: (durationMs: number): string => {
            const leaseId = String(nextLease++);
            leases.set(leaseId, { durationMs, endsAtMs: nowMs() + durationMs });
            return leaseId;
        },
        /** Renews a lease and returns its remaining time in milliseconds, or 0 if the lease does not exist. */
        renewLease: (leaseId: string): number => {
            const lease = leases.get(leaseId);
            if (!lease) {
                return 0;
            }
            lease.endsAtMs = nowMs() + lease.durationMs;
            return lease.durationMs;
        },
        expireLeases: (): void => [...leases].filter(([, lease]) => lease.endsAtMs <= nowMs()).forEach(([leaseId]) => endLease(leaseId)),
        /** Watches a range and returns a function that cancels the watch. */
        watch: (key: string, rangeEnd: string | undefined, onEvents: (events: ChangeEvent[]) => void): () => void => {
            const watcher = { isInRange: createRangePredicate(key, rangeEnd), onEvents };
            watchers.add(watcher);
            return () => watchers.delete(watcher);
        },
        createSnapshot: (): KeyValue[] => [...entries.values()].map(entry => ({ ...entry })),
        /** Restores a snapshot, as an operator does after data loss. Watchers are not notified. */
        restore: (backup: KeyValue[]): void => {
            entries = new Map(backup.map(entry => [entry.key, { ...entry }]));
        },
    };
}
