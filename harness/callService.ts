/** Test client: sends one request through a gateway and validates the response. */
import { Pool } from "undici";
import { makeResponseBody, monotonicNowMs } from "../stand-ins/backendServer.js";

export const callOutcomes = { done: "done", notRun: "not-run", unknown: "unknown" } as const;
export type CallOutcome = (typeof callOutcomes)[keyof typeof callOutcomes];

export interface ServiceCall {
    service: string;
    kind: string;
    method?: string;
    /** Identifies the call. The expected response body is generated from it. */
    token: string;
    /** API key of the calling team. Omitted for open services. */
    key?: string;
    runMs?: number;
    answerBytes?: number;
    timeoutMs?: number;
    idempotencyKey?: string;
    body?: string;
}

export interface CallResult {
    token: string;
    outcome: CallOutcome;
    /** 0 if no response was received. */
    statusCode: number;
    latencyMs: number;
    /** Time at which the response was complete, on the same monotonic machine clock as the servers' journals. */
    endedAtMs: number;
    /** Whether the outcome header is missing, or a response from the service is truncated or belongs to another call. */
    isWrong: boolean;
    /** Id of the problem, if the response is a problem document. */
    problem: string | undefined;
    /** Why no response was received. */
    failure?: string;
}

const callerConnections = 256;
const clientTimeoutMarginMs = 10_000;
const defaultAnswerBytes = 64;

/** Opens a connection pool to one gateway. */
export function openCallerPool(address: string): Pool {
    return new Pool(`http://${address}`, {
        connections: callerConnections,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: 2_000 },
    });
}

function makeHeaders(call: ServiceCall): Record<string, string> {
    const headers: Record<string, string> = {
        "request-kind": call.kind,
        "x-token": call.token,
        "x-run-time-ms": String(call.runMs ?? 1),
        "x-answer-bytes": String(call.answerBytes ?? defaultAnswerBytes),
    };
    if (call.key !== undefined) {
        headers.authorization = `Bearer ${call.key}`;
    }
    if (call.idempotencyKey !== undefined) {
        headers["idempotency-key"] = call.idempotencyKey;
    }
    if (call.timeoutMs !== undefined) {
        headers["request-timeout-ms"] = String(call.timeoutMs);
    }
    return headers;
}

function readProblem(body: Buffer, contentType: string): string | undefined {
    return contentType.startsWith("application/problem+json") ?
        (JSON.parse(body.toString()) as { type: string }).type.split(":").pop() :
        undefined;
}

/** Outcome of a call without a response. If no connection was established, the request cannot have run. */
function outcomeOfError(error: unknown): CallOutcome {
    const code = (error as { code?: string }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ? callOutcomes.notRun : callOutcomes.unknown;
}

/** Sends one call. Never rejects: errors are returned as outcomes. */
export async function callService(caller: Pool, call: ServiceCall): Promise<CallResult> {
    const startedMs = performance.now();
    const result = (outcome: CallOutcome, statusCode: number, isWrong: boolean, problem?: string): CallResult => ({
        token: call.token,
        outcome,
        statusCode,
        isWrong,
        problem,
        latencyMs: performance.now() - startedMs,
        endedAtMs: monotonicNowMs(),
    });
    try {
        const response = await caller.request({
            method: (call.method ?? "POST") as "POST",
            path: `/v1/services/${call.service}/item`,
            headers: makeHeaders(call),
            body: call.body,
            signal: AbortSignal.timeout((call.timeoutMs ?? 10_000) + clientTimeoutMarginMs),
        });
        const body = Buffer.from(await response.body.arrayBuffer());
        const reportedOutcome = Object.values(callOutcomes).find(outcome => outcome === response.headers["nutmegjunction-outcome"]);
        const problem = readProblem(body, String(response.headers["content-type"] ?? ""));
        const isServiceAnswer = problem === undefined && response.statusCode === 200;
        const isWhole = body.equals(makeResponseBody(call.token, call.answerBytes ?? defaultAnswerBytes));
        return result(
            reportedOutcome ?? callOutcomes.unknown,
            response.statusCode,
            reportedOutcome === undefined || (isServiceAnswer && !isWhole),
            problem,
        );
    }
    catch (error) {
        return { ...result(outcomeOfError(error), 0, false), failure: String(error) };
    }
}
