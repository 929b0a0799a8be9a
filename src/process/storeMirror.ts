/** In-memory copy of the keys below a prefix of the store, kept up to date by one change feed. */
import { describeError } from "../common/describeError.js";
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore, FollowOptions, StoreChange, StoredValue } from "../connection/platformStore.js";

export interface MirroredValue extends StoredValue {
    /** When this process received the value, which is after it was written. */
    receivedAtMs: number;
}

export interface StoreMirror {
    /** Revision up to which the mirror is complete. */
    revision(): number;
    /** Time since the mirror was last confirmed to be complete; `undefined` before the first confirmation. */
    ageMs(): number | undefined;
    /** The entries whose keys start with the prefix. */
    values(prefix: string): MirroredValue[];
    valueOf(key: string): string | undefined;
    /** 0 if the key does not exist. */
    revisionOf(key: string): number;
    /** When this process received the key's value; `undefined` if the key does not exist. */
    receivedAtMsOf(key: string): number | undefined;
    /** Applies a change that was learned before the change feed delivered it. */
    learn(change: StoreChange): void;
}

export interface StoreMirrorOptions extends FollowOptions {
    store: ChangeFeedStore;
    prefix: string;
    timers: TimerService;
    signal: AbortSignal;
    /**
     * Called for each change in the order of revisions; after a gap in the feed, for the differences to the mirrored state. `mayLackEarlier`:
     * the value was read at the beginning or after a gap, and may have replaced others that were never passed in.
     */
    onChange(change: StoreChange, mayLackEarlier: boolean): void;
    /** `onChange` has thrown for the key's change, which is not passed in again; later changes are. */
    onChangeFailed(key: string, reason: string): void;
    /** Called after each batch of changes has been applied. */
    onBatchApplied(): void;
    /** Called whenever the mirror was confirmed to be current, with or without changes. */
    onConfirmed(): void;
}

export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
    const { store, timers } = options;
    const entries = new Map<string, Omit<MirroredValue, "key">>();
    let revision = 0;
    let confirmedAtMs: number | undefined;

    const apply = (change: StoreChange, mayLackEarlier: boolean): void => {
        const known = entries.get(change.key);
        if (known && known.revision >= change.revision) {
            return;
        }
        if (change.value === undefined) {
            if (!known) {
                return;
            }
            entries.delete(change.key);
        }
        else {
            entries.set(change.key, { value: change.value, revision: change.revision, receivedAtMs: timers.nowMs() });
        }
        try {
            options.onChange(change, mayLackEarlier);
        }
        catch (error) {
            // Other keys must be followed all the same.
            options.onChangeFailed(change.key, describeError(error));
        }
    };

    store.followChanges(options.prefix, options.signal, {
        onSnapshot: (values, atRevision) => {
            const present = new Set(values.map(value => value.key));
            for (const key of [...entries.keys()].filter(each => !present.has(each))) {
                apply({ key, value: undefined, revision: atRevision }, true);
            }
            [...values].sort((a, b) => a.revision - b.revision).forEach(value => apply(value, true));
            revision = Math.max(revision, atRevision);
            options.onBatchApplied();
        },
        onChanges: (changes, atRevision) => {
            changes.forEach(change => apply(change, false));
            revision = Math.max(revision, atRevision);
            options.onBatchApplied();
        },
        onUpToDate: currentSinceMs => {
            confirmedAtMs = Math.max(confirmedAtMs ?? currentSinceMs, currentSinceMs);
            options.onConfirmed();
        },
    }, options);

    return {
        revision: () => revision,
        ageMs: () => confirmedAtMs === undefined ? undefined : timers.nowMs() - confirmedAtMs,
        values: prefix => [...entries].filter(([key]) => key.startsWith(prefix)).map(([key, each]) => ({ key, ...each })),
        valueOf: key => entries.get(key)?.value,
        revisionOf: key => entries.get(key)?.revision ?? 0,
        receivedAtMsOf: key => entries.get(key)?.receivedAtMs,
        learn: change => {
            // The feed has shown what has become of an earlier one, which may be deleted by now.
            if (change.revision > revision) {
                apply(change, true);
            }
        },
    };
}
