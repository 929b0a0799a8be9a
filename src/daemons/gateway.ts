/** The gateway process: serves callers and operators. Assembles its components from the settings. */
import type http from "node:http";
import { describeError } from "../common/describeError.js";
import { createRequestIds } from "../common/ids.js";
import { delay } from "../common/timerService.js";
import { closeServer, listenOn } from "../connection/listen.js";
import type { BodyMemory } from "../listening/bodyMemory.js";
import { clientLimits, createLimitReport } from "../listening/limitReport.js";
import { createFleetWriter } from "../process/fleetWriter.js";
import { createGatewayState, describeGateway, type GatewayState } from "../process/gatewayState.js";
import { createKeyClaims } from "../process/keyClaims.js";
import { logEvents } from "../process/logEvents.js";
import { createProcessContext, type ProcessContext } from "../process/processContext.js";
import { createRetryBudget } from "../process/retryBudget.js";
import type { GatewaySettings } from "../process/settings.js";
import { createAdminHandler } from "../request/adminHandler.js";
import { createCallerHandler } from "../request/callerHandler.js";
import { createOwnerForwarder } from "../request/forwardToOwner.js";
import { createHealthHandler } from "../request/healthHandler.js";
import { createIdempotentRunner } from "../request/idempotentRequest.js";
import { sendAdminProblem } from "../request/jsonResponses.js";
import { createRequestRunner } from "../request/runRequest.js";
import { createDaemonListeners } from "./daemonListeners.js";

/** A running gateway or steward. */
export interface Daemon {
    /** Stops gracefully: finishes open requests, releases allotments and leases, and resolves. */
    stop(): Promise<void>;
}

type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** Shares of the connections that the process can take. */
const shares = { callers: 0.65, operators: 0.1, peers: 0.25 } as const;

/** State that the graceful shutdown of a gateway depends on. */
interface ShutdownState {
    isLeaving: boolean;
    openRequestsCount: number;
}

const acceptanceWaitMs = 3_000;
const drainPollIntervalMs = 20;
const serverOptions: http.ServerOptions = {
    // A body that waits for a server is buffered up to this; one that comes in chunks of one byte takes hundreds of times its size.
    highWaterMark: 512,
    // Time within which a caller's whole request must be received.
    requestTimeout: 120_000,
};

function createCallerRequestHandler(
    context: ProcessContext,
    settings: GatewaySettings,
    state: GatewayState,
    bodies: BodyMemory,
): RequestHandler {
    const { memberId, timers, logger, metrics } = context;
    const run = createRequestRunner({ ...context, ...state, retries: createRetryBudget() });
    const runIdempotent = createIdempotentRunner({
        ownMemberId: memberId,
        timers,
        idempotencyStore: state.idempotencyStore,
        claims: createKeyClaims({ ...context, ownerId: memberId }),
        run,
        forward: createOwnerForwarder({ ...context, ownMemberId: memberId, members: state.membership.members }),
    });
    return createCallerHandler({
        availabilityZone: settings.availabilityZone,
        timers,
        logger,
        metrics,
        configuration: state.configuration,
        idempotencyStore: state.idempotencyStore,
        bodies,
        run,
        runIdempotent,
        nextRequestId: createRequestIds(memberId),
    });
}

/** Wraps a handler: counts open requests, closes callers' connections during shutdown, and logs unexpected errors. */
function createCountedHandler(
    context: ProcessContext,
    state: GatewayState,
    shutdownState: ShutdownState,
    serve: RequestHandler,
): RequestHandler {
    return async (request, response) => {
        shutdownState.openRequestsCount++;
        state.checkStall();
        if (shutdownState.isLeaving) {
            response.setHeader("connection", "close");
        }
        try {
            await serve(request, response);
        }
        catch (error) {
            context.logger.log(logEvents.unexpectedError, {
                where: "caller request",
                error: describeError(error),
            });
            response.destroy();
        }
        finally {
            shutdownState.openRequestsCount--;
        }
    };
}

interface Listeners {
    callers: http.Server;
    operators: http.Server;
    peers: http.Server;
}

