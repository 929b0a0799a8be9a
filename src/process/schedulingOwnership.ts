/**
 * Which process schedules. The owner's key stands under a lease; the revision of its creation is the fencing token of all
 * its orders. A second key without a lease, rewritten by each owner, guards the owner's writes and tells an owner that
 * returns after an outage whether another came between.
 */
import { delay, type TimerService } from "../common/timerService.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { StoreMirror } from "./storeMirror.js";

/** A term of ownership. */
export interface OwnershipTerm {
    /** Fencing token; rises with each term. */
    token: number;
    /** Whether the owner before was this process too, so that what it holds in memory is still complete. */
    isContinued: boolean;
}

export interface SchedulingOwnership {
    /** Whether orders may be given now. */
    maySendOrders(): boolean;
    /** The lease is proven to be held, so that duties with effects outside the workers may be carried out. */
    isLeaseValid(): boolean;
    token(): number | undefined;
    /** Must be called when the mirror has applied changes. */
    onStoreChanged(): void;
    /** A worker has refused an order for its token: another process has taken over, whatever the store says here. */
    onFenced(): void;
    /** Gives up the ownership, so that another process takes over at once. */
    release(): Promise<void>;
}

export interface SchedulingOwnershipOptions {
    memberId: string;
    nodeName: string;
    store: PlatformStore;
    mirror(): StoreMirror;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    leaseMs: number;
    /**
     * How long orders go on without a proof while the store does not answer. Workers refuse them as soon as another owner
     * has called them; an owner that cannot reach a worker waits this much longer for its leases to end.
     */
    gracePeriodMs: number;
    /** Time for which this process leaves a vacant duty to others that are better placed. */
    acquireDelayMs: number;
    /** Random number from 0 to 1. */
    random(): number;
    onAcquired(term: OwnershipTerm): void;
    onLost(reason: string): void;
}

interface HeldTerm {
    token: number;
    leaseId: string;
    /** When the last successful renewal was sent, by the steady clock and by the wall clock. */
    renewedAtMs: number;
    renewedWallMs: number;
}

const checkIntervalMs = 60;
/** Part of the lease after which it is renewed: two renewals may fail. */
const renewAfterPart = 0.3;
/** Processes other than the last owner wait up to this long before they try, so that they do not all write at once. */
const longestStaggerMs = 80;

export function createSchedulingOwnership(options: SchedulingOwnershipOptions): SchedulingOwnership {
    const { store, timers, logger, signal } = options;
    let held: HeldTerm | undefined;
    /** Revision of the term key that this process wrote last. */
    let ownTermRevision = 0;
    let isReleased = false;
    let vacantSinceMs: number | undefined;
    const chooseStaggerMs = (): number => options.acquireDelayMs + options.random() * longestStaggerMs;
    let staggerMs = chooseStaggerMs();

    /** Time since the renewal; a suspended VM's steady clock stands still, its wall clock does not. */
    const sinceRenewalMs = (term: HeldTerm): number =>
        Math.max(timers.nowMs() - term.renewedAtMs, timers.wallClockMs() - term.renewedWallMs);
    const isProven = (): boolean => held !== undefined && sinceRenewalMs(held) < options.leaseMs;

    const lose = (reason: string): void => {
        if (held) {
            held = undefined;
            logger.log(logEvents.schedulingOwnershipLost, { reason });
            options.onLost(reason);
        }
    };

    /** Revision of the owner's key if an earlier life of this very process wrote it, which surely is over. */
    const ownFormerRevision = (): number => {
        const owner = options.mirror().valueOf(jobKeys.owner);
        if (owner === undefined) {
            return 0;
        }
        try {
            const { memberId, nodeName } = JSON.parse(owner) as { memberId: string; nodeName: string };
            return nodeName === options.nodeName && memberId !== options.memberId ?
                options.mirror().revisionOf(jobKeys.owner) :
                0;
        }
        catch (error) {
            logger.log(logEvents.documentUnreadable, { key: jobKeys.owner, reason: String(error) });
            return 0;
        }
    };

    const take = async (): Promise<void> => {
        const mirror = options.mirror();
        const formerRevision = held ? 0 : ownFormerRevision();
        const termRevision = mirror.revisionOf(jobKeys.term);
        const sentAtMs = timers.nowMs();
        const sentWallMs = timers.wallClockMs();
        const lease = await store.grantLease(options.leaseMs / 1000);
        if (lease.err) {
            return;
        }
        const value = JSON.stringify({ memberId: options.memberId, nodeName: options.nodeName });
        const swapped = await store.swap([
            { key: jobKeys.owner, expectedRevision: formerRevision },
            { key: jobKeys.term, expectedRevision: termRevision },
        ], [{ key: jobKeys.owner, value, leaseId: lease.val }, { key: jobKeys.term, value }]);
        if (swapped.err || !swapped.val.isSwapped) {
            // A lost answer leaves a key that ends with its lease, and nobody acts on it.
            await store.revokeLease(lease.val);
            return;
        }
        const isContinued = ownTermRevision !== 0 && ownTermRevision === termRevision;
        ownTermRevision = swapped.val.revision;
        held = { token: swapped.val.revision, leaseId: lease.val, renewedAtMs: sentAtMs, renewedWallMs: sentWallMs };
        logger.log(logEvents.schedulingOwnershipAcquired, { token: held.token, isContinued });
        options.onAcquired({ token: held.token, isContinued });
    };

    const renew = async (term: HeldTerm): Promise<void> => {
        if (sinceRenewalMs(term) < options.leaseMs * renewAfterPart) {
            return;
        }
        const sentAtMs = timers.nowMs();
        const sentWallMs = timers.wallClockMs();
        const kept = await store.keepLeaseAlive(term.leaseId);
        if (held !== term || kept.err) {
            return;
        }
        if (kept.val) {
            term.renewedAtMs = sentAtMs;
            term.renewedWallMs = sentWallMs;
            return;
        }
        // The lease has ended, for example during an outage; unless another came between, this process goes on.
        await take();
    };

    const tryToTake = async (): Promise<void> => {
        const mirror = options.mirror();
        if (mirror.revision() === 0) {
            return;
        }
        if (mirror.revisionOf(jobKeys.owner) !== 0) {
            vacantSinceMs = undefined;
            if (ownFormerRevision() !== 0) {
                await take();
            }
            return;
        }
        vacantSinceMs ??= timers.nowMs();
        if (timers.nowMs() - vacantSinceMs >= staggerMs) {
            staggerMs = chooseStaggerMs();
            await take();
        }
    };

    const onStoreChanged = (): void => {
        const termRevision = options.mirror().revisionOf(jobKeys.term);
        if (held && termRevision > ownTermRevision) {
            lose("another process has taken over");
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted && !isReleased) {
            if (held) {
                await renew(held);
            }
            else {
                await tryToTake();
            }
            await delay(timers, checkIntervalMs, signal);
        }
    };
    void run();

    return {
        isLeaseValid: isProven,
        maySendOrders: () => held !== undefined && sinceRenewalMs(held) < options.leaseMs + options.gracePeriodMs,
        token: () => held?.token,
        onStoreChanged,
        onFenced: () => lose("a worker has had orders from a later owner"),
        release: async () => {
            isReleased = true;
            const term = held;
            lose("the process stops");
            if (term) {
                await store.revokeLease(term.leaseId);
            }
        },
    };
}
