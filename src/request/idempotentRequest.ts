/**
 * Requests with an idempotency key. Only the key's owner may start them; every other gateway forwards. Before the owner
 * has looked the key up, nobody can say that nothing ran under it: such a refusal's outcome is `unknown`.
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
    ledger: IdempotencyStore;
    claims: KeyClaims;
    run(request: RunnableRequest, sink: ResponseSink): Promise<RunResult>;
    /** Sends the request to the gateway that owns its key. */
    forward(ownerId: string, request: RunnableRequest, sink: ResponseSink): Promise<RunResult>;
}

type KeyedRunner = (request: RunnableRequest, idempotencyKey: string, sink: ResponseSink) => Promise<RunResult>;

function digestRequest(request: RunnableRequest): string {
    const hash = createHash("sha256").update(`${request.call.method} ${request.call.serverPath}\n`);
    return (Buffer.isBuffer(request.body) ? hash.update(request.body) : hash).digest("base64url");
}

function replay(answer: StoredResponse, sink: ResponseSink, requestId: string): RunResult {
    if (answer.body === undefined) {
        const detail = `it ran with status ${answer.statusCode}; look its result up at the service`;
        sendProblem(sink, { type: problems.answerNotKept, outcome: answer.outcome, detail, requestId });
        return { isDelivered: true, statusCode: problems.answerNotKept.statusCode, outcome: answer.outcome };
    }
    sink.start(answer.statusCode, answer.headers, answer.outcome);
    sink.write(answer.body);
    sink.end();
    return { isDelivered: true, statusCode: answer.statusCode, outcome: answer.outcome };
}

/** The answer that is kept of a run whose end is unknown. */
function keepProblem(problem: Problem): StoredResponse {
    const body = Buffer.from(renderProblem(problem));
    const headers = { "content-type": "application/problem+json", "content-length": String(body.length) };
    return { statusCode: problem.type.statusCode, headers, outcome: problem.outcome, body };
}

/** Creates the function that runs requests with an idempotency key. */
export function createIdempotentRunner(options: IdempotentRunnerOptions): KeyedRunner {
    const { ledger, timers } = options;

    const fail = (request: RunnableRequest, type: ProblemType, outcome: Problem["outcome"], detail: string): RunResult => ({
        isDelivered: false,
        isResponseStarted: false,
        problem: { type, outcome, detail, requestId: request.requestId },
    });

    /** Waits for the end of an earlier run with the same key, at most until the deadline. */
    const awaitEnd = (request: RunnableRequest, ended: Promise<StoredResponse | undefined>): Promise<StoredResponse | undefined | "late"> =>
        new Promise(resolve => {
            const cancel = timers.after(Math.max(0, request.deadlineMs - timers.nowMs()), () => resolve("late"));
            void ended.then(answer => {
                cancel();
                resolve(answer);
            });
        });

    const runFirst = async (request: RunnableRequest, key: string, expiresAtMs: number, sink: ResponseSink): Promise<RunResult> => {
        const close = ledger.createEntry(key, digestRequest(request), expiresAtMs);
        if (!close) {
            const detail = `${idempotencyLimits.maxEntriesCount} keys are kept already; send it again later`;
            return fail(request, problems.ticketsFull, outcomes.notRun, detail);
        }
        const recording = createRecordingSink(sink, idempotencyLimits.maxStoredBodyBytes);
        const result = await options.run(request, recording.sink);
        if (result.isDelivered) {
            close(result.outcome === outcomes.notRun ? undefined : recording.response());
            return result;
        }
        close(result.problem.outcome === outcomes.notRun ? undefined : keepProblem(result.problem));
        return result;
    };

    const runOwned = async (request: RunnableRequest, key: string, expiresAtMs: number, sink: ResponseSink): Promise<RunResult> => {
        for (;;) {
            const entry = ledger.find(key);
            if (!entry) {
                return runFirst(request, key, expiresAtMs, sink);
            }
            if (entry.requestDigest !== digestRequest(request)) {
                return fail(request, problems.requestMismatch, outcomes.notRun, "use a new idempotency key for a new request");
            }
            const answer = await awaitEnd(request, entry.response);
            if (answer === "late") {
                return fail(
                    request,
                    problems.answerTimeout,
                    outcomes.unknown,
                    "the request with this key still runs; send it again later with the same key",
                );
            }
            if (answer) {
                return replay(answer, sink, request.requestId);
            }
        }
    };

    const forward = (request: RunnableRequest, ownerId: string, sink: ResponseSink): Promise<RunResult> | RunResult => {
        if (request.call.isForwarded) {
            return fail(
                request,
                problems.ownerUnreachable,
                outcomes.unknown,
                `gateway ${ownerId} owns the key and this is another; look at the result`,
            );
        }
        return options.forward(ownerId, request, sink);
    };

    const runTicket = async (request: RunnableRequest, key: string, sink: ResponseSink): Promise<RunResult> => {
        const ticket = parseTicket(key)!;
        if (ticket.team !== request.team) {
            return fail(request, problems.ticketOfOtherTeam, outcomes.notRun, "mint a ticket with this team's key");
        }
        if (ticket.ownerId !== options.ownMemberId) {
            return forward(request, ticket.ownerId, sink);
        }
        if (!ledger.isSignatureValid(key)) {
            return fail(request, problems.badRequest, outcomes.notRun, "the ticket was not minted here; mint one with POST /v1/tickets");
        }
        const isExpired = ticket.expiresAtMs <= timers.wallClockMs();
        if (isExpired && !ledger.find(key)) {
            return fail(request, problems.ticketExpired, outcomes.unknown, "look at the result before sending it again with a new ticket");
        }
        // The entry outlives the ticket, so that an expired one is never taken for a new one.
        return runOwned(request, key, ticket.expiresAtMs + idempotencyLimits.retentionMs, sink);
    };

    const runOwnKey = async (request: RunnableRequest, idempotencyKey: string, sink: ResponseSink): Promise<RunResult> => {
        const key = `${request.team}\n${idempotencyKey}`;
        const expiresAtMs = timers.wallClockMs() + claimRetentionS * 1000 + leaseReuseMs;
        if (ledger.find(key)) {
            return runOwned(request, key, expiresAtMs, sink);
        }
        const claim = await options.claims.claim(request.team, idempotencyKey);
        if (!claim.isOwnerKnown) {
            return fail(request, problems.claimUnavailable, outcomes.unknown, `${claim.reason}; send it again later with the same key`);
        }
        return claim.ownerId === options.ownMemberId ? runOwned(request, key, expiresAtMs, sink) : forward(request, claim.ownerId, sink);
    };

    return (request, idempotencyKey, sink) =>
        parseTicket(idempotencyKey) ? runTicket(request, idempotencyKey, sink) : runOwnKey(request, idempotencyKey, sink);
}
