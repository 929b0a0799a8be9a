/** Headers between callers, gateways and backend servers. */

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the gateway sets itself. */
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

/** Names of the product's own headers, in lower case. */
export const headerNames = {
    outcome: "nutmegjunction-outcome",
    team: "nutmegjunction-team",
    /** Set by a gateway that forwards to the owner of an idempotency key. */
    forwardedBy: "nutmegjunction-forwarded-by",
    requestId: "x-request-id",
    requestTimeoutMs: "request-timeout-ms",
    requestKind: "request-kind",
    idempotencyKey: "idempotency-key",
} as const;

/** Caller headers that do not go on to a backend server. */
const callerOnlyHeaders: ReadonlySet<string> = new Set([
    "authorization",
    "host",
    "expect",
    headerNames.requestTimeoutMs,
    headerNames.forwardedBy,
    headerNames.team,
    headerNames.requestId,
]);

/** Caller headers that do not go on to the gateway that owns an idempotency key. */
const gatewayOnlyHeaders: ReadonlySet<string> = new Set(["host", "expect", headerNames.requestTimeoutMs, headerNames.forwardedBy]);

/** Copies headers as alternating names and values, after `own` ones, without those of the connection and `dropped` ones. */
function copyHeaders(rawHeaders: readonly string[], own: readonly string[], dropped: ReadonlySet<string>): string[] {
    const copied = [...own];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name)) {
            copied.push(name, rawHeaders[index + 1]!);
        }
    }
    return copied;
}

/** Copies the caller's headers that go on to a backend server. */
export function copyRequestHeaders(rawHeaders: readonly string[], own: readonly string[]): string[] {
    return copyHeaders(rawHeaders, own, callerOnlyHeaders);
}

/** Copies the caller's headers that go on to another gateway, its key among them. */
export function copyForwardedHeaders(rawHeaders: readonly string[], own: readonly string[]): string[] {
    return copyHeaders(rawHeaders, own, gatewayOnlyHeaders);
}

/** Copies the headers of an answer that go on to the caller. */
export function copyResponseHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> {
    const copied: Record<string, string | string[]> = {};
    Object.entries(headers).forEach(([name, value]) => {
        if (value !== undefined && !connectionHeaders.has(name) && name !== headerNames.outcome) {
            copied[name] = value;
        }
    });
    return copied;
}
