/** Identifiers that are unique across processes and restarts. */
import { randomBytes } from "node:crypto";

const incarnationBytes = 8;
const changeBytes = 9;

/** Returns an id for the incarnation of a process; a process restarted at the same address has a different one. */
export function newIncarnationId(): string {
    return randomBytes(incarnationBytes).toString("hex");
}

/** Returns an id for one write, so that a later read shows whether a write without a response took effect. */
export function newChangeId(): string {
    return randomBytes(changeBytes).toString("base64url");
}

/** Returns a generator of request ids, each made of the process's incarnation id and a counter. */
export function createRequestIds(incarnationId: string): () => string {
    let next = 0;
    return () => `${incarnationId}-${(next++).toString(36)}`;
}
