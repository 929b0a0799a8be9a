/**
 * Elects the process that owns the scheduling. The owner key is attached to a lease; its creation revision is the fencing
 * token of every command that the owner sends. The term key has no lease and is rewritten by each new owner. It guards the
 * owner's writes, and tells an owner that recovers from an outage whether another process has owned the scheduling meanwhile.
 */
import { describeError } from "../common/describeError.js";
import type { Result } from "../common/results.js";
import { delay, type TimerService } from "../common/timerService.js";
import type { PlatformStore, StoreError, SwapOutcome } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { createOwnerDocuments, type Handover, type OwnerDocument } from "./ownerDocuments.js";
import type { StoreMirror } from "./storeMirror.js";
import { createUnreadableDocumentLog } from "./unreadableDocuments.js";

/** One period of ownership, from its acquisition until it is lost or acquired again. */
export interface OwnershipTerm {
    /** Fencing token; increases with each term. */
    token: number;
    /** Whether this process was also the previous owner, so that its in-memory state is still complete. */
    isContinued: boolean;
    /** From then on, no earlier owner sends commands to workers. */
    formerOwnersEndAtMs: number;
}

export interface SchedulingOwnership {
    /** Whether commands may be sent to workers now: the lease is valid, or its grace period has not ended. */
    maySendOrders(): boolean;
    /** Whether the lease is confirmed to be held. Required for actions that have effects outside the workers. */
    isLeaseValid(): boolean;
    /** Time since the lease was last confirmed to be held; `undefined` while this process is not the owner. */
    leaseAgeMs(): number | undefined;
    token(): number | undefined;
    /** Must be called whenever the mirror has applied changes. */
    onStoreChanged(): void;
    /** Must be called when a worker has rejected a command by its token: a newer owner exists, even if the mirror does not show it. */
    onFenced(): void;
    /** Gives up the current term, which could not be started here; this process may acquire the ownership again later. */
    abandon(reason: string): Promise<void>;
    /** Gives up the ownership for good, so that another process can acquire it at once. */
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
     * How long commands may still be sent after the lease has run out unconfirmed, while the store does not respond. Workers
     * reject them once a newer owner has contacted them; an owner that cannot reach a worker waits this much longer for the
     * worker's leases to expire.
     */
    gracePeriodMs: number;
    /** Delay before this process tries to acquire a vacant ownership, which lets better suited processes go first. */
    acquireDelayMs: number;
    /** Random number from 0 to 1. */
    random(): number;
    onAcquired(term: OwnershipTerm): void;
    onLost(reason: string): void;
}

interface HeldLease {
    token: number;
    leaseId: string;
    /** When the last renewal that succeeded was sent. */
    renewed: Moment;
    /** When the last renewal was sent that has not failed. */
    renewalSent: Moment;
    /** Whether the store has told that the lease has ended. */
    hasEnded: boolean;
    formerOwnersEndAtMs: number;
    /** Whether the store tells the next owner that this one is the only one that may have sent commands since. */
    isSoleOwnerRecorded: boolean;
}

const checkIntervalMs = 60;
/** Fraction of the lease duration after which it is renewed; leaves time for two failed renewals. */
const renewAfterFraction = 0.3;
/** Processes other than the last owner wait a random time up to this before they try, so that they do not all write at once. */
const maxStaggerMs = 80;
const handoverRetryDelayMs = 1_000;

