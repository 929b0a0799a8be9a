/**
 * Claims of callers' own idempotency keys: the first gateway that writes a key's claim owns the key. Claims that come
 * within a short time go into one transaction.
 */
import { createHash } from "node:crypto";
import { newChangeId } from "../common/ids.js";
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore } from "../connection/platformStore.js";

/** Who may start the requests of a key. */
export type ClaimResult =
    | { isOwnerKnown: true; ownerId: string }
    | { isOwnerKnown: false; reason: string };

export interface KeyClaims {
    /** Claims a key for this process, or tells who owns it. */
    claim(team: string, idempotencyKey: string): Promise<ClaimResult>;
}

export interface KeyClaimsOptions {
    ownerId: string;
    store: PlatformStore;
    timers: TimerService;
    signal: AbortSignal;
}

/** How long a claim is kept. */
export const claimRetentionS = 3600;
/** Claims of this time go into one transaction. */
const batchDelayMs = 20;
const largestBatch = 64;
/** Transactions that may fail or be refused before a claim is given up. */
const maximumAttempts = 3;
/** A new lease is granted for the claims of each such span. */
export const leaseReuseMs = 10 * 60_000;

interface WaitingClaim {
    key: string;
    attemptsCount: number;
    settle(result: ClaimResult): void;
}

/** Key of a claim in the store; the caller's key is hashed, it may be long. */
export function claimKey(team: string, idempotencyKey: string): string {
    return storeKeys.claimsPrefix + createHash("sha256").update(`${team}\n${idempotencyKey}`).digest("base64url");
}

/** Creates the claims of a process. */
export function createKeyClaims(options: KeyClaimsOptions): KeyClaims {
    const { store, timers, ownerId } = options;
    const waiting: WaitingClaim[] = [];
    let isRunning = false;
    let lease: { id: string; grantedAtMs: number } | undefined;

    const currentLease = async (): Promise<string | undefined> => {
        if (lease && timers.nowMs() - lease.grantedAtMs < leaseReuseMs) {
            return lease.id;
        }
        const granted = await store.grantLease(claimRetentionS + leaseReuseMs / 1000);
        lease = granted.ok ? { id: granted.val, grantedAtMs: timers.nowMs() } : undefined;
        return lease?.id;
    };

    const ownerIn = (value: string): string => (JSON.parse(value) as { ownerId: string }).ownerId;

    /** Settles each claim by what the store holds for it; returns those that nobody holds. */
    const settleByRead = async (claims: WaitingClaim[]): Promise<WaitingClaim[]> => {
        const unclaimed: WaitingClaim[] = [];
        for (const claim of claims) {
            const read = await store.read(claim.key);
            if (read.err) {
                claim.settle({ isOwnerKnown: false, reason: read.val.reason });
            }
            else if (read.val) {
                claim.settle({ isOwnerKnown: true, ownerId: ownerIn(read.val.value) });
            }
            else {
                unclaimed.push(claim);
            }
        }
        return unclaimed;
    };

    /** Writes a batch; returns the claims that are still to be written. */
    const writeBatch = async (claims: WaitingClaim[], leaseId: string): Promise<WaitingClaim[]> => {
        const value = JSON.stringify({ ownerId, changeId: newChangeId() });
        const guards = claims.map(claim => ({ key: claim.key, expectedRevision: 0 }));
        const swapped = await store.swap(guards, claims.map(claim => ({ key: claim.key, value, leaseId })));
        if (swapped.err) {
            // The answer may be lost after the claims were written: what the store holds decides.
            return settleByRead(claims);
        }
        if (swapped.val.isSwapped) {
            claims.forEach(claim => claim.settle({ isOwnerKnown: true, ownerId }));
            return [];
        }
        const owners = new Map(swapped.val.current.map(stored => [stored.key, ownerIn(stored.value)]));
        claims.filter(claim => owners.has(claim.key)).forEach(claim =>
            claim.settle({ isOwnerKnown: true, ownerId: owners.get(claim.key)! })
        );
        return claims.filter(claim => !owners.has(claim.key));
    };

    /** Claims of the same key share one write. */
    const joinSameKeys = (claims: WaitingClaim[]): WaitingClaim[] => {
        const byKey = new Map<string, WaitingClaim[]>();
        claims.forEach(claim => byKey.set(claim.key, [...(byKey.get(claim.key) ?? []), claim]));
        return [...byKey].map(([key, same]) => ({
            key,
            attemptsCount: same[0]!.attemptsCount + 1,
            settle: result => same.forEach(claim => claim.settle(result)),
        }));
    };

    const run = async (): Promise<void> => {
        isRunning = true;
        while (waiting.length > 0) {
            const batch = joinSameKeys(waiting.splice(0, largestBatch));
            const leaseId = await currentLease();
            if (leaseId === undefined) {
                batch.forEach(claim => claim.settle({ isOwnerKnown: false, reason: "the key-value service granted no lease" }));
                continue;
            }
            const left = await writeBatch(batch, leaseId);
            left.filter(claim => claim.attemptsCount >= maximumAttempts).forEach(claim =>
                claim.settle({ isOwnerKnown: false, reason: "the claim could not be written" })
            );
            waiting.push(...left.filter(claim => claim.attemptsCount < maximumAttempts));
        }
        isRunning = false;
    };

    return {
        claim: (team, idempotencyKey) =>
            new Promise(settle => {
                waiting.push({ key: claimKey(team, idempotencyKey), attemptsCount: 0, settle });
                if (!isRunning) {
                    isRunning = true;
                    timers.after(batchDelayMs, () => void run());
                }
            }),
    };
}
