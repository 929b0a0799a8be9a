/** One attempt: sends a request over one connection and passes the whole answer on, or tells how far it came. */
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { type Outcome, outcomes } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";
import { copyResponseHeaders, headerNames } from "../connection/httpHeaders.js";
import type { ServerConnection } from "../connection/serverConnections.js";
import { type AttemptStage, attemptStages } from "../decisions/retryPolicy.js";
import { problems, type ProblemType } from "./problems.js";
import type { ResponseSink } from "./responseSink.js";

export interface AttemptRequest {
    requestId: string;
    method: string;
    path: string;
    /** Alternating names and values. */
    headers: string[];
    body: Buffer | Readable | undefined;
    /** Time until the answer's head must have come. */
    headersTimeoutMs: number;
    /** Longest silence within an answer. */
    bodyIdleTimeoutMs: number;
    /** Whether the answer must repeat the request id. */
    mustEchoRequestId: boolean;
    /** Whether the answerer is a peer, whose word on the outcome is passed on. */
    isPeer: boolean;
}

export type AttemptResult =
    | { isDelivered: true; statusCode: number; outcome: Outcome }
    | { isDelivered: false; stage: AttemptStage; problem: ProblemType; detail: string; isResponseStarted: boolean };

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Statuses whose answers have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

function hasKnownEnd(method: string, statusCode: number, headers: Headers): boolean {
    return method === "HEAD" || bodylessStatuses.has(statusCode) || headers["content-length"] !== undefined ||
        String(headers["transfer-encoding"] ?? "").toLowerCase().endsWith("chunked");
}

function isForeign(request: AttemptRequest, headers: Headers): boolean {
    const echoed = request.isPeer ? undefined : headers[headerNames.requestId];
    return echoed === undefined ? request.mustEchoRequestId : echoed !== request.requestId;
}

function readOutcome(request: AttemptRequest, headers: Headers): Outcome {
    const named = Object.values(outcomes).find(outcome => outcome === headers[headerNames.outcome]);
    if (request.isPeer) {
        return named ?? outcomes.unknown;
    }
    return named === outcomes.notRun ? outcomes.notRun : outcomes.done;
}

/** Carries out one attempt; the connection is released or discarded before the result comes. */
export function sendAttempt(
    connection: ServerConnection,
    timers: TimerService,
    request: AttemptRequest,
    sink: ResponseSink,
): Promise<AttemptResult> {
    return new Promise(resolve => {
        let isSent = false;
        let isSettled = false;
        let isResponseStarted = false;
        let isPaused = false;
        let statusCode = 0;
        let outcome: Outcome = outcomes.unknown;
        let lastProgressMs = 0;
        let abortAnswer: (reason: Error) => void = () => undefined;

        const settle = (result: AttemptResult): void => {
            isSettled = true;
            cancelTimer();
            resolve(result);
        };

        /** Ends the attempt without a whole answer. */
        const fail = (problem: ProblemType, detail: string, discard: () => void): void => {
            if (isSettled) {
                return;
            }
            const stage = isSent ? attemptStages.maybeRun : attemptStages.notSent;
            settle({
                isDelivered: false,
                stage,
                problem: isSent ? problem : problems.connectFailed,
                detail,
                isResponseStarted: isResponseStarted,
            });
            discard();
            abortAnswer(new Error(detail));
        };

        const onTimeout = (): void => {
            if (isResponseStarted && isPaused) {
                // The caller reads slowly; the server is not silent.
                cancelTimer = timers.after(request.bodyIdleTimeoutMs, onTimeout);
                return;
            }
            const silentMs = timers.nowMs() - lastProgressMs;
            if (isResponseStarted && silentMs < request.bodyIdleTimeoutMs) {
                cancelTimer = timers.after(request.bodyIdleTimeoutMs - silentMs, onTimeout);
                return;
            }
            const waitedMs = isResponseStarted ? request.bodyIdleTimeoutMs : request.headersTimeoutMs;
            fail(
                problems.answerTimeout,
                `nothing came for ${waitedMs} ms; look at the result before sending again`,
                connection.discardUnresponsive,
            );
        };
        let cancelTimer = timers.after(request.headersTimeoutMs, onTimeout);

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: controller => {
                if (isSettled) {
                    controller.abort(new Error("the attempt has ended"));
                    return;
                }
                isSent = true;
                abortAnswer = reason => controller.abort(reason);
            },
            onResponseStart: (controller, status, headers) => {
                if (isSettled || status < 200) {
                    return;
                }
                statusCode = status;
                if (isForeign(request, headers)) {
                    fail(problems.answerForeign, "the answer carries another request's id", connection.discard);
                    return;
                }
                if (!hasKnownEnd(request.method, status, headers)) {
                    fail(problems.answerUnbounded, "the answer has neither a length nor chunks", connection.discard);
                    return;
                }
                outcome = readOutcome(request, headers);
                if (outcome === outcomes.notRun && !request.isPeer) {
                    const detail = "the backend server refused it before it ran";
                    settle({
                        isDelivered: false,
                        stage: attemptStages.refusedByServer,
                        problem: problems.serverRefused,
                        detail,
                        isResponseStarted: isResponseStarted,
                    });
                    connection.discard();
                    controller.abort(new Error(detail));
                    return;
                }
                isResponseStarted = true;
                lastProgressMs = timers.nowMs();
                cancelTimer();
                cancelTimer = timers.after(request.bodyIdleTimeoutMs, onTimeout);
                sink.start(status, copyResponseHeaders(headers), outcome);
            },
            onResponseData: (controller, chunk) => {
                if (isSettled) {
                    return;
                }
                lastProgressMs = timers.nowMs();
                if (!sink.write(chunk)) {
                    isPaused = true;
                    controller.pause();
                    sink.onDrain(() => {
                        isPaused = false;
                        lastProgressMs = timers.nowMs();
                        controller.resume();
                    });
                }
            },
            onResponseEnd: () => {
                if (isSettled) {
                    return;
                }
                connection.release();
                sink.end();
                settle({ isDelivered: true, statusCode, outcome });
            },
            onResponseError: (_controller, error) => fail(problems.answerLost, error.message, connection.discard),
        };
        const { method, path, headers, body } = request;
        connection.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, handler);
    });
}
