/** A process's copy of all that the store holds for it, kept up to date by one feed. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore, StoreChange } from "../connection/platformStore.js";

export interface StoreMirror {
    /** Revision up to which the copy is complete. */
    revision(): number;
    /** Time since the copy was last known to be complete; `undefined` before the first. */
    ageMs(): number | undefined;
    /** The values below a prefix. */
    values(prefix: string): { key: string; value: string; revision: number }[];
    valueOf(key: string): string | undefined;
    /** 0 where the key does not exist. */
    revisionOf(key: string): number;
}

export interface StoreMirrorOptions {
    store: ChangeFeedStore;
    prefix: string;
    timers: TimerService;
    signal: AbortSignal;
    /** Pause between two calls of the feed. */
    pauseMs(): number;
    /** Each change, in the order of revisions; after a gap, the differences to what was held. */
    onChange(change: StoreChange): void;
    /** A batch of changes is complete. */
    onBatchApplied(): void;
}

export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
    const { store, timers } = options;
    const held = new Map<string, { value: string; revision: number }>();
    let revision = 0;
    let confirmedAtMs: number | undefined;

    const apply = (change: StoreChange): void => {
        const known = held.get(change.key);
        if (known && known.revision >= change.revision) {
            return;
        }
        if (change.value === undefined) {
            if (!known) {
                return;
            }
            held.delete(change.key);
        }
        else {
            held.set(change.key, { value: change.value, revision: change.revision });
        }
        options.onChange(change);
    };

    store.followChanges(options.prefix, options.signal, {
        onSnapshot: (values, atRevision) => {
            const present = new Set(values.map(value => value.key));
            for (const key of [...held.keys()].filter(each => !present.has(each))) {
                apply({ key, value: undefined, revision: atRevision });
            }
            [...values].sort((a, b) => a.revision - b.revision).forEach(apply);
            revision = Math.max(revision, atRevision);
            options.onBatchApplied();
        },
        onChanges: (changes, atRevision) => {
            changes.forEach(apply);
            revision = Math.max(revision, atRevision);
            options.onBatchApplied();
        },
        onUpToDate: sentAtMs => {
            confirmedAtMs = Math.max(confirmedAtMs ?? sentAtMs, sentAtMs);
        },
    }, options.pauseMs);

    return {
        revision: () => revision,
        ageMs: () => confirmedAtMs === undefined ? undefined : timers.nowMs() - confirmedAtMs,
        values: prefix => [...held].filter(([key]) => key.startsWith(prefix)).map(([key, each]) => ({ key, ...each })),
        valueOf: key => held.get(key)?.value,
        revisionOf: key => held.get(key)?.revision ?? 0,
    };
}
