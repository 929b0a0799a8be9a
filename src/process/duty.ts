/**
 * A duty that one steward at a time carries out, under a lease. Each of its writes is guarded by the duty's key, whose
 * revision is the fencing number: a holder that was paused beyond its lease can write nothing any more.
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
    /** Carries out one round; all writes must carry the guard. */
    runRound(fence: StoreGuard): Promise<void>;
    /** Called when the duty is taken anew, to forget what was noted under an earlier lease. */
    onAcquired(): void;
}

interface HeldDuty {
    leaseId: string;
    fence: StoreGuard;
    renewedAtMs: number;
}

/** Part of the lease after which it is renewed. */
const renewAfterPart = 1 / 3;

/** Starts to compete for the duty; resolves after the signal has aborted and the lease is given back. */
export async function runDuty(options: DutyOptions): Promise<void> {
    const { store, timers, logger, signal } = options;
    const key = `${storeKeys.dutiesPrefix}${options.name}`;
    const leaseMs = options.leaseS * 1000;
    let held: HeldDuty | undefined;

    const take = async (): Promise<HeldDuty | undefined> => {
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

    const renew = async (duty: HeldDuty): Promise<HeldDuty | undefined> => {
        const nowMs = timers.nowMs();
        if (nowMs - duty.renewedAtMs < leaseMs * renewAfterPart) {
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
        held = held ? await renew(held) : await take();
        if (held) {
            await options.runRound(held.fence);
        }
        await delay(timers, options.intervalMs, signal);
    }
    if (held) {
        await store.revokeLease(held.leaseId);
    }
}
