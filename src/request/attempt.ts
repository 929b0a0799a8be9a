/** One attempt: sends a request over one connection and forwards the response, or reports at which stage it failed. */
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
    /** Time within which the response headers must be received. */
    headersTimeoutMs: number;
    /** Longest time without data within a response body. */
    bodyIdleTimeoutMs: number;
    /** Whether the response must contain the request id. */
    mustEchoRequestId: boolean;
    /** Whether the request goes to a peer gateway, whose outcome header is forwarded. */
    isPeer: boolean;
}

export type AttemptResult =
    | { isDelivered: true; statusCode: number; outcome: Outcome }
    | { isDelivered: false; stage: AttemptStage; problem: ProblemType; detail: string; isResponseStarted: boolean };

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Statuses whose responses have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

function isDelimited(method: string, statusCode: number, headers: Headers): boolean {
    return method === "HEAD" || bodylessStatuses.has(statusCode) || headers["content-length"] !== undefined ||
        String(headers["transfer-encoding"] ?? "").toLowerCase().endsWith("chunked");
}

function hasWrongRequestId(request: AttemptRequest, headers: Headers): boolean {
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

/** Makes one attempt; the connection is released or discarded before the promise resolves. */
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
        let abortResponse: (reason: Error) => void = () => undefined;

        const settle = (result: AttemptResult): void => {
            isSettled = true;
            cancelTimer();
            resolve(result);
        };

        /** Ends the attempt without a complete response. */
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
                isResponseStarted,
            });
            discard();
            abortResponse(new Error(detail));
        };

        const onTimeout = (): void => {
            if (isResponseStarted && isPaused) {
                // Backpressure: the caller reads slowly, so the server cannot send.
                cancelTimer = timers.after(request.bodyIdleTimeoutMs, onTimeout);
                return;
            }
            const idleMs = timers.nowMs() - lastProgressMs;
            if (isResponseStarted && idleMs < request.bodyIdleTimeoutMs) {
                cancelTimer = timers.after(request.bodyIdleTimeoutMs - idleMs, onTimeout);
                return;
            }
            const waitedMs = isResponseStarted ? request.bodyIdleTimeoutMs : request.headersTimeoutMs;
            fail(
                problems.answerTimeout,
                `no data was received for ${waitedMs} ms; check the result before sending again`,
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
                abortResponse = reason => controller.abort(reason);
            },
            onResponseStart: (controller, status, headers) => {
                if (isSettled || status < 200) {
                    return;
                }
                statusCode = status;
                if (hasWrongRequestId(request, headers)) {
                    fail(problems.answerForeign, "the response has the id of another request", connection.discard);
                    return;
                }
                if (!isDelimited(request.method, status, headers)) {
                    fail(problems.answerUnbounded, "the response has neither a content length nor chunked encoding", connection.discard);
                    return;
                }
                outcome = readOutcome(request, headers);
                if (outcome === outcomes.notRun && !request.isPeer) {
                    const detail = "the backend server rejected the request before running it";
                    settle({
                        isDelivered: false,
                        stage: attemptStages.refusedByServer,
                        problem: problems.serverRefused,
                        detail,
                        isResponseStarted,
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