function createListeners(context: ProcessContext, settings: GatewaySettings, state: GatewayState, shutdownState: ShutdownState): Listeners {
    const { store, timers, logger, metrics } = context;
    const { configuration } = state;
    const { bodies, createServer } = createDaemonListeners(context, settings);
    const notReadyReason = (): string | undefined => {
        if (shutdownState.isLeaving) {
            return "stopping";
        }
        return configuration.current() ? undefined : "no configuration yet";
    };
    const serveHealth = createHealthHandler({ metrics, storeCalls: store.callCounts, notReadyReason });
    const serveCaller = createCountedHandler(context, state, shutdownState, createCallerRequestHandler(context, settings, state, bodies));
    const serveAdmin = createAdminHandler({
        operatorKey: settings.operatorKey,
        configuration,
        writer: createFleetWriter({ store, timers, logger, configuration }),
        acceptance: state.acceptance,
        acceptanceWaitMs,
        nowMs: timers.wallClockMs,
        status: () => describeGateway(context, settings.availabilityZone, state),
    });
    const callers = createServer(
        "callers",
        shares.callers,
        (request, response) => serveHealth(request, response) || void serveCaller(request, response),
        { serverOptions },
    );
    const operators = createServer("operators", shares.operators, (request, response) => {
        if (!serveHealth(request, response) && !serveAdmin(request, response)) {
            sendAdminProblem(response, 404, "There is no such path", { detail: `found '${request.url}'; docs/API.md lists the calls` });
        }
    }, { serverOptions });
    const peers = createServer(
        "peers",
        shares.peers,
        (_request, response) => sendAdminProblem(response, 426, "Only WebSocket connections are taken here", {}),
        { onUpgrade: state.peers.acceptUpgrade },
    );
    return { callers, operators, peers };
}

function closeAll(context: ProcessContext, listeners: Listeners): void {
    context.shutDown();
    Object.values(listeners).forEach((server: http.Server) => {
        server.closeAllConnections();
        server.close();
    });
}

async function stopGateway(
    context: ProcessContext,
    settings: GatewaySettings,
    state: GatewayState,
    shutdownState: ShutdownState,
    listeners: Listeners,
): Promise<void> {
    const { timers, logger } = context;
    const { allotments } = state;
    const deadlineMs = timers.nowMs() + settings.stopNoticeMs + settings.drainTimeoutMs;
    const isIdle = (): boolean =>
        shutdownState.openRequestsCount === 0 && Object.values(allotments.usage()).every(team => team.usedSlots === 0);
    shutdownState.isLeaving = true;
    logger.log(logEvents.processStopping, { openRequestsCount: shutdownState.openRequestsCount, noticeMs: settings.stopNoticeMs });
    // The load balancer needs time to notice that the gateway is not ready; requests are served until then.
    await delay(timers, settings.stopNoticeMs);
    const closed = closeServer(listeners.callers);
    while (!isIdle() && timers.nowMs() < deadlineMs) {
        await delay(timers, drainPollIntervalMs);
    }
    state.admission.stop();
    // Requests that may still be running keep their allotments; the steward reclaims these once the VM is gone.
    const isHandedBack = isIdle() && await allotments.handBack();
    if (isHandedBack) {
        await state.membership.leave();
    }
    logger.log(logEvents.processStopped, { isHandedBack, openRequestsCount: shutdownState.openRequestsCount });
    await Promise.race([closed, delay(timers, drainPollIntervalMs)]);
    closeAll(context, listeners);
}

/** Starts a gateway; resolves when it listens on all its addresses. */
export async function startGateway(settings: GatewaySettings): Promise<Daemon> {
    const context = createProcessContext("gateway", settings);
    const reportPeers = createLimitReport({ ...context, listener: "peers", nowMs: context.timers.nowMs });
    const state = createGatewayState(context, settings, { onPartialBytesExceeded: () => reportPeers(clientLimits.bodyBytes) });
    const shutdownState: ShutdownState = { isLeaving: false, openRequestsCount: 0 };
    const listeners = createListeners(context, settings, state, shutdownState);
    const { callerAddress, adminAddress, peerAddress } = settings;
    try {
        await listenOn(listeners.callers, callerAddress);
        await listenOn(listeners.operators, adminAddress);
        await listenOn(listeners.peers, peerAddress);
    }
    catch (error) {
        closeAll(context, listeners);
        throw error;
    }
    state.membership.start();
    context.logger.log(logEvents.processStarted, { callerAddress, adminAddress, peerAddress });
    return { stop: () => stopGateway(context, settings, state, shutdownState, listeners) };
}
