/**
 * Guards against a process that becomes the owner while it is stopping, an owner whose term cannot be started, and one that is replaced
 * because it is late itself.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import { createManualTimerService, type ManualTimerService } from "../../src/common/timerService.js";
import type { PlatformStore, StoreGuard, StoreWrite, SwapOutcome } from "../../src/connection/platformStore.js";
import { type LogEvent, logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger } from "../../src/process/logger.js";
import {
    createSchedulingOwnership,
    type OwnershipTerm,
    type SchedulingOwnership,
    type SchedulingOwnershipOptions,
} from "../../src/process/schedulingOwnership.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import { jobKeys } from "../../src/scheduling/jobDocuments.js";

/** A process that finds the ownership vacant. */
const createOwnership = (
    options: Pick<SchedulingOwnershipOptions, "store" | "timers" | "signal" | "onAcquired"> & Partial<SchedulingOwnershipOptions>,
): SchedulingOwnership =>
    createSchedulingOwnership({
        memberId: "member",
        nodeName: "node",
        mirror: () => ({ revision: () => 1, revisionOf: () => 0, valueOf: () => undefined }) as unknown as StoreMirror,
        logger: createSilentLogger(),
        leaseMs: 1_800,
        gracePeriodMs: 4_000,
        acquireDelayMs: 0,
        random: () => 0,
        onLost: () => undefined,
        ...options,
    });

/** Lets the process check its ownership as many times. */
async function passChecks(timers: ManualTimerService, count: number): Promise<void> {
    for (let check = 0; check < count; check++) {
        await new Promise(resolve => setImmediate(resolve));
        timers.advance(60);
    }
}

