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

/** Buffers a body; rejects if the caller disconnects before the whole body is received. */
export function readBody(request: http.IncomingMessage): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("error", reject);
        request.on("close", () => reject(new Error("the caller disconnected before the whole body was received")));
    });
}
