/**
 * Idempotency keys that this process owns: only it may start them, it remembers how each ended, and replays the answer.
 * Memory is bounded; a ledger that is full refuses new keys.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Outcome } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";

/** An answer that is kept for later requests with the same key. */
export interface StoredResponse {
    statusCode: number;
    headers: Record<string, string | string[]>;
    outcome: Outcome;
    /** The whole body, or `undefined` if it was too long to keep. */
    body: Buffer | undefined;
}

/** What a key's entry holds. */
export interface IdempotencyEntry {
    /** Digest of the request that the key belongs to. */
    requestDigest: string;
    /** The end of the run; resolves with `undefined` if it was not run, so that it may be started again. */
    response: Promise<StoredResponse | undefined>;
    expiresAtMs: number;
}

/** A ticket's parts, as minted. */
export interface Ticket {
    ownerId: string;
    team: string;
    /** Wall clock time after which it is refused. */
    expiresAtMs: number;
}

export const idempotencyLimits = {
    /** Tickets and claimed keys that one process keeps. */
    maxEntriesCount: 100_000,
    /** Longest answer body that is kept, in bytes. */
    maxStoredBodyBytes: 64 * 1024,
    /** All kept bodies together, in bytes. */
    maxTotalBodyBytes: 32 * 1024 * 1024,
    /** A ticket is refused after this time. */
    retentionMs: 15 * 60_000,
} as const;

const sweepIntervalMs = 10_000;
const ticketPrefix = "njt";
const nonceBytes = 9;

export type IdempotencyStore = ReturnType<typeof createIdempotencyStore>;

/** Reads the owner of a ticket; `undefined` if it is no ticket. Only the owner can tell whether it is genuine. */
export function parseTicket(text: string): Ticket | undefined {
    const [prefix, ownerId, expiry, team, nonce, signature, ...rest] = text.split("~");
    if (prefix !== ticketPrefix || !ownerId || !expiry || !team || !nonce || !signature || rest.length > 0) {
        return undefined;
    }
    return { ownerId, team, expiresAtMs: Number.parseInt(expiry, 36) };
}

/** Creates the empty ledger of a process. */
export function createIdempotencyStore(options: { ownerId: string; timers: TimerService; signal: AbortSignal }) {
    const { timers } = options;
    const secret = randomBytes(32);
    const entries = new Map<string, IdempotencyEntry>();
    let keptBytes = 0;

    const sign = (unsigned: string): string => createHmac("sha256", secret).update(unsigned).digest("base64url");

    const sweep = (): void => {
        const nowMs = timers.wallClockMs();
        entries.forEach((entry, key) => {
            if (entry.expiresAtMs < nowMs) {
                entries.delete(key);
                void entry.response.then(answer => keptBytes -= answer?.body?.length ?? 0);
            }
        });
    };
    timers.every(sweepIntervalMs, options.signal, sweep);

    return {
        /** Mints a ticket for a team, or returns `undefined` if the ledger is full. */
        issueTicket: (team: string): string | undefined => {
            if (entries.size >= idempotencyLimits.maxEntriesCount) {
                return undefined;
            }
            const expiry = (timers.wallClockMs() + idempotencyLimits.retentionMs).toString(36);
            const unsigned = [ticketPrefix, options.ownerId, expiry, team, randomBytes(nonceBytes).toString("base64url")].join("~");
            return `${unsigned}~${sign(unsigned)}`;
        },
        /** Whether this process minted the ticket. */
        isSignatureValid: (text: string): boolean => {
            const cut = text.lastIndexOf("~");
            const expected = Buffer.from(sign(text.slice(0, cut)));
            const found = Buffer.from(text.slice(cut + 1));
            return expected.length === found.length && timingSafeEqual(expected, found);
        },
        find: (key: string): IdempotencyEntry | undefined => entries.get(key),
        /** Opens an entry for a run that begins; `undefined` if the ledger is full. */
        createEntry: (
            key: string,
            requestDigest: string,
            expiresAtMs: number,
        ): ((answer: StoredResponse | undefined) => void) | undefined => {
            if (entries.size >= idempotencyLimits.maxEntriesCount) {
                return undefined;
            }
            let close: (answer: StoredResponse | undefined) => void = () => undefined;
            const ended = new Promise<StoredResponse | undefined>(resolve => close = resolve);
            entries.set(key, { requestDigest, response: ended, expiresAtMs });
            return answer => {
                const fits = answer?.body !== undefined && keptBytes + answer.body.length <= idempotencyLimits.maxTotalBodyBytes;
                const kept = answer && { ...answer, body: fits ? answer.body : undefined };
                keptBytes += kept?.body?.length ?? 0;
                if (!kept) {
                    entries.delete(key);
                }
                close(kept);
            };
        },
        size: () => entries.size,
    };
}
