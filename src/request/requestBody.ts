/** Request bodies: short ones are read into memory, so that they can be sent again; long ones are streamed. */
import type http from "node:http";

/** Longest body that is read into memory, in bytes. */
export const maxBufferedBodyBytes = 64 * 1024;

/** Whether a request announces a body. */
export function hasBody(request: http.IncomingMessage): boolean {
    return request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;
}

/** Whether the body is short enough to be read into memory. */
export function isBufferable(request: http.IncomingMessage): boolean {
    const length = Number(request.headers["content-length"] ?? Number.NaN);
    return length <= maxBufferedBodyBytes;
}

/** Reads a short body; rejects if the caller goes away before its end. */
export function readBody(request: http.IncomingMessage): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("error", reject);
        request.on("close", () => reject(new Error("the caller went away before the body's end")));
    });
}
