/** Handles callers' requests: authenticates them, runs them, and sends the response or a problem. */
import type http from "node:http";
import { type Outcome, outcomes } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";
import { headerNames } from "../connection/httpHeaders.js";
import { type BodyMemory, bodyResults } from "../listening/bodyMemory.js";
import { endAfterRequest } from "../listening/refuse.js";
import type { ConfigurationManager } from "../process/configurationManager.js";
import type { IdempotencyStore } from "../process/idempotencyStore.js";
import { logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import type { Metrics } from "../process/metrics.js";
import type { SiteConfiguration } from "../version/fleetDocument.js";
import type { AppliedVersion } from "../version/fleetVersion.js";
import { findKey } from "../version/teamKeys.js";
import { type CallerRequest, parseCallerRequest, type RequestRejection } from "./callerRequest.js";
import { readJsonBody, sendJson } from "./jsonResponses.js";
import { problems } from "./problems.js";
import { hasBody, isBufferable, maxBufferedBodyBytes } from "./requestBody.js";
import { createCallerResponseSink, type ResponseSink, sendProblem } from "./responseSink.js";
import type { RunnableRequest, RunResult } from "./runRequest.js";

export interface CallerHandlerOptions {
    availabilityZone: string;
    timers: TimerService;
    logger: Logger;
    metrics: Metrics;
    configuration: ConfigurationManager;
    idempotencyStore: IdempotencyStore;
    bodies: BodyMemory;
    nextRequestId(): string;
    run(request: RunnableRequest, sink: ResponseSink): Promise<RunResult>;
    runIdempotent(request: RunnableRequest, idempotencyKey: string, sink: ResponseSink): Promise<RunResult>;
}

/** Team of requests without a key to an open service. */
export const anonymousTeam = "open";
const anonymousShareWeight = 1;
const maxTicketsPerRequest = 1_000;
const maxTicketsBodyBytes = 4_096;
/** Longest time between two pieces of a buffered body. */
const maxBodySilenceMs = 15_000;
const bodyRejections = {
    overloaded: { type: problems.overloaded, detail: "too many bodies are being received; send it again in a second" },
    stalled: { type: problems.bodyStalled, detail: `nothing of the body came for ${maxBodySilenceMs} ms; send it whole` },
} as const satisfies Record<string, RequestRejection>;
const ticketsPath = "/v1/tickets";

interface Caller {
    team: string;
    shareWeight: number;
    isLimited: boolean;
}

/** Creates the handler for the callers' listener; its promise resolves when the request has ended. */
export function createCallerHandler(
    options: CallerHandlerOptions,
): (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void> {
    const { timers, logger, metrics, configuration } = options;

    const readKey = (request: http.IncomingMessage): string | undefined => request.headers.authorization?.replace(/^Bearer +/i, "");

    /** Authenticates the caller by its key; open services need none. */
    const authenticate = (
        request: http.IncomingMessage,
        version: AppliedVersion,
        site: SiteConfiguration,
        isOpen: boolean,
    ): Caller | undefined => {
        const key = readKey(request);
        if (key === undefined) {
            return isOpen ? { team: anonymousTeam, shareWeight: anonymousShareWeight, isLimited: false } : undefined;
        }
        const record = findKey(version.keysById, key);
        const team = record && site.teams[record.team];
        return team && { team: record.team, shareWeight: team.shareWeight, isLimited: true };
    };

    /** What the current version denies is denied only if the store has no newer one. */
    const confirmRejection = async (rejection: RequestRejection): Promise<RequestRejection> =>
        !rejection.isByVersion || await configuration.isNewest() ? rejection : {
            type: problems.noConfiguration,
            detail: `${rejection.type.id} by version ${configuration.version()}, which may be old: the store has a newer one or does not ` +
                "respond; send it again in a second",
        };

    const reject = async (
        request: http.IncomingMessage,
        sink: ResponseSink,
        requestId: string,
        rejection: RequestRejection,
    ): Promise<void> => {
        const { type, detail } = await confirmRejection(rejection);
        // The idempotency key has not been looked up yet, so an earlier request with the same key may have run.
        const isKeyed = request.headers[headerNames.idempotencyKey] !== undefined && type !== problems.badRequest;
        const outcome = isKeyed ? outcomes.unknown : outcomes.notRun;
        logger.log(logEvents.requestRejected, { requestId, problem: type.id, outcome, detail });
        metrics.requestsTotal.inc({ service: "", team: "", outcome });
        sendProblem(sink, { type, detail, requestId, outcome });
    };

    /** Returns why requests cannot be served now, or `undefined` if they can. */
    const findUnavailability = (): RequestRejection | undefined => {
        const detail = "the gateway refreshes its configuration after the process was paused; send it again at once";
        return configuration.isFresh() ? undefined : { type: problems.noConfiguration, detail };
    };

    const finishRun = (runnable: RunnableRequest, result: RunResult, sink: ResponseSink): Outcome => {
        if (result.isDelivered) {
            return result.outcome;
        }
        const { problem } = result;
        logger.log(logEvents.requestRejected, {
            requestId: runnable.requestId,
            team: runnable.team,
            service: runnable.call.serviceId,
            problem: problem.type.id,
            outcome: problem.outcome,
            detail: problem.detail,
        });
        if (result.isResponseStarted) {
            sink.abort();
        }
        else {
            sendProblem(sink, problem);
        }
        return problem.outcome;
    };

    const runRequest = async (runnable: RunnableRequest, sink: ResponseSink, startedMs: number): Promise<void> => {
        const key = runnable.call.idempotencyKey;
        const result = key === undefined ? await options.run(runnable, sink) : await options.runIdempotent(runnable, key, sink);
        const outcome = finishRun(runnable, result, sink);
        metrics.requestsTotal.inc({ service: runnable.call.serviceId, team: runnable.team, outcome });
        metrics.requestDurationSeconds.observe({ service: runnable.call.serviceId }, (timers.nowMs() - startedMs) / 1000);
        logger.log(logEvents.requestEnded, { requestId: runnable.requestId, outcome });
    };

    /** Buffers a small body and streams a larger one; returns why neither is possible, or how to release what it takes. */
    const openBody = async (
        request: http.IncomingMessage,
    ): Promise<{ body: RunnableRequest["body"]; release(): void } | RequestRejection> => {
        if (!hasBody(request)) {
            return { body: undefined, release: () => undefined };
        }
        if (!isBufferable(request)) {
            // Its request may have reached a server, so that the connection is closed without an answer.
            return options.bodies.startStream(request, () => request.destroy()) ?? bodyRejections.overloaded;
        }
        const received = await options.bodies.receive(request, maxBufferedBodyBytes, maxBodySilenceMs);
        if (received.kind !== bodyResults.received) {
            return received.kind === bodyResults.stalled ? bodyRejections.stalled : bodyRejections.overloaded;
        }
        return { body: received.bytes, release: received.release };
    };

    const serveService = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        version: AppliedVersion,
        site: SiteConfiguration,
    ): Promise<void> => {
        const startedMs = timers.nowMs();
        const requestId = options.nextRequestId();
        const sink = createCallerResponseSink(response);
        const read = parseCallerRequest(request, site);
        if (read.err) {
            await reject(request, sink, requestId, read.val);
            return;
        }
        const call: CallerRequest = read.val;
        const caller = authenticate(request, version, site, call.service.isOpen);
        if (!caller) {
            await reject(request, sink, requestId, {
                type: problems.unauthorized,
                detail: "header Authorization: send 'Bearer <key>' with a valid key of a team",
                isByVersion: true,
            });
            return;
        }
        let opened: Awaited<ReturnType<typeof openBody>>;
        try {
            opened = await openBody(request);
        }
        catch {
            response.destroy();
            return;
        }
        if ("type" in opened) {
            response.setHeader("retry-after", "1");
            response.setHeader("connection", "close");
            await reject(request, createCallerResponseSink(response, () => endAfterRequest(request, response)), requestId, opened);
            return;
        }
        const runnable: RunnableRequest = {
            call,
            requestId,
            team: caller.team,
            shareWeight: caller.shareWeight,
            isLimited: caller.isLimited,
            rawHeaders: request.rawHeaders,
            body: opened.body,
            deadlineMs: startedMs + call.timeoutMs,
            isCallerDisconnected: () => response.destroyed || request.socket.destroyed,
        };
        try {
            await runRequest(runnable, sink, startedMs);
        }
        finally {
            opened.release();
        }
    };

    const serveTickets = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        version: AppliedVersion,
        site: SiteConfiguration,
    ): Promise<void> => {
        const sink = createCallerResponseSink(response);
        const requestId = options.nextRequestId();
        const caller = authenticate(request, version, site, false);
        if (!caller) {
            await reject(request, sink, requestId, {
                type: problems.unauthorized,
                detail: "header Authorization: send 'Bearer <key>' with a valid key of a team",
                isByVersion: true,
            });
            return;
        }
        const body = await readJsonBody(request, maxTicketsBodyBytes);
        const count = body.ok ? (body.val as { count?: unknown }).count ?? 1 : undefined;
        if (typeof count !== "number" || !Number.isInteger(count) || count < 1 || count > maxTicketsPerRequest) {
            await reject(request, sink, requestId, {
                type: problems.badRequest,
                detail: `body: send {"count": 1 to ${maxTicketsPerRequest}}`,
            });
            return;
        }
        const tickets = Array.from({ length: count }, () => options.idempotencyStore.issueTicket(caller.team)).filter(ticket =>
            ticket !== undefined
        );
        if (tickets.length < count) {
            await reject(request, sink, requestId, { type: problems.ticketsFull, detail: "send it again later, or to another gateway" });
            return;
        }
        sendJson(response, 201, { tickets });
    };

    return async (request, response) => {
        const unavailability = findUnavailability();
        const version = configuration.current();
        const site = version?.fleet.sites[options.availabilityZone];
        if (unavailability || !version || !site) {
            const missing = {
                type: problems.noConfiguration,
                detail: "the configuration does not contain this zone yet; send it again later",
            };
            await reject(request, createCallerResponseSink(response), options.nextRequestId(), unavailability ?? missing);
            return;
        }
        if (request.url === ticketsPath && request.method === "POST") {
            await serveTickets(request, response, version, site);
            return;
        }
        await serveService(request, response, version, site);
    };
}
