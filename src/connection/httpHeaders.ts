/** HTTP headers between callers, gateways and backend servers. */

/**
 * Headers that are never forwarded: connection-specific ones (RFC 9110, section 7.6.1) and those that the gateway sets
 * itself.
 */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Names of the headers that the gateway defines or interprets, in lower case. */
export const headerNames = {
    outcome: "nutmegjunction-outcome",
    team: "nutmegjunction-team",
    /** Set by a gateway that forwards a request to the owner of its idempotency key. */
    forwardedBy: "nutmegjunction-forwarded-by",
    requestId: "x-request-id",
    requestTimeoutMs: "request-timeout-ms",
    requestKind: "request-kind",
    idempotencyKey: "idempotency-key",
} as const;

/** Request headers that are not forwarded to a backend server. */
const excludedFromServerRequests: ReadonlySet<string> = new Set([
    "authorization",
    "host",
    "expect",
    headerNames.requestTimeoutMs,
    headerNames.forwardedBy,
    headerNames.team,
    headerNames.requestId,
]);

/** Request headers that are not forwarded to the gateway that owns an idempotency key. */
const excludedFromGatewayRequests: ReadonlySet<string> = new Set(["host", "expect", headerNames.requestTimeoutMs, headerNames.forwardedBy]);

/**
 * Returns `ownHeaders` followed by `rawHeaders`, as alternating names and values, without connection-specific and
 * `excluded` headers.
 */
function copyHeaders(rawHeaders: readonly string[], ownHeaders: readonly string[], excluded: ReadonlySet<string>): string[] {
    const copied = [...ownHeaders];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !excluded.has(name)) {
            copied.push(name, rawHeaders[index + 1]!);
        }
    }
    return copied;
}

/** Copies the request headers that are forwarded to a backend server. */
export function copyRequestHeaders(rawHeaders: readonly string[], ownHeaders: readonly string[]): string[] {
    return copyHeaders(rawHeaders, ownHeaders, excludedFromServerRequests);
}

/** Copies the request headers that are forwarded to another gateway, including the caller's key. */
export function copyForwardedHeaders(rawHeaders: readonly string[], ownHeaders: readonly string[]): string[] {
    return copyHeaders(rawHeaders, ownHeaders, excludedFromGatewayRequests);
}

/** Copies the response headers that are forwarded to the caller. */
export function copyResponseHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> {
    const copied: Record<string, string | string[]> = {};
    Object.entries(headers).forEach(([name, value]) => {
        if (value !== undefined && !connectionHeaders.has(name) && name !== headerNames.outcome) {
            copied[name] = value;
        }
    });
    return copied;
}
