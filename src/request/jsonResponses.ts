/** JSON request bodies and responses of the administration API and the ticket endpoint. */
import type http from "node:http";
import { Err, Ok, type Result } from "../common/results.js";
import { createGrowingBuffer } from "../listening/growingBuffer.js";

/** Maximum size of a JSON body, in bytes: the size limit of a value in the key-value service. */
export const maxJsonBodyBytes = 1_000_000;

/** Reads a JSON body; an empty body is read as an empty object. */
export async function readJsonBody(request: http.IncomingMessage, maxBytes = maxJsonBodyBytes): Promise<Result<unknown, string>> {
    const received = createGrowingBuffer(maxBytes);
    for await (const chunk of request) {
        if (received.length() + (chunk as Buffer).length > maxBytes) {
            return Err(`body: found more than ${maxBytes} bytes; send less`);
        }
        received.append(chunk as Buffer);
    }
    const text = received.bytes().toString("utf8");
    try {
        return Ok(text === "" ? {} : JSON.parse(text));
    }
    catch (error) {
        return Err(`body: found invalid JSON (${error instanceof Error ? error.message : ""}); send a JSON object`);
    }
}

/** Sends a JSON response. */
export function sendJson(response: http.ServerResponse, statusCode: number, body: unknown, headers: Record<string, string> = {}): void {
    const text = JSON.stringify(body);
    response.writeHead(statusCode, { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers });
    response.end(text);
}

/** Sends problem details (RFC 9457) as the response to an administration request. */
export function sendAdminProblem(response: http.ServerResponse, statusCode: number, title: string, extra: Record<string, unknown>): void {
    const text = JSON.stringify({ type: "about:blank", title, status: statusCode, ...extra });
    response.writeHead(statusCode, { "content-type": "application/problem+json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
