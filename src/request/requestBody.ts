/** Request bodies: small bodies are buffered so that they can be sent again; larger ones are streamed. */
import type http from "node:http";

/** Maximum size of a buffered body, in bytes. */
export const maxBufferedBodyBytes = 64 * 1024;

/** Whether the request headers announce a body. */
export function hasBody(request: http.IncomingMessage): boolean {
    return request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;
}

/** Whether the body is small enough to be buffered. */
export function isBufferable(request: http.IncomingMessage): boolean {
    const length = Number(request.headers["content-length"] ?? Number.NaN);
    return length <= maxBufferedBodyBytes;
}
