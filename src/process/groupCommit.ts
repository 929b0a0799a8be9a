/**
 * Writes keys of the store, batching those that arrive within a short time into one transaction. Each key is guarded by the revision that it
 * had before, usually "does not exist", so that a repeated or late write of the same key changes nothing.
 */
import type { TimerService } from "../common/timerService.js";
import type { PlatformStore, StoredValue, StoreGuard, StoreWrite } from "../connection/platformStore.js";

export const commitOutcomes = {
    /** The store contains the key with another revision than the expected one, written by this call or another. */
    stored: "stored",
    /** This call has not written the key, and never will. */
    notStored: "notStored",
    /** The key that was to be replaced does not exist any more; this call has not written it, and never will. */
    removed: "removed",
    /** The companion key has another revision than the expected one; this call has not written the key, and never will. */
    blocked: "blocked",
    /** The shared guard no longer holds; nothing was written. */
    outdated: "outdated",
    /** The response was lost, and the write may still take effect. */
    unknown: "unknown",
} as const;
export type CommitOutcome = (typeof commitOutcomes)[keyof typeof commitOutcomes];

export interface CommitResult {
    outcome: CommitOutcome;
    /** If stored: revision of the last write of the key. If blocked: that of the companion key, 0 if that does not exist. */
    revision?: number;
    /** If stored: whether the key existed already, perhaps written by an attempt whose response was lost. */
    wasPresent?: boolean;
    /** If stored: the value that the key has, which another call may have written. */
    value?: string;
}

export interface GroupCommit {
    create(key: string, value: string): Promise<CommitResult>;
    /** Writes the key if it and its companion key have the expected revisions; 0 stands for a key that does not exist. */
    write(key: string, value: string, expectedRevision: number, companion?: CompanionKey): Promise<CommitResult>;
}

/** Another key on which a write depends: a submission on the withdrawal of its job, and the other way round. */
export interface CompanionKey extends StoreGuard {
    /** Whether the write deletes it. */
    isDeleted: boolean;
}

export interface GroupCommitOptions {
    store: PlatformStore;
    timers: TimerService;
    /** Condition for every write, for example that the configuration it was validated against is current. */
    sharedGuard(): StoreGuard | undefined;
    /** Called with the current value of the shared guard's key when the guard no longer holds. */
    onGuardChanged(current: StoredValue): void;
    /** Whether the store responds to other calls; if not, the outcome of a write without a response is not looked up. */
    isStoreReachable(): boolean;
}

interface WaitingKey {
    key: string;
    value: string;
    expectedRevision: number;
    companion: CompanionKey | undefined;
    attemptsCount: number;
    /** An earlier attempt got no response, and may have been applied. */
    mayBeApplied: boolean;
    settle(result: CommitResult): void;
}

/** Writes within this time share a transaction; short compared with the store's response time. */
const batchWindowMs = 3;
/** A transaction may have 32 entries; one is the shared guard. */
const maxBatchEntries = 31;
/** Conflicting transactions after which a key is given up; each conflict settles at least one key of its batch. */
const maxAttemptsCount = 4;

const notStored: CommitResult = { outcome: commitOutcomes.notStored };
const removed: CommitResult = { outcome: commitOutcomes.removed };
const outdated: CommitResult = { outcome: commitOutcomes.outdated };
const unknown: CommitResult = { outcome: commitOutcomes.unknown };

function stored({ revision, value }: Pick<StoredValue, "revision" | "value">, wasPresent: boolean): CommitResult {
    return { outcome: commitOutcomes.stored, revision, wasPresent, value };
}

function guardsOf({ key, expectedRevision, companion }: WaitingKey): StoreGuard[] {
    return [{ key, expectedRevision }, ...(companion ? [{ key: companion.key, expectedRevision: companion.expectedRevision }] : [])];
}

function writesOf({ key, value, companion }: WaitingKey): StoreWrite[] {
    return [{ key, value }, ...(companion?.isDeleted ? [{ key: companion.key, value: undefined }] : [])];
}

const entriesCount = (each: WaitingKey): number => guardsOf(each).length + writesOf(each).length;
const dependOnSame = ({ companion: first }: WaitingKey, { companion: second }: WaitingKey): boolean =>
    first?.key === second?.key && first?.expectedRevision === second?.expectedRevision;

