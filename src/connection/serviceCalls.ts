/** Calls to an HTTP service with JSON bodies, whichever way they reach it. */

/** Why a call got no usable response. */
export interface RequestFailure {
    reason: string;
    /** Whether the request certainly did not reach the service. */
    wasNeverSent: boolean;
    /** Whether the service refused the connection or ended it before it responded, rather than being silent. */
    isDisconnected?: boolean;
    /** Size of the part of the response body that was received. */
    receivedBytes?: number;
}

export interface JsonResponse {
    status: number;
    body: Record<string, unknown>;
    /** Process that passed the call on, if it was not made directly. */
    neighbour?: string;
}

export type JsonRequestResult = { hasResponse: true; response: JsonResponse } | { hasResponse: false; failure: RequestFailure };

export interface JsonRequest {
    method: "GET" | "POST" | "DELETE";
    path: string;
    headers?: Record<string, string>;
    body?: unknown;
    timeoutMs: number;
    /** How much longer than `timeoutMs` the call may take while its response keeps arriving; 0 if not set. */
    transferTimeoutMs?: number;
    /** Asked when the request is about to be written; `false` drops it. It may have waited long for a connection, or in a paused process. */
    mayStillSend?(): boolean;
    /** Whether the service may receive the request twice without another effect than once. */
    isRepeatable?: boolean;
}

export type CallService = (request: JsonRequest) => Promise<JsonRequestResult>;

/** Result of a call that was not sent. */
export function neverSent(reason: string): JsonRequestResult {
    return { hasResponse: false, failure: { reason, wasNeverSent: true } };
}

/** Result of a call that may have taken effect. */
export function responseLost(reason: string): JsonRequestResult {
    return { hasResponse: false, failure: { reason, wasNeverSent: false } };
}
