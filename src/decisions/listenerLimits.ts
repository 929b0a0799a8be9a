/**
 * Limits of the listening sockets, and which connections to close.
 *
 * Load: clients that the operators do not control hold many connections, unfinished bodies, pipelined requests and unread responses.
 */

/** Resources of the process. */
export interface ProcessResources {
    memoryMb: number;
    heapLimitBytes: number;
    maxDescriptors: number;
}

export interface ListenerLimits {
    /** Connections that are served; a few more are accepted so that they get an answer. */
    maxConnections: number;
    /** Requests of one connection without a complete response. */
    maxPendingRequests: number;
}

const bytesPerMb = 1_048_576;
/** Descriptors that are reserved for files. */
const fileDescriptors = 200;
/** Half of the others is for workers, peers and the store: an owner has up to three connections to each of some 360 workers. */
const incomingDescriptorShare = 0.5;
/** A connection that sends a request costs some 20 KB in Node's parser, socket, request and response, and up to 16 KB of headers. */
const bytesPerConnection = 36 * 1_024;
const connectionMemoryShare = 0.18;
/** A decoded body takes several times its size. */
const bodyMemoryShare = 0.08;
const bodyHeapShare = 0.1;
/** A single body must fit, whatever the resources. */
const minBodyBytes = 1_048_576;
const minConnections = 8;

/** Bytes of all bodies that are received or handled at a time. */
export function maxBodyBytesInFlight({ memoryMb, heapLimitBytes }: ProcessResources): number {
    return Math.max(minBodyBytes, Math.floor(Math.min(memoryMb * bytesPerMb * bodyMemoryShare, heapLimitBytes * bodyHeapShare)));
}

/** Divides the connections that the process can take among its listeners by their shares, which add up to 1. */
export function limitListener(resources: ProcessResources, share: number, maxPendingRequests: number): ListenerLimits {
    const byDescriptors = (resources.maxDescriptors - fileDescriptors) * incomingDescriptorShare;
    const byMemory = resources.memoryMb * bytesPerMb * connectionMemoryShare / bytesPerConnection;
    return {
        // The surplus that is accepted for an answer counts too.
        maxConnections: Math.max(minConnections, Math.floor(Math.min(byDescriptors, byMemory) * share / (1 + surplusShare))),
        maxPendingRequests,
    };
}

/** Connections beyond the limit that are accepted and answered 503, as a share of the limit. */
export const surplusShare = 0.125;

export interface HeapState {
    heapLimitBytes: number;
    /** What was used when it was measured, almost without garbage. */
    liveBytes: number;
    /** The part of it that requests held. */
    heldBytes: number;
}

/** The rest is for the young generation, garbage and the growth of the process itself. */
const usableHeapShare = 0.75;
/** Hundreds of ordinary requests, however much the process itself holds. */
const minHeldHeapShare = 0.05;
/** A process that takes over the scheduling loads all jobs at once, and cannot measure before it has. */
const maxHeldHeapShare = 0.15;

/** What requests may hold of the heap. */
export function maxHeldHeapBytes({ heapLimitBytes, liveBytes, heldBytes }: HeapState): number {
    const leftBytes = heldBytes + heapLimitBytes * usableHeapShare - liveBytes;
    return heapLimitBytes * Math.min(maxHeldHeapShare, Math.max(minHeldHeapShare, leftBytes / heapLimitBytes));
}

/** What the parser, the socket, the request and the response of one connection hold of the heap. */
const requestHeapBytes = 16_384;
/** Names and values are strings of their own. */
const headerHeapBytes = 128;

/** What a request holds of the heap until its response is sent and its body has arrived. */
export function heapBytesOfRequest(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, requestHeapBytes + rawHeaders.length / 2 * headerHeapBytes);
}

export interface ConnectionState {
    /** Time since the last byte was received, or since the connection was opened. */
    silentMs: number;
    /** Time since a part of a response that waits was taken by the client; 0 if none waits. */
    unreadMs: number;
    hasOpenRequest: boolean;
    /** Whether the head or the body of a request is expected: no request was received yet, or one whose body is not whole. */
    isRequestIncomplete: boolean;
    /** Time since that head or body was begun, and the bytes received of it. */
    requestMs: number;
    requestBytes: number;
    /** Whether the connection has become a link of another protocol, on which the other end sends or is asked all the time. */
    isUpgraded: boolean;
}

/** A client that keeps within the header timeout of 3 s, with a margin for a late process. */
const incompleteMs = 4_000;
/** The longest body takes half a minute at this rate; its sender gives up after a few seconds. */
const slowBytesPerS = 8_192;
const unreadMs = 2_000;
const idleMs = 1_000;
/** Watches on a link end within a few seconds each. */
const idleLinkMs = 15_000;

function isSlow({ requestMs, requestBytes }: ConnectionState): boolean {
    return requestMs > incompleteMs && requestBytes * 1_000 < slowBytesPerS * requestMs;
}

/** How readily a connection is closed to make room for a new one: higher first, 0 for never. */
export function rankForClosing(state: ConnectionState): number {
    if (state.unreadMs > unreadMs) {
        return 3;
    }
    if (state.isRequestIncomplete) {
        return state.silentMs > incompleteMs || isSlow(state) ? 2 : 0;
    }
    // HTTP allows the server to close an idle connection at any time.
    return !state.hasOpenRequest && state.silentMs > (state.isUpgraded ? idleLinkMs : idleMs) ? 1 : 0;
}