describe("scheduling ownership", () => {
    it("should not be acquired by a process that was told to stop while its attempt was under way", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        const acquiredTokens: number[] = [];
        const endedLeases: string[] = [];
        let answerSwap: ((outcome: SwapOutcome) => void) | undefined;
        const store = {
            grantLease: () => Promise.resolve(Ok("lease")),
            swap: async () => Ok(await new Promise<SwapOutcome>(resolve => answerSwap = resolve)),
            revokeLease: (leaseId: string) => {
                endedLeases.push(leaseId);
                return Promise.resolve(Ok(undefined));
            },
        } as unknown as PlatformStore;
        const ownership = createOwnership({ store, timers, signal: lifetime.signal, onAcquired: term => acquiredTokens.push(term.token) });
        const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
        await settle();
        assert.ok(answerSwap, "the attempt is under way");
        await ownership.release();
        answerSwap({ isSwapped: true, revision: 2, current: [] });
        await settle();
        assert.deepEqual(acquiredTokens, []);
        assert.equal(ownership.maySendOrders(), false);
        assert.deepEqual(endedLeases, ["lease"], "so that another process can acquire the ownership at once");
        lifetime.abort();
    });

    it("should be continued although the mirror shows the new term before the store responds", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        const terms: OwnershipTerm[] = [];
        const losses: string[] = [];
        let revision = 1;
        let termDocument: { value: string; revision: number } | undefined;
        const mirror = {
            revision: () => revision,
            revisionOf: (key: string) => key === jobKeys.term ? termDocument?.revision ?? 0 : 0,
            valueOf: (key: string) => key === jobKeys.term ? termDocument?.value : undefined,
        } as unknown as StoreMirror;
        const store = {
            grantLease: () => Promise.resolve(Ok("lease")),
            swap: async (_guards: StoreGuard[], writes: StoreWrite[]) => {
                const term = writes.find(each => each.key === jobKeys.term);
                if (term) {
                    termDocument = { value: term.value!, revision: ++revision };
                    ownership.onStoreChanged();
                    await new Promise(resolve => setImmediate(resolve));
                }
                return Ok({ isSwapped: true, revision, current: [] });
            },
            keepLeaseAlive: () => Promise.resolve(Ok(false)),
            revokeLease: () => Promise.resolve(Ok(undefined)),
        } as unknown as PlatformStore;
        const ownership = createOwnership({
            store,
            timers,
            signal: lifetime.signal,
            mirror: () => mirror,
            onAcquired: term => terms.push(term),
            onLost: reason => losses.push(reason),
        });
        await passChecks(timers, 40);
        assert.ok(terms.length > 2, `${terms.length} terms`);
        assert.deepEqual(losses, []);
        assert.deepEqual(terms.map(term => term.isContinued), terms.map((_, index) => index > 0));
        lifetime.abort();
    });

    it("should be given up and acquired again if its term cannot be started, and renewed after that", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        const endedLeases: string[] = [];
        const startedTokens: number[] = [];
        let leasesCount = 0;
        let renewalsCount = 0;
        const store = {
            grantLease: () => Promise.resolve(Ok(`lease-${++leasesCount}`)),
            swap: () => Promise.resolve(Ok({ isSwapped: true, revision: leasesCount, current: [] })),
            keepLeaseAlive: () => {
                renewalsCount += 1;
                return Promise.resolve(Ok(true));
            },
            revokeLease: (leaseId: string) => {
                endedLeases.push(leaseId);
                return Promise.resolve(Ok(undefined));
            },
        } as unknown as PlatformStore;
        const ownership = createOwnership({
            store,
            timers,
            signal: lifetime.signal,
            onAcquired: term => {
                if (term.token === 1) {
                    throw new Error("the first term cannot be started");
                }
                startedTokens.push(term.token);
            },
        });
        await passChecks(timers, 40);
        assert.deepEqual(endedLeases, ["lease-1"], "so that another process can acquire the ownership at once");
        assert.deepEqual(startedTokens, [2]);
        assert.ok(renewalsCount > 2, `the lease was renewed ${renewalsCount} times`);
        assert.equal(ownership.isLeaseValid(), true);
        lifetime.abort();
    });

    it("should be kept while responses to renewals are handled later than the lease lasts", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        const leaseMs = 1_800;
        const responseDelayMs = 1_900;
        const losses: string[] = [];
        let leaseEndsAtMs = Number.POSITIVE_INFINITY;
        const store = {
            grantLease: () => {
                leaseEndsAtMs = timers.nowMs() + leaseMs;
                return Promise.resolve(Ok("lease"));
            },
            swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 2, current: [] })),
            keepLeaseAlive: () => {
                // The store handles the call at once.
                const isAlive = timers.nowMs() < leaseEndsAtMs;
                if (!isAlive) {
                    losses.push(`the lease had ended ${timers.nowMs() - leaseEndsAtMs} ms before`);
                }
                leaseEndsAtMs = isAlive ? timers.nowMs() + leaseMs : leaseEndsAtMs;
                return new Promise(resolve => timers.after(responseDelayMs, () => resolve(Ok(isAlive))));
            },
            revokeLease: () => Promise.resolve(Ok(undefined)),
        } as unknown as PlatformStore;
        const ownership = createOwnership({
            store,
            timers,
            signal: lifetime.signal,
            leaseMs,
            onAcquired: () => undefined,
            onLost: reason => losses.push(reason),
        });
        await passChecks(timers, 200);
        assert.deepEqual(losses, []);
        assert.notEqual(ownership.token(), undefined);
        lifetime.abort();
    });

    it("should be kept after a renewal has failed unexpectedly", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        const loggedEvents: LogEvent[] = [];
        let renewalsCount = 0;
        const store = {
            grantLease: () => Promise.resolve(Ok("lease")),
            swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 2, current: [] })),
            keepLeaseAlive: () => {
                renewalsCount += 1;
                return renewalsCount === 1 ? Promise.reject(new Error("unreadable response")) : Promise.resolve(Ok(true));
            },
            revokeLease: () => Promise.resolve(Ok(undefined)),
        } as unknown as PlatformStore;
        const ownership = createOwnership({
            store,
            timers,
            signal: lifetime.signal,
            logger: { ...createSilentLogger(), log: event => loggedEvents.push(event) },
            onAcquired: () => undefined,
        });
        await passChecks(timers, 40);
        assert.equal(loggedEvents.filter(event => event === logEvents.unexpectedError).length, 1);
        assert.equal(ownership.isLeaseValid(), true);
        lifetime.abort();
    });
});
