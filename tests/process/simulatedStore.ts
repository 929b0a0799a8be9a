/** A store in memory for simulations. Its calls can be late or lost; a call without an answer may still be executed later. */
import type { SeededRandom } from "../../harness/random.js";
import { Err, Ok, type Result } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type {
    ChangeFeedStore,
    StoreChange,
    StoredValue,
    StoreError,
    StoreGuard,
    StoreWrite,
    SwapOutcome,
} from "../../src/connection/platformStore.js";
import { jobKeys } from "../../src/scheduling/jobDocuments.js";

export interface SimulatedStore {
    /** All changes, in the order of their revisions. */
    changes: StoreChange[];
    revision(): number;
    valueOf(key: string): string | undefined;
    /** Writes without guards, as other writers do. */
    put(key: string, value: string): void;
    /**
     * The view of one process, whose calls have faults while `hasFaults` returns `true`. With `chooseWriteFault`, it decides about the faults of
     * writes instead, by the keys that they write.
     */
    connect(hasFaults: () => boolean, chooseWriteFault?: (keys: readonly string[]) => WriteFault | undefined): ChangeFeedStore;
}

/** What happens to a write whose response is late or lost. */
export interface WriteFault {
    /** After how long the store executes the write, if its guards still hold then; `undefined` if it never does. */
    executedAfterMs: number | undefined;
    /** After how long the response arrives; `undefined` if the call fails after its timeout. */
    respondedAfterMs?: number | undefined;
}

const callTimeoutMs = 1_200;
const callDurationMs = 5;
const maxLatenessMs = 2_500;

/** With `leavesProgressUnanswered`, a deliberate fault, a lost answer to a write of progress is never reported as a failure. */
export function createSimulatedStore(timers: TimerService, random: SeededRandom, leavesProgressUnanswered: boolean): SimulatedStore {
    const items = new Map<string, { value: string; revision: number; leaseId: string | undefined }>();
    const leases = new Map<string, { durationMs: number; endsAtMs: number }>();
    const changes: StoreChange[] = [];
    let revision = 1;
    let nextLeaseId = 1;

    const apply = ({ key, value, leaseId }: StoreWrite): void => {
        if (value === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, { value, revision, leaseId });
        }
        changes.push({ key, value, revision });
    };
    const endLease = (leaseId: string): void => {
        if (leases.delete(leaseId)) {
            revision += 1;
            [...items].filter(([, item]) => item.leaseId === leaseId).forEach(([key]) => apply({ key, value: undefined }));
        }
    };
    const expireLeases = (): void => [...leases].filter(([, lease]) => lease.endsAtMs < timers.nowMs()).forEach(([id]) => endLease(id));
    const swap = (guards: StoreGuard[], writes: StoreWrite[]): SwapOutcome => {
        if (guards.some(guard => (items.get(guard.key)?.revision ?? 0) !== guard.expectedRevision)) {
            const current = guards.flatMap(({ key }): StoredValue[] => {
                const item = items.get(key);
                return item ? [{ key, ...item }] : [];
            });
            return { isSwapped: false, revision: 0, current };
        }
        revision += 1;
        writes.forEach(apply);
        return { isSwapped: true, revision, current: [] };
    };

    /** Executes a call at some time and answers it at another, or not at all. */
    const call = <T>(hasFaults: boolean, execute: () => T, isFailureReported = true): Promise<Result<T, StoreError>> =>
        new Promise(resolve => {
            const fail = (isKnownNotApplied: boolean): void => resolve(Err({ call: "call", reason: "fault", isKnownNotApplied }));
            const fault = hasFaults ? random.between(0, 9) : 0;
            if (fault <= 5) {
                const latenessMs = hasFaults ? random.between(0, 400) : 0;
                timers.after(callDurationMs, () => {
                    expireLeases();
                    const value = execute();
                    timers.after(latenessMs, () => resolve(Ok(value)));
                });
                return;
            }
            if (fault === 6) {
                timers.after(callDurationMs, () => fail(true));
                return;
            }
            if (isFailureReported) {
                timers.after(callTimeoutMs, () => fail(false));
            }
            if (fault <= 8) {
                timers.after(random.between(0, maxLatenessMs), () => {
                    expireLeases();
                    execute();
                });
            }
        });

    const callWithFault = <T>(execute: () => T, { executedAfterMs, respondedAfterMs }: WriteFault): Promise<Result<T, StoreError>> =>
        new Promise(resolve => {
            const isAnswered = executedAfterMs !== undefined && respondedAfterMs !== undefined && respondedAfterMs < callTimeoutMs;
            if (executedAfterMs !== undefined) {
                timers.after(executedAfterMs, () => {
                    expireLeases();
                    const value = execute();
                    if (isAnswered) {
                        timers.after(Math.max(0, respondedAfterMs - executedAfterMs), () => resolve(Ok(value)));
                    }
                });
            }
            if (!isAnswered) {
                timers.after(callTimeoutMs, () => resolve(Err({ call: "call", reason: "fault", isKnownNotApplied: false })));
            }
        });

    return {
        changes,
        revision: () => {
            expireLeases();
            return revision;
        },
        valueOf: key => items.get(key)?.value,
        put: (key, value) => {
            revision += 1;
            apply({ key, value });
        },
        connect: (hasFaults, chooseWriteFault) =>
            ({
                swap: (guards: StoreGuard[], writes: StoreWrite[]) => {
                    const execute = (): SwapOutcome => {
                        const isLeaseEnded = writes.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId));
                        return isLeaseEnded ? { isSwapped: false, revision: 0, current: [] } : swap(guards, writes);
                    };
                    const fault = chooseWriteFault?.(writes.map(({ key }) => key));
                    if (fault) {
                        return callWithFault(execute, fault);
                    }
                    const isFailureReported = !leavesProgressUnanswered ||
                        !writes.some(({ key }) => key.startsWith(jobKeys.progressPrefix));
                    return call(hasFaults() && !chooseWriteFault, execute, isFailureReported);
                },
                grantLease: (durationS: number) =>
                    call(hasFaults(), () => {
                        const leaseId = String(nextLeaseId++);
                        leases.set(leaseId, { durationMs: durationS * 1_000, endsAtMs: timers.nowMs() + durationS * 1_000 });
                        return leaseId;
                    }),
                keepLeaseAlive: (leaseId: string) =>
                    call(hasFaults(), () => {
                        const lease = leases.get(leaseId);
                        if (lease) {
                            lease.endsAtMs = timers.nowMs() + lease.durationMs;
                        }
                        return lease !== undefined;
                    }),
                revokeLease: (leaseId: string) => call(hasFaults(), () => endLease(leaseId)),
            }) as unknown as ChangeFeedStore,
    };
}
