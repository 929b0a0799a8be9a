/**
 * Claims idempotency keys that callers chose themselves: the first gateway that writes a claim owns the key. Claims made
 * within a short time are batched into one transaction.
 */
import { createHash } from "node:crypto";
import { newChangeId } from "../common/ids.js";
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore } from "../connection/platformStore.js";

/** Which gateway may start the requests of a key. */
export type ClaimResult =
    | { isOwnerKnown: true; ownerId: string }
    | { isOwnerKnown: false; reason: string };

export interface KeyClaims {
    /** Claims a key for this process, or finds its owner. */
    claim(team: string, idempotencyKey: string): Promise<ClaimResult>;
}

export interface KeyClaimsOptions {
    ownerId: string;
    store: PlatformStore;
    timers: TimerService;
    signal: AbortSignal;
}

/** Minimum time for which a claim is kept. */
export const claimRetentionS = 3600;
/** Claims made within this time are batched into one transaction. */
const batchDelayMs = 20;
const maximumBatchSize = 64;
/** Transactions that are tried for a claim before it fails. */
const maximumAttempts = 3;
/** Claims made within this time share a lease. */
export const leaseReuseMs = 10 * 60_000;

interface WaitingClaim {
    key: string;
    attemptsCount: number;
    resolve(result: ClaimResult): void;
}

/** Store key of a claim. The caller's key is hashed because it may be long. */
export function claimKey(team: string, idempotencyKey: string): string {
    return storeKeys.claimsPrefix + createHash("sha256").update(`${team}\n${idempotencyKey}`).digest("base64url");
}

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

    const parseOwnerId = (value: string): string => (JSON.parse(value) as { ownerId: string }).ownerId;

    /** Reads each claim from the store and resolves those with an owner; returns the others. */
    const resolveFromStore = async (claims: WaitingClaim[]): Promise<WaitingClaim[]> => {
        const unclaimed: WaitingClaim[] = [];
        for (const claim of claims) {
            const read = await store.read(claim.key);
            if (read.err) {
                claim.resolve({ isOwnerKnown: false, reason: read.val.reason });
            }
            else if (read.val) {
                claim.resolve({ isOwnerKnown: true, ownerId: parseOwnerId(read.val.value) });
            }
            else {
                unclaimed.push(claim);
            }
        }
        return unclaimed;
    };

    /** Writes a batch; returns the claims that still have to be written. */
    const writeBatch = async (claims: WaitingClaim[], leaseId: string): Promise<WaitingClaim[]> => {
        const value = JSON.stringify({ ownerId, changeId: newChangeId() });
        const guards = claims.map(claim => ({ key: claim.key, expectedRevision: 0 }));
        const swapped = await store.swap(guards, claims.map(claim => ({ key: claim.key, value, leaseId })));
        if (swapped.err) {
            // A store that was restored may not know the lease.
            lease = undefined;
            // The claims may have been written although the response was lost, so the store is read.
            return resolveFromStore(claims);
        }
        if (swapped.val.isSwapped) {
            claims.forEach(claim => claim.resolve({ isOwnerKnown: true, ownerId }));
            return [];
        }
        const owners = new Map(swapped.val.current.map(stored => [stored.key, parseOwnerId(stored.value)]));
        claims.filter(claim => owners.has(claim.key)).forEach(claim =>
            claim.resolve({ isOwnerKnown: true, ownerId: owners.get(claim.key)! })
        );
        return claims.filter(claim => !owners.has(claim.key));
    };

    /** Merges claims of the same key into one. */
    const mergeSameKeys = (claims: WaitingClaim[]): WaitingClaim[] => {
        const byKey = new Map<string, WaitingClaim[]>();
        claims.forEach(claim => byKey.set(claim.key, [...(byKey.get(claim.key) ?? []), claim]));
        return [...byKey].map(([key, same]) => ({
            key,
            attemptsCount: same[0]!.attemptsCount + 1,
            resolve: result => same.forEach(claim => claim.resolve(result)),
        }));
    };

    const run = async (): Promise<void> => {
        isRunning = true;
        while (waiting.length > 0) {
            const batch = mergeSameKeys(waiting.splice(0, maximumBatchSize));
            const leaseId = await currentLease();
            if (leaseId === undefined) {
                batch.forEach(claim => claim.resolve({ isOwnerKnown: false, reason: "the key-value service granted no lease" }));
                continue;
            }
            const remaining = await writeBatch(batch, leaseId);
            remaining.filter(claim => claim.attemptsCount >= maximumAttempts).forEach(claim =>
                claim.resolve({ isOwnerKnown: false, reason: "the claim could not be written" })
            );
            waiting.push(...remaining.filter(claim => claim.attemptsCount < maximumAttempts));
        }
        isRunning = false;
    };

    return {
        claim: (team, idempotencyKey) =>
            new Promise(resolve => {
                waiting.push({ key: claimKey(team, idempotencyKey), attemptsCount: 0, resolve });
                if (!isRunning) {
                    isRunning = true;
                    timers.after(batchDelayMs, () => void run());
                }
            }),
    };
}
