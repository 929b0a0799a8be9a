/** Identifiers that are unique across processes and restarts. */
import { randomBytes } from "node:crypto";

const incarnationBytes = 8;
const changeBytes = 9;

/** Identifies one life of one process: a restart at the same address has another one. */
export function newIncarnationId(): string {
    return randomBytes(incarnationBytes).toString("hex");
}

/** Identifies one write, so that a re-read tells whether a write with a lost answer took effect. */
export function newChangeId(): string {
    return randomBytes(changeBytes).toString("base64url");
}

/** Returns a factory of request ids: a prefix that names the process and a counter. */
export function createRequestIds(incarnationId: string): () => string {
    let next = 0;
    return () => `${incarnationId}-${(next++).toString(36)}`;
}
