/**
 * Requests with an idempotency key. Only the gateway that owns the key may run them; other gateways forward them to the
 * owner. Until the owner has looked the key up, an earlier request with the same key may have run, so a request that is
 * rejected before that has the outcome `unknown`.
 */
import { createHash } from "node:crypto";
import { outcomes } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";
import { idempotencyLimits, type IdempotencyStore, parseTicket, type StoredResponse } from "../process/idempotencyStore.js";
import { claimRetentionS, type KeyClaims, leaseReuseMs } from "../process/keyClaims.js";
import { type Problem, problems, type ProblemType, renderProblem } from "./problems.js";
import { createRecordingSink } from "./recordingSink.js";
import { type ResponseSink, sendProblem } from "./responseSink.js";
import type { RunnableRequest, RunResult } from "./runRequest.js";

export interface IdempotentRunnerOptions {
    ownMemberId: string;
    timers: TimerService;
    idempotencyStore: IdempotencyStore;
    claims: KeyClaims;
    run(request: RunnableRequest, sink: ResponseSink): Promise<RunResult>;
    /** Forwards the request to the gateway that owns its key. */
    forward(ownerId: string, request: RunnableRequest, sink: ResponseSink): Promise<RunResult>;
}

type IdempotentRunner = (request: RunnableRequest, idempotencyKey: string, sink: ResponseSink) => Promise<RunResult>;

function digestRequest(request: RunnableRequest): string {
    const hash = createHash("sha256").update(`${request.call.method} ${request.call.serverPath}\n`);
    return (Buffer.isBuffer(request.body) ? hash.update(request.body) : hash).digest("base64url");
}

function replay(response: StoredResponse, sink: ResponseSink, requestId: string): RunResult {
    if (response.body === undefined) {
        const detail = `it ran with status ${response.statusCode}; look up the result at the service`;
        sendProblem(sink, { type: problems.answerNotKept, outcome: response.outcome, detail, requestId });
        return { isDelivered: true, statusCode: problems.answerNotKept.statusCode, outcome: response.outcome };
    }
    sink.start(response.statusCode, response.headers, response.outcome);
    sink.write(response.body);
    sink.end();
    return { isDelivered: true, statusCode: response.statusCode, outcome: response.outcome };
}

/** The response that is stored for a run whose outcome is unknown. */
function toStoredResponse(problem: Problem): StoredResponse {
    const body = Buffer.from(renderProblem(problem));
    const headers = { "content-type": "application/problem+json", "content-length": String(body.length) };
    return { statusCode: problem.type.statusCode, headers, outcome: problem.outcome, body };
}

/** Creates the function that runs requests with an idempotency key. */
export function createIdempotentRunner(options: IdempotentRunnerOptions): IdempotentRunner {
    const { idempotencyStore, timers } = options;

    const fail = (request: RunnableRequest, type: ProblemType, outcome: Problem["outcome"], detail: string): RunResult => ({
        isDelivered: false,
        isResponseStarted: false,
        problem: { type, outcome, detail, requestId: request.requestId },
    });

    /** Waits until an earlier run with the same key has ended, at most until the deadline. */
    const waitForEarlierRun = (
        request: RunnableRequest,
        ended: Promise<StoredResponse | undefined>,
    ): Promise<StoredResponse | undefined | "late"> =>
        new Promise(resolve => {
            const cancel = timers.after(Math.max(0, request.deadlineMs - timers.nowMs()), () => resolve("late"));
            void ended.then(response => {
                cancel();
                resolve(response);
            });
        });

    const runNew = async (request: RunnableRequest, key: string, expiresAtMs: number, sink: ResponseSink): Promise<RunResult> => {
        const completeEntry = idempotencyStore.createEntry(key, digestRequest(request), expiresAtMs);
        if (!completeEntry) {
            const detail = `${idempotencyLimits.maxEntriesCount} keys are already stored; send it again later`;
            return fail(request, problems.ticketsFull, outcomes.notRun, detail);
        }
        const recording = createRecordingSink(sink, idempotencyLimits.maxStoredBodyBytes);
        const result = await options.run(request, recording.sink);
        if (result.isDelivered) {
            completeEntry(result.outcome === outcomes.notRun ? undefined : recording.response());
            return result;
        }
        completeEntry(result.problem.outcome === outcomes.notRun ? undefined : toStoredResponse(result.problem));
        return result;
    };

    const runAsOwner = async (request: RunnableRequest, key: string, expiresAtMs: number, sink: ResponseSink): Promise<RunResult> => {
        for (;;) {
            const entry = idempotencyStore.find(key);
            if (!entry) {
                return runNew(request, key, expiresAtMs, sink);
            }
            if (entry.requestDigest !== digestRequest(request)) {
                return fail(request, problems.requestMismatch, outcomes.notRun, "use a new idempotency key for a new request");
            }
            const response = await waitForEarlierRun(request, entry.response);
            if (response === "late") {
                return fail(
                    request,
                    problems.answerTimeout,
                    outcomes.unknown,
                    "the request with this key is still running; send it again later with the same key",
                );
            }
            if (response) {
                return replay(response, sink, request.requestId);
            }
        }
    };

    const forward = (request: RunnableRequest, ownerId: string, sink: ResponseSink): Promise<RunResult> | RunResult => {
        if (request.call.isForwarded) {
            return fail(
                request,
                problems.ownerUnreachable,
                outcomes.unknown,
                `gateway ${ownerId} owns the key, and this is another gateway; check the result`,
            );
        }
        return options.forward(ownerId, request, sink);
    };

    const runTicket = async (request: RunnableRequest, key: string, sink: ResponseSink): Promise<RunResult> => {
        const ticket = parseTicket(key)!;
        if (ticket.team !== request.team) {
            return fail(request, problems.ticketOfOtherTeam, outcomes.notRun, "create a ticket with this team's key");
        }
        if (ticket.ownerId !== options.ownMemberId) {
            return forward(request, ticket.ownerId, sink);
        }
        if (!idempotencyStore.isSignatureValid(key)) {
            return fail(
                request,
                problems.badRequest,
                outcomes.notRun,
                "this gateway did not issue the ticket; create one with POST /v1/tickets",
            );
        }
        const isExpired = ticket.expiresAtMs <= timers.wallClockMs();
        if (isExpired && !idempotencyStore.find(key)) {
            return fail(request, problems.ticketExpired, outcomes.unknown, "check the result before sending it again with a new ticket");
        }
        // The stored entry outlives the ticket, so that an expired ticket is never taken for a new one.
        return runAsOwner(request, key, ticket.expiresAtMs + idempotencyLimits.retentionMs, sink);
    };

    const runCallerKey = async (request: RunnableRequest, idempotencyKey: string, sink: ResponseSink): Promise<RunResult> => {
        const key = `${request.team}\n${idempotencyKey}`;
        const expiresAtMs = timers.wallClockMs() + claimRetentionS * 1000 + leaseReuseMs;
        if (idempotencyStore.find(key)) {
            return runAsOwner(request, key, expiresAtMs, sink);
        }
        const claim = await options.claims.claim(request.team, idempotencyKey);
        if (!claim.isOwnerKnown) {
            return fail(request, problems.claimUnavailable, outcomes.unknown, `${claim.reason}; send it again later with the same key`);
        }
        return claim.ownerId === options.ownMemberId ? runAsOwner(request, key, expiresAtMs, sink) : forward(request, claim.ownerId, sink);
    };

    return (request, idempotencyKey, sink) =>
        parseTicket(idempotencyKey) ? runTicket(request, idempotencyKey, sink) : runCallerKey(request, idempotencyKey, sink);
}
