/** Client of the administration API. */
import { request } from "undici";
import { Err, Ok, type Result } from "../common/results.js";
import type { OperatorSettings } from "../process/settings.js";

export interface AdminResponse {
    statusCode: number;
    body: Record<string, unknown>;
    etag: string | undefined;
}

export interface AdminRequest {
    method: "GET" | "PUT" | "POST" | "DELETE";
    path: string;
    body?: unknown;
    ifMatch?: string;
}

const callTimeoutMs = 30_000;

/** Sends one request; an error message contains the address and what to do next. */
export async function sendAdminRequest(settings: OperatorSettings, call: AdminRequest): Promise<Result<AdminResponse, string>> {
    const headers: Record<string, string> = { authorization: `Bearer ${settings.operatorKey}`, "content-type": "application/json" };
    if (call.ifMatch !== undefined) {
        headers["if-match"] = call.ifMatch;
    }
    try {
        const response = await request(`http://${settings.adminAddress}${call.path}`, {
            method: call.method,
            headers,
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal: AbortSignal.timeout(callTimeoutMs),
        });
        const body = await response.body.json() as Record<string, unknown>;
        return Ok({ statusCode: response.statusCode, body, etag: response.headers.etag as string | undefined });
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return Err(
            `${call.method} ${call.path} at ${settings.adminAddress}: ${reason}; check the address, or name another gateway with --admin-address`,
        );
    }
}
