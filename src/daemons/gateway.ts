/** The gateway: serves callers and operators. Wires the parts to the settings. */
import http from "node:http";
import type { Duplex } from "node:stream";
import { createRequestIds } from "../common/ids.js";
import { delay } from "../common/timerService.js";
import { closeServer, listenOn } from "../connection/listen.js";
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

/** A running daemon. */
export interface Daemon {
    /** Stops gracefully: finishes its requests, hands back what it holds, and resolves. */
    stop(): Promise<void>;
}

type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** What its end needs to know of a gateway. */
interface Life {
    isLeaving: boolean;
    openRequestsCount: number;
}

const acceptanceWaitMs = 3_000;
const drainPollIntervalMs = 20;
const serverOptions: http.ServerOptions = {
    maxHeaderSize: 16 * 1024,
    headersTimeout: 10_000,
    // A caller's whole request must have come within this time.
    requestTimeout: 120_000,
};

function createCallerPath(context: ProcessContext, settings: GatewaySettings, state: GatewayState): RequestHandler {
    const { memberId, timers, logger, metrics } = context;
    const run = createRequestRunner({ ...context, ...state, retries: createRetryBudget() });
    const runKeyed = createIdempotentRunner({
        ownMemberId: memberId,
        timers,
        ledger: state.idempotencyStore,
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
        ledger: state.idempotencyStore,
        run,
        runIdempotent: runKeyed,
        nextRequestId: createRequestIds(memberId),
    });
}

/** Counts open requests, tells callers of a leaving gateway to go elsewhere, and catches what nobody expected. */
function createCountedHandler(context: ProcessContext, state: GatewayState, life: Life, serve: RequestHandler): RequestHandler {
    return async (request, response) => {
        life.openRequestsCount++;
        state.checkStall();
        if (life.isLeaving) {
            response.setHeader("connection", "close");
        }
        try {
            await serve(request, response);
        }
        catch (error) {
            context.logger.log(logEvents.unexpectedError, {
                where: "caller request",
                error: error instanceof Error ? error.stack : String(error),
            });
            response.destroy();
        }
        finally {
            life.openRequestsCount--;
        }
    };
}

interface Listeners {
    callers: http.Server;
    operators: http.Server;
    peers: http.Server;
}

function createListeners(context: ProcessContext, settings: GatewaySettings, state: GatewayState, life: Life): Listeners {
    const { store, timers, logger, metrics } = context;
    const { configuration } = state;
    const notReadyReason = (): string | undefined => {
        if (life.isLeaving) {
            return "stopping";
        }
        return configuration.current() ? undefined : "no configuration yet";
    };
    const serveHealth = createHealthHandler({ metrics, storeCalls: store.callCounts, notReadyReason });
    const serveCaller = createCountedHandler(context, state, life, createCallerPath(context, settings, state));
    const serveAdmin = createAdminHandler({
        operatorKey: settings.operatorKey,
        configuration,
        writer: createFleetWriter({ store, timers, logger, configuration }),
        acceptance: state.acceptance,
        acceptanceWaitMs,
        nowMs: timers.wallClockMs,
        status: () => describeGateway(context, settings.availabilityZone, state),
    });
    const callers = http.createServer(
        serverOptions,
        (request, response) => serveHealth(request, response) || void serveCaller(request, response),
    );
    const operators = http.createServer(serverOptions, (request, response) => {
        if (!serveHealth(request, response) && !serveAdmin(request, response)) {
            sendAdminProblem(response, 404, "There is no such path", { detail: `found '${request.url}'; docs/API.md lists the calls` });
        }
    });
    const peers = http.createServer((_request, response) =>
        sendAdminProblem(response, 426, "Only WebSocket connections are taken here", {})
    );
    peers.on("upgrade", (request: http.IncomingMessage, socket: Duplex, head: Buffer) => state.peers.acceptUpgrade(request, socket, head));
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
    life: Life,
    listeners: Listeners,
): Promise<void> {
    const { timers, logger } = context;
    const { allotments } = state;
    const untilMs = timers.nowMs() + settings.stopNoticeMs + settings.drainTimeoutMs;
    const isIdle = (): boolean => life.openRequestsCount === 0 && Object.values(allotments.usage()).every(team => team.usedSlots === 0);
    life.isLeaving = true;
    logger.log(logEvents.processStopping, { openRequestsCount: life.openRequestsCount, noticeMs: settings.stopNoticeMs });
    // The balancer needs time to see that the gateway is not ready; until then it serves on.
    await delay(timers, settings.stopNoticeMs);
    const closed = closeServer(listeners.callers);
    while (!isIdle() && timers.nowMs() < untilMs) {
        await delay(timers, drainPollIntervalMs);
    }
    state.admission.stop();
    // What may still run keeps its part of the limits; the steward reclaims it when the VM is gone.
    const isHandedBack = isIdle() && await allotments.handBack();
    if (isHandedBack) {
        await state.membership.leave();
    }
    logger.log(logEvents.processStopped, { isHandedBack, openRequestsCount: life.openRequestsCount });
    await Promise.race([closed, delay(timers, drainPollIntervalMs)]);
    closeAll(context, listeners);
}

/** Starts a gateway and resolves when it listens. */
export async function startGateway(settings: GatewaySettings): Promise<Daemon> {
    const context = createProcessContext("gateway", settings);
    const state = createGatewayState(context, settings);
    const life: Life = { isLeaving: false, openRequestsCount: 0 };
    const listeners = createListeners(context, settings, state, life);
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
    return { stop: () => stopGateway(context, settings, state, life, listeners) };
}
