/** JSON bodies of the administration and ticket calls. */
import type http from "node:http";
import { Err, Ok, type Result } from "../common/results.js";

/** Longest JSON body that is read, in bytes: what the key-value service holds in one value. */
export const maxJsonBodyBytes = 1_000_000;

/** Reads a JSON body; an empty one reads as an empty object. */
export async function readJsonBody(request: http.IncomingMessage): Promise<Result<unknown, string>> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request) {
        length += (chunk as Buffer).length;
        if (length > maxJsonBodyBytes) {
            return Err(`body: found more than ${maxJsonBodyBytes} bytes; send less`);
        }
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    try {
        return Ok(text === "" ? {} : JSON.parse(text));
    }
    catch (error) {
        return Err(`body: found text that is no JSON (${error instanceof Error ? error.message : ""}); send a JSON object`);
    }
}

/** Sends a JSON answer. */
export function sendJson(response: http.ServerResponse, statusCode: number, body: unknown, headers: Record<string, string> = {}): void {
    const text = JSON.stringify(body);
    response.writeHead(statusCode, { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers });
    response.end(text);
}

/** Sends problem details (RFC 9457) of an administration call. */
export function sendAdminProblem(response: http.ServerResponse, statusCode: number, title: string, extra: Record<string, unknown>): void {
    const text = JSON.stringify({ type: "about:blank", title, status: statusCode, ...extra });
    response.writeHead(statusCode, { "content-type": "application/problem+json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
