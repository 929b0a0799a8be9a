/** Interface to the platform's key-value service: reads, compare-and-swap, leases and watches. */
import type { Result } from "../common/results.js";

/** A value and the revision of its last write, which a compare-and-swap refers to. */
export interface StoredValue {
    key: string;
    value: string;
    /** Revision of the last write of the key; 0 if the key does not exist. */
    revision: number;
}

/** One write of a transaction. */
export interface StoreWrite {
    key: string;
    /** The new value; `undefined` deletes the key. */
    value: string | undefined;
    /** Lease to which the key is bound: the key is deleted when the lease ends. */
    leaseId?: string;
}

/** A precondition of a transaction: the key has the expected revision (0: it does not exist). */
export interface StoreGuard {
    key: string;
    expectedRevision: number;
}

/** Outcome of a transaction whose response was received. */
export interface SwapOutcome {
    isSwapped: boolean;
    /** Revision of the transaction, if it was applied. */
    revision: number;
    /** Current values of the guarded keys, if it was not applied. */
    current: StoredValue[];
}

/** A call without a usable response. A write may nevertheless have been applied. */
export interface StoreError {
    /** Name of the call, for example `read`. */
    call: string;
    reason: string;
    /** Whether it is certain that the call was not applied and never will be. */
    isKnownNotApplied?: boolean;
    /** Size of the part of the response that was received. */
    receivedBytes?: number;
}

/** How a read was answered. */
export interface ReadAnswer {
    /** Revision of the store when it answered, if the response contains it. */
    storeRevision: number | undefined;
    durationMs: number;
    /** Process that passed the call on, if it was not made directly. */
    neighbour: string | undefined;
}

/** One change of a key; a value of `undefined` means that the key was deleted. */
export interface StoreChange {
    key: string;
    value: string | undefined;
    revision: number;
}

/** Receives the contents of a prefix and its changes, in order of revision. */
export interface ChangeFeedObserver {
    /** Called with all values of the prefix, at first and whenever changes may have been missed. */
    onSnapshot(values: readonly StoredValue[], revision: number): void;
    onChanges(changes: readonly StoreChange[], revision: number): void;
    /** Called when the observer has received all changes made before `currentSinceMs`. */
    onUpToDate(currentSinceMs: number): void;
}

export interface FollowOptions {
    /** Pause between two calls, which batches changes. */
    pauseMs(): number;
    /**
     * After a gap of this length the values are read anew instead of their changes; by default, never. For values that are few
     * but change often: their history is then larger than they are.
     */
    rereadAfterMs?: number;
}

/** A store that delivers individual changes, for prefixes too large to deliver completely on each change. */
export interface ChangeFeedStore extends PlatformStore {
    /** Follows a prefix until `signal` aborts. */
    followChanges(prefix: string, signal: AbortSignal, feed: ChangeFeedObserver, options: FollowOptions): void;
    /** Time since the last successful response of the store; `undefined` before the first one. */
    unresponsiveForMs(): number | undefined;
}

export interface PlatformStore {
    /** Calls `onAnswered` when a response was received, if the store can tell how. */
    read(key: string, onAnswered?: (answer: ReadAnswer) => void): Promise<Result<StoredValue | undefined, StoreError>>;
    readPrefix(prefix: string): Promise<Result<StoredValue[], StoreError>>;
    /** Applies all writes if all guards hold, otherwise none. */
    swap(guards: StoreGuard[], writes: StoreWrite[]): Promise<Result<SwapOutcome, StoreError>>;
    /**
     * Calls `onChange` with all values of `prefix`, initially and after each change, until `signal` aborts. A read detects
     * changes that the watch has missed because it ended or stopped delivering events.
     */
    watchPrefix(prefix: string, signal: AbortSignal, onChange: (values: StoredValue[]) => void): void;
    grantLease(durationS: number): Promise<Result<string, StoreError>>;
    /** Renews a lease; returns `false` if it has ended. */
    keepLeaseAlive(leaseId: string): Promise<Result<boolean, StoreError>>;
    revokeLease(leaseId: string): Promise<Result<void, StoreError>>;
    /** Returns the number of calls made so far by name; a pending watch counts as one call. */
    callCounts(): Readonly<Record<string, number>>;
}
