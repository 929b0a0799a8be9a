/** A caller: sends one request through a gateway and judges the answer. */
import { Pool } from "undici";
import { machineNowMs, makeContent } from "../stand-ins/backendServer.js";

export const callOutcomes = { done: "done", notRun: "not-run", unknown: "unknown" } as const;
export type CallOutcome = (typeof callOutcomes)[keyof typeof callOutcomes];

export interface ServiceCall {
    service: string;
    kind: string;
    method?: string;
    /** Names the call; the right answer is made from it. */
    token: string;
    /** Key of the calling team; absent for open services. */
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
    /** 0 if no answer came. */
    statusCode: number;
    latencyMs: number;
    /** Monotonic time of the machine when the answer had come, as the journals count. */
    endedAtMs: number;
    /** Whether an answer that claims to be the service's is not whole or not this call's. */
    isWrong: boolean;
    /** Id of the problem, if the answer is one. */
    problem: string | undefined;
}

const callerConnections = 256;
const callerGraceMs = 10_000;
const defaultAnswerBytes = 64;

/** A caller's connections to one gateway. */
export function openCallerPool(address: string): Pool {
    return new Pool(`http://${address}`, {
        connections: callerConnections,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: 2_000 },
    });
}

function headersOf(call: ServiceCall): Record<string, string> {
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

/** What a caller knows of a call that brought no answer: if nothing could be sent it has not run. */
function outcomeOfError(error: unknown): CallOutcome {
    const code = (error as { code?: string }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ? callOutcomes.notRun : callOutcomes.unknown;
}

/** Sends one call; never throws. */
export async function callService(caller: Pool, call: ServiceCall): Promise<CallResult> {
    const startedMs = performance.now();
    const result = (outcome: CallOutcome, statusCode: number, isWrong: boolean, problem?: string): CallResult => ({
        token: call.token,
        outcome,
        statusCode,
        isWrong,
        problem,
        latencyMs: performance.now() - startedMs,
        endedAtMs: machineNowMs(),
    });
    try {
        const response = await caller.request({
            method: (call.method ?? "POST") as "POST",
            path: `/v1/services/${call.service}/item`,
            headers: headersOf(call),
            body: call.body,
            signal: AbortSignal.timeout((call.timeoutMs ?? 10_000) + callerGraceMs),
        });
        const body = Buffer.from(await response.body.arrayBuffer());
        const named = Object.values(callOutcomes).find(outcome => outcome === response.headers["nutmegjunction-outcome"]);
        const problem = readProblem(body, String(response.headers["content-type"] ?? ""));
        const isService = problem === undefined && response.statusCode === 200;
        const isWhole = body.equals(makeContent(call.token, call.answerBytes ?? defaultAnswerBytes));
        return result(named ?? callOutcomes.unknown, response.statusCode, named === undefined || (isService && !isWhole), problem);
    }
    catch (error) {
        return result(outcomeOfError(error), 0, false);
    }
}