export function createSchedulingOwnership(options: SchedulingOwnershipOptions): SchedulingOwnership {
    const { store, timers, logger, signal } = options;
    const startedAtMs = timers.nowMs();
    const own: OwnerDocument = { memberId: options.memberId, nodeName: options.nodeName };
    const documents = createOwnerDocuments(own, options.mirror, createUnreadableDocumentLog(logger, timers.nowMs));
    let held: HeldLease | undefined;
    /** Revision of this process's last write of the term key. */
    let ownTermRevision = 0;
    /** Revision of the term key that the last attempt to acquire the ownership replaces. */
    let replacedTermRevision = 0;
    let isReleased = false;
    let vacantSinceMs: number | undefined;
    const chooseStaggerMs = (): number => options.acquireDelayMs + options.random() * maxStaggerMs;
    let staggerMs = chooseStaggerMs();

    const logUnexpectedError = (error: unknown): void =>
        logger.log(logEvents.unexpectedError, { where: "scheduling ownership", error: describeError(error) });
    const now = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    /** The time by whichever clock shows more: on a suspended VM the monotonic clock stops, the wall clock does not. */
    const timeSinceMs = ({ nowMs, wallMs }: Moment): number => Math.max(timers.nowMs() - nowMs, timers.wallClockMs() - wallMs);
    const isLeaseValid = (): boolean => held !== undefined && timeSinceMs(held.renewed) < options.leaseMs;

    const loseOwnership = (reason: string): void => {
        if (held) {
            held = undefined;
            logger.log(logEvents.schedulingOwnershipLost, { reason });
            options.onLost(reason);
        }
    };

    /** The mirror may show an attempt of this process to continue its term before the response to it arrives, or without one. */
    const recognizeOwnTerm = (): void => {
        if (replacedTermRevision === ownTermRevision && documents.isOwn(jobKeys.term)) {
            ownTermRevision = Math.max(ownTermRevision, options.mirror().revisionOf(jobKeys.term));
        }
    };
    /** Revision of the owner key if a previous process of this node wrote it; otherwise 0. */
    const staleOwnerRevision = (): number => documents.isByPreviousProcess(jobKeys.owner) ? options.mirror().revisionOf(jobKeys.owner) : 0;

    /** A time at which the owners up to the term of this revision had all ended; `undefined` if one may still send commands. */
    const findFormerOwnersEndMs = (termRevision: number): number | undefined => {
        const { token, hasEnded } = documents.readHandover();
        if (termRevision === 0 || (token === termRevision && hasEnded === true)) {
            return timers.nowMs();
        }
        return token === termRevision && documents.isByPreviousProcess(jobKeys.term) ? startedAtMs : undefined;
    };
    const writeHandover = async (lease: HeldLease, hasEnded: boolean): Promise<Result<SwapOutcome, StoreError>> => {
        const handover: Handover = { token: lease.token, hasEnded };
        return store.swap([{ key: jobKeys.term, expectedRevision: lease.token }], [
            { key: jobKeys.handover, value: JSON.stringify(handover) },
            ...(hasEnded ? [{ key: jobKeys.owner, value: undefined }] : []),
        ]);
    };
    const recordSoleOwner = async (lease: HeldLease): Promise<void> => {
        await delay(timers, Math.max(0, lease.formerOwnersEndAtMs - timers.nowMs()), signal);
        while (held === lease && !signal.aborted) {
            const written = await writeHandover(lease, false);
            if (written.ok) {
                lease.isSoleOwnerRecorded = written.val.isSwapped;
                return;
            }
            await delay(timers, handoverRetryDelayMs, signal);
        }
    };

    const acquire = async (): Promise<void> => {
        const mirror = options.mirror();
        const expectedOwnerRevision = held ? 0 : staleOwnerRevision();
        const termRevision = mirror.revisionOf(jobKeys.term);
        const isContinued = ownTermRevision !== 0 && ownTermRevision === termRevision;
        replacedTermRevision = termRevision;
        const formerOwnersEndedAtMs = findFormerOwnersEndMs(termRevision);
        const sent = now();
        const lease = await store.grantLease(options.leaseMs / 1000);
        if (lease.err) {
            return;
        }
        const value = JSON.stringify(own);
        const swapped = await store.swap([
            { key: jobKeys.owner, expectedRevision: expectedOwnerRevision },
            { key: jobKeys.term, expectedRevision: termRevision },
        ], [{ key: jobKeys.owner, value, leaseId: lease.val }, { key: jobKeys.term, value }]);
        if (swapped.err || !swapped.val.isSwapped || isReleased) {
            // If only the response was lost, the owner key exists until its lease ends, but no process acts as owner by it. A process
            // that was told to stop in the meantime must not become the owner, since nothing would renew or release its lease.
            await store.revokeLease(lease.val);
            return;
        }
        ownTermRevision = swapped.val.revision;
        const formerOwnersEndAtMs = (isContinued ? held?.formerOwnersEndAtMs : undefined) ?? formerOwnersEndedAtMs ??
            timers.nowMs() + options.gracePeriodMs;
        held = {
            token: swapped.val.revision,
            leaseId: lease.val,
            renewed: sent,
            renewalSent: sent,
            hasEnded: false,
            formerOwnersEndAtMs,
            isSoleOwnerRecorded: false,
        };
        const formerOwnersEndInMs = Math.round(formerOwnersEndAtMs - timers.nowMs());
        logger.log(logEvents.schedulingOwnershipAcquired, { token: held.token, isContinued, formerOwnersEndInMs });
        void recordSoleOwner(held);
        try {
            options.onAcquired({ token: held.token, isContinued, formerOwnersEndAtMs });
        }
        catch (error) {
            await abandon(`the term could not be started: ${describeError(error)}`);
        }
    };

    const abandon = async (reason: string): Promise<void> => {
        const term = held;
        loseOwnership(reason);
        if (term?.isSoleOwnerRecorded) {
            await writeHandover(term, true);
        }
        if (term) {
            await store.revokeLease(term.leaseId);
        }
    };

    const renew = async (lease: HeldLease): Promise<void> => {
        const sent = now();
        lease.renewalSent = sent;
        const kept = await store.keepLeaseAlive(lease.leaseId);
        if (kept.err) {
            lease.renewalSent = lease.renewed;
        }
        else if (!kept.val) {
            lease.hasEnded = true;
        }
        else if (sent.nowMs > lease.renewed.nowMs) {
            lease.renewed = sent;
        }
    };

    const renewIfDue = async (lease: HeldLease): Promise<void> => {
        if (lease.hasEnded) {
            // For example during an outage. This process continues unless another one was the owner meanwhile.
            await acquire();
            return;
        }
        if (timeSinceMs(lease.renewalSent) >= options.leaseMs * renewAfterFraction) {
            // Not awaited: a process that is late handles the response late, and must renew the lease again before.
            renew(lease).catch(logUnexpectedError);
        }
    };

    const tryAcquire = async (): Promise<void> => {
        const mirror = options.mirror();
        if (mirror.revision() === 0) {
            return;
        }
        if (mirror.revisionOf(jobKeys.owner) !== 0) {
            vacantSinceMs = undefined;
            if (staleOwnerRevision() !== 0) {
                await acquire();
            }
            return;
        }
        vacantSinceMs ??= timers.nowMs();
        if (timers.nowMs() - vacantSinceMs >= staggerMs) {
            staggerMs = chooseStaggerMs();
            await acquire();
        }
    };

    const onStoreChanged = (): void => {
        recognizeOwnTerm();
        const termRevision = options.mirror().revisionOf(jobKeys.term);
        if (held && termRevision > ownTermRevision) {
            loseOwnership("another process has acquired the ownership");
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted && !isReleased) {
            // After an error, the lease must be renewed all the same.
            await (held ? renewIfDue(held) : tryAcquire()).catch(logUnexpectedError);
            await delay(timers, checkIntervalMs, signal);
        }
    };
    void run();

    return {
        isLeaseValid,
        maySendOrders: () => held !== undefined && timeSinceMs(held.renewed) < options.leaseMs + options.gracePeriodMs,
        leaseAgeMs: () => held && Math.round(timeSinceMs(held.renewed)),
        token: () => held?.token,
        onStoreChanged,
        onFenced: () => loseOwnership("a worker has received commands from a newer owner"),
        abandon,
        release: async () => {
            isReleased = true;
            await abandon("the process is stopping");
        },
    };
}
