/**
 * Idempotency keys that this process owns: only it may start their requests, and it stores the responses to replay them.
 * Memory is bounded: a full store rejects new keys.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Outcome } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";

/** A response that is stored for later requests with the same key. */
export interface StoredResponse {
    statusCode: number;
    headers: Record<string, string | string[]>;
    outcome: Outcome;
    /** The complete body, or `undefined` if it was too long to store. */
    body: Buffer | undefined;
}

export interface IdempotencyEntry {
    /** Digest of the request that first used the key. */
    requestDigest: string;
    /** Resolves when the run has ended, with `undefined` if the request did not run, so that it may be started again. */
    response: Promise<StoredResponse | undefined>;
    expiresAtMs: number;
}

/** Contents of a ticket, an idempotency key issued by a gateway. */
export interface Ticket {
    ownerId: string;
    team: string;
    /** Wall-clock time after which the ticket is rejected. */
    expiresAtMs: number;
}

export const idempotencyLimits = {
    /** Keys that one process stores, both tickets and claimed ones. */
    maxEntriesCount: 100_000,
    /** Longest response body that is stored, in bytes. */
    maxStoredBodyBytes: 64 * 1024,
    /** Limit for all stored bodies together, in bytes. */
    maxTotalBodyBytes: 32 * 1024 * 1024,
    /** Lifetime of a ticket. */
    retentionMs: 15 * 60_000,
} as const;

const cleanupIntervalMs = 10_000;
const ticketPrefix = "njt";
const nonceBytes = 9;

export type IdempotencyStore = ReturnType<typeof createIdempotencyStore>;

/** Parses a ticket; returns `undefined` if the text is not a ticket. Only its owner can verify the signature. */
export function parseTicket(text: string): Ticket | undefined {
    const [prefix, ownerId, expiry, team, nonce, signature, ...rest] = text.split("~");
    if (prefix !== ticketPrefix || !ownerId || !expiry || !team || !nonce || !signature || rest.length > 0) {
        return undefined;
    }
    return { ownerId, team, expiresAtMs: Number.parseInt(expiry, 36) };
}

/** Creates the empty store of a process. */
export function createIdempotencyStore(options: { ownerId: string; timers: TimerService; signal: AbortSignal }) {
    const { timers } = options;
    const secret = randomBytes(32);
    const entries = new Map<string, IdempotencyEntry>();
    let storedBytes = 0;

    const sign = (unsigned: string): string => createHmac("sha256", secret).update(unsigned).digest("base64url");

    const removeExpired = (): void => {
        const nowMs = timers.wallClockMs();
        entries.forEach((entry, key) => {
            if (entry.expiresAtMs < nowMs) {
                entries.delete(key);
                void entry.response.then(response => storedBytes -= response?.body?.length ?? 0);
            }
        });
    };
    timers.every(cleanupIntervalMs, options.signal, removeExpired);

    return {
        /** Issues a ticket for a team, or returns `undefined` if the store is full. */
        issueTicket: (team: string): string | undefined => {
            if (entries.size >= idempotencyLimits.maxEntriesCount) {
                return undefined;
            }
            const expiry = (timers.wallClockMs() + idempotencyLimits.retentionMs).toString(36);
            const unsigned = [ticketPrefix, options.ownerId, expiry, team, randomBytes(nonceBytes).toString("base64url")].join("~");
            return `${unsigned}~${sign(unsigned)}`;
        },
        /** Whether this process issued the ticket. */
        isSignatureValid: (text: string): boolean => {
            const cut = text.lastIndexOf("~");
            const expected = Buffer.from(sign(text.slice(0, cut)));
            const found = Buffer.from(text.slice(cut + 1));
            return expected.length === found.length && timingSafeEqual(expected, found);
        },
        find: (key: string): IdempotencyEntry | undefined => entries.get(key),
        /** Creates the entry of a run that begins, and returns the function that completes it; `undefined` if the store is full. */
        createEntry: (
            key: string,
            requestDigest: string,
            expiresAtMs: number,
        ): ((response: StoredResponse | undefined) => void) | undefined => {
            if (entries.size >= idempotencyLimits.maxEntriesCount) {
                return undefined;
            }
            let complete: (response: StoredResponse | undefined) => void = () => undefined;
            const completion = new Promise<StoredResponse | undefined>(resolve => complete = resolve);
            entries.set(key, { requestDigest, response: completion, expiresAtMs });
            return response => {
                const fits = response?.body !== undefined && storedBytes + response.body.length <= idempotencyLimits.maxTotalBodyBytes;
                const stored = response && { ...response, body: fits ? response.body : undefined };
                storedBytes += stored?.body?.length ?? 0;
                if (!stored) {
                    entries.delete(key);
                }
                complete(stored);
            };
        },
        size: () => entries.size,
    };
}