export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
    const { store, timers } = options;
    let waiting: WaitingKey[] = [];
    let isScheduled = false;

    /** Repeats a write without a response once, on the way that serves now: its guards let only one of the attempts take effect. */
    const settleOrRepeat = async (batch: readonly WaitingKey[], isKnownNotApplied: boolean): Promise<void> => {
        const isRepeatUseful = options.isStoreReachable() && !isKnownNotApplied;
        const repeated = batch.filter(each => isRepeatUseful && !each.mayBeApplied);
        repeated.forEach(each => enqueue({ ...each, mayBeApplied: true }));
        await settleByRead(batch.filter(each => !repeated.includes(each)));
    };

    const settleByRead = async (batch: readonly WaitingKey[]): Promise<void> => {
        if (!options.isStoreReachable()) {
            batch.forEach(each => each.settle(unknown));
            return;
        }
        await Promise.all(batch.map(async each => {
            const read = await store.read(each.key);
            const isWritten = read.ok && read.val && read.val.revision !== each.expectedRevision;
            each.settle(isWritten ? stored(read.val, true) : unknown);
        }));
    };

    const writeBatch = async (batch: readonly WaitingKey[]): Promise<void> => {
        const shared = options.sharedGuard();
        const guards = batch.flatMap(guardsOf);
        const swapped = await store.swap(shared ? [shared, ...guards] : guards, batch.flatMap(writesOf));
        if (swapped.err) {
            const isKnownNotApplied = swapped.val.isKnownNotApplied === true;
            const known = batch.filter(each => isKnownNotApplied && !each.mayBeApplied);
            known.forEach(each => each.settle(notStored));
            await settleOrRepeat(batch.filter(each => !known.includes(each)), isKnownNotApplied);
            return;
        }
        if (swapped.val.isSwapped) {
            const { revision } = swapped.val;
            batch.forEach(each => each.settle(stored({ revision, value: each.value }, false)));
            return;
        }
        const present = new Map(swapped.val.current.map(each => [each.key, each]));
        /** Returns `undefined` if the key still has the expected revision. */
        const describePresent = ({ key, expectedRevision }: WaitingKey): CommitResult | undefined => {
            const current = present.get(key);
            if ((current?.revision ?? 0) === expectedRevision) {
                return undefined;
            }
            return current && current.revision > 0 ? stored(current, true) : removed;
        };
        const describeCompanion = ({ companion }: WaitingKey): CommitResult | undefined => {
            const revision = present.get(companion?.key ?? "")?.revision ?? 0;
            return companion && revision !== companion.expectedRevision ? { outcome: commitOutcomes.blocked, revision } : undefined;
        };
        if (shared && (present.get(shared.key)?.revision ?? 0) !== shared.expectedRevision) {
            const current = present.get(shared.key);
            if (current) {
                options.onGuardChanged(current);
            }
            // A key that has another revision was written before, perhaps by an attempt without a response. Others will not be: the guard has changed.
            batch.forEach(each => each.settle(describePresent(each) ?? outdated));
            return;
        }
        for (const each of batch) {
            const found = describePresent(each) ?? describeCompanion(each);
            if (found) {
                each.settle(found);
            }
            else if (each.attemptsCount >= maxAttemptsCount) {
                each.settle(each.mayBeApplied ? unknown : notStored);
            }
            else {
                enqueue({ ...each, attemptsCount: each.attemptsCount + 1 });
            }
        }
    };

    const flush = (): void => {
        isScheduled = false;
        while (waiting.length > 0) {
            const batch = new Map<string, WaitingKey>();
            const rest: WaitingKey[] = [];
            // Writes of which one depends on the other's key exclude each other, and all of a batch take effect together.
            const keys = new Set<string>();
            let batchEntries = 0;
            for (const each of waiting) {
                const same = batch.get(each.key);
                if (same) {
                    batch.set(each.key, {
                        ...same,
                        mayBeApplied: same.mayBeApplied || each.mayBeApplied,
                        settle: joinSettle(same, each),
                    });
                }
                else if (batchEntries + entriesCount(each) <= maxBatchEntries && !guardsOf(each).some(({ key }) => keys.has(key))) {
                    batch.set(each.key, each);
                    batchEntries += entriesCount(each);
                    guardsOf(each).forEach(({ key }) => keys.add(key));
                }
                else {
                    rest.push(each);
                }
            }
            waiting = rest;
            void writeBatch([...batch.values()]);
        }
    };
    const joinSettle = (first: WaitingKey, second: WaitingKey) => (result: CommitResult): void => {
        first.settle(result);
        if (result.outcome === commitOutcomes.blocked && !dependOnSame(first, second)) {
            enqueue(second);
        }
        else {
            second.settle(result);
        }
    };
    const enqueue = (each: WaitingKey): void => {
        waiting.push(each);
        if (!isScheduled) {
            isScheduled = true;
            timers.after(batchWindowMs, flush);
        }
    };

    const write: GroupCommit["write"] = (key, value, expectedRevision, companion) =>
        new Promise(settle => enqueue({ key, value, expectedRevision, companion, attemptsCount: 1, mayBeApplied: false, settle }));
    return { create: (key, value) => write(key, value, 0), write };
}
