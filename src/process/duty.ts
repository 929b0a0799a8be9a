/**
 * Runs a duty on one steward at a time, elected by a lease. Every write is guarded by the duty's key, whose revision
 * serves as the fencing token: an owner that was paused beyond its lease can no longer write.
 */
import { delay, type TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore, StoreGuard } from "../connection/platformStore.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface DutyOptions {
    name: string;
    memberId: string;
    leaseS: number;
    intervalMs: number;
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    /** Runs one round of the duty; every write must include `fence` as a guard. */
    runRound(fence: StoreGuard): Promise<void>;
    /** Called when the duty is acquired, to discard state from an earlier lease. */
    onAcquired(): void;
}

interface DutyLease {
    leaseId: string;
    fence: StoreGuard;
    renewedAtMs: number;
}

/** Fraction of the lease duration after which it is renewed. */
const renewAfterFraction = 1 / 3;

/** Competes for the duty; resolves after the signal has aborted and the lease is revoked. */
export async function runDuty(options: DutyOptions): Promise<void> {
    const { store, timers, logger, signal } = options;
    const key = `${storeKeys.dutiesPrefix}${options.name}`;
    const leaseMs = options.leaseS * 1000;
    let held: DutyLease | undefined;

    const acquire = async (): Promise<DutyLease | undefined> => {
        const present = await store.read(key);
        if (present.err || present.val) {
            return undefined;
        }
        const renewedAtMs = timers.nowMs();
        const lease = await store.grantLease(options.leaseS);
        if (lease.err) {
            return undefined;
        }
        const swapped = await store.swap([{ key, expectedRevision: 0 }], [{ key, value: options.memberId, leaseId: lease.val }]);
        if (swapped.err || !swapped.val.isSwapped) {
            return undefined;
        }
        options.onAcquired();
        logger.log(logEvents.dutyAcquired, { duty: options.name, fence: swapped.val.revision });
        return { leaseId: lease.val, fence: { key, expectedRevision: swapped.val.revision }, renewedAtMs };
    };

    const renew = async (duty: DutyLease): Promise<DutyLease | undefined> => {
        const nowMs = timers.nowMs();
        if (nowMs - duty.renewedAtMs < leaseMs * renewAfterFraction) {
            return duty;
        }
        const alive = await store.keepLeaseAlive(duty.leaseId);
        if (alive.ok && alive.val) {
            return { ...duty, renewedAtMs: nowMs };
        }
        if (alive.err && nowMs - duty.renewedAtMs < leaseMs) {
            return duty;
        }
        logger.log(logEvents.dutyLost, { duty: options.name });
        return undefined;
    };

    while (!signal.aborted) {
        held = held ? await renew(held) : await acquire();
        if (held) {
            await options.runRound(held.fence);
        }
        await delay(timers, options.intervalMs, signal);
    }
    if (held) {
        await store.revokeLease(held.leaseId);
    }
}
