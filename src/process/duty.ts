/**
 * Runs a duty on one steward at a time, elected by a lease. Every write is guarded by the duty's key, whose revision
 * serves as the fencing token: an owner that was paused beyond its lease can no longer write.
 */
import { describeError } from "../common/describeError.js";
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
    /** Aborts when the duty is lost. */
    lifetime: AbortController;
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
        const fence = { key, expectedRevision: swapped.val.revision };
        return { leaseId: lease.val, fence, renewedAtMs, lifetime: new AbortController() };
    };

    const renew = async (duty: DutyLease): Promise<void> => {
        const sentAtMs = timers.nowMs();
        const alive = await store.keepLeaseAlive(duty.leaseId);
        if (alive.ok && alive.val) {
            duty.renewedAtMs = Math.max(duty.renewedAtMs, sentAtMs);
        }
        else if (alive.ok || sentAtMs - duty.renewedAtMs >= leaseMs) {
            lose(duty);
        }
    };
    const lose = (duty: DutyLease): void => {
        if (held === duty) {
            held = undefined;
            duty.lifetime.abort();
            logger.log(logEvents.dutyLost, { duty: options.name });
        }
    };
    /** Renews the lease beside the rounds: these may wait for the store for longer than the lease lasts. */
    const startRenewing = (duty: DutyLease): void => {
        const whileHeld = AbortSignal.any([signal, duty.lifetime.signal]);
        timers.every(
            leaseMs * renewAfterFraction,
            whileHeld,
            () =>
                void renew(duty).catch((error: unknown) =>
                    logger.log(logEvents.unexpectedError, { where: `renewal of the duty ${options.name}`, error: describeError(error) })
                ),
        );
    };

    while (!signal.aborted) {
        if (!held) {
            held = await acquire();
            if (held && !signal.aborted) {
                startRenewing(held);
            }
        }
        if (held) {
            await options.runRound(held.fence);
        }
        await delay(timers, options.intervalMs, signal);
    }
    if (held) {
        await store.revokeLease(held.leaseId);
    }
}
