/** The gateway: serves callers and operators. Wires the parts to the settings. */
import { randomInt } from "node:crypto";
import http from "node:http";
import type { Duplex } from "node:stream";
import { createRequestIds } from "../common/ids.js";
import { delay, watchStalls } from "../common/timerService.js";
import { closeServer, listenOn } from "../connection/listen.js";
import { memberRoles } from "../connection/members.js";
import { createAcceptanceView } from "../process/acceptanceView.js";
import { createAdmission } from "../process/admission.js";
import { createAllotmentHolder } from "../process/allotmentHolder.js";
import { createConfigurationHolder } from "../process/configurationHolder.js";
import { createFleetWriter } from "../process/fleetWriter.js";
import { createKeyClaims } from "../process/keyClaims.js";
import { logEvents } from "../process/logEvents.js";
import { createMembership } from "../process/membership.js";
import { createPeers } from "../process/peers.js";
import { createProcessContext } from "../process/processContext.js";
import { createRetryBudget } from "../process/retryBudget.js";
import { createServerTable } from "../process/serverTable.js";
import { watchServers } from "../process/serverWatch.js";
import type { GatewaySettings } from "../process/settings.js";
import { createTicketLedger } from "../process/ticketLedger.js";
import { createUsageLedger } from "../process/usageLedger.js";
import { createVmListWatch } from "../process/vmListWatch.js";
import { createAdminHandler } from "../request/adminHandler.js";
import { createCallerHandler } from "../request/callerHandler.js";
import { createOwnerForwarder } from "../request/forwardToOwner.js";
import { createHealthHandler } from "../request/healthHandler.js";
import { sendAdminProblem } from "../request/jsonAnswers.js";
import { createKeyedRunner } from "../request/keyedRequest.js";
import { createRequestRunner } from "../request/runRequest.js";
import { limitsOf, longestRunMsOf } from "../version/fleetVersion.js";

/** A running daemon. */
export interface Daemon {
    /** Stops gracefully: finishes its requests, hands back what it holds, and resolves. */
    stop(): Promise<void>;
}

const acceptanceWaitMs = 3_000;
const stallCheckIntervalMs = 100;
const stallThresholdMs = 1_000;
/** After a pause the gateway serves again at the latest after this time, with what it holds. */
const refreshLimitMs = 2_000;
const drainPollIntervalMs = 20;
const largestHeaderBytes = 16 * 1024;
const headersTimeoutMs = 10_000;
/** A caller's whole request must have come within this time. */
const requestReceiveTimeoutMs = 120_000;

/** Starts a gateway and resolves when it listens. */
export async function startGateway(settings: GatewaySettings): Promise<Daemon> {
    const context = createProcessContext("gateway", settings);
    const { memberId, timers, logger, metrics, store, system, signal } = context;
    const { availabilityZone } = settings;

    const configuration = createConfigurationHolder(context);
    const vmList = createVmListWatch({ ...context, address: settings.vmListAddress });
    const servers = createServerTable(context);
    const usage = createUsageLedger(timers);
    const membership = createMembership({
        store,
        timers,
        logger,
        system,
        signal,
        heldVersion: configuration.version,
        own: {
            memberId,
            availabilityZone,
            role: memberRoles.gateway,
            vmId: settings.vmId,
            peerAddress: settings.peerAddress,
            callerAddress: settings.callerAddress,
            ownAddress: settings.callerAddress,
        },
    });
    const allotments = createAllotmentHolder({
        ...context,
        holderId: memberId,
        randomBelow: randomInt,
        limits: () => {
            const version = configuration.current();
            return version && limitsOf(version);
        },
        isRegistered: membership.isRegistered,
        longestRunMs: () => {
            const version = configuration.current();
            return version ? longestRunMsOf(version) : 0;
        },
        onCapChange: (team, capSlots) => metrics.allotmentSlots.set({ team }, capSlots),
    });
    const admission = createAdmission({ availabilityZone, timers, logger, servers, allotments, usage, randomBelow: randomInt });
    const peers = createPeers({
        ownId: memberId,
        peerKey: settings.peerKey,
        seeds: settings.peerSeeds ?? [],
        timers,
        logger,
        configuration,
        servers,
        usage,
        signal,
        onBytes: (direction, bytes) => metrics.peerBytesTotal.inc({ direction }, bytes),
    });
    const ledger = createTicketLedger({ ownerId: memberId, timers, signal });
    const acceptance = createAcceptanceView({ membership, vmList, allotments, configuration, timers });

    configuration.onApplied(version => {
        servers.apply(version);
        metrics.configurationVersion.set(version.record.version);
    });
    membership.onChange(members =>
        peers.setMembers(
            members.filter(member =>
                member.role === memberRoles.gateway && member.availabilityZone === availabilityZone && member.memberId !== memberId
            ),
        )
    );
    watchServers({ availabilityZone, vmList, servers, timers, signal });
    const checkStall = watchStalls(timers, { intervalMs: stallCheckIntervalMs, thresholdMs: stallThresholdMs, signal }, stallMs => {
        logger.log(logEvents.processStalled, { stallMs: Math.round(stallMs) });
        configuration.markStale(refreshLimitMs);
        void configuration.refresh();
        peers.requestConfiguration();
    });

    let isLeaving = false;
    let openRequestsCount = 0;
    const run = createRequestRunner({ timers, logger, metrics, admission, servers, retries: createRetryBudget() });
    const forward = createOwnerForwarder({ ownId: memberId, timers, logger, signal, members: membership.members });
    const runKeyed = createKeyedRunner({
        ownId: memberId,
        timers,
        ledger,
        claims: createKeyClaims({ ...context, ownerId: memberId }),
        run,
        forward,
    });
    const serveCaller = createCallerHandler({
        availabilityZone,
        timers,
        logger,
        metrics,
        configuration,
        ledger,
        run,
        runKeyed,
        nextRequestId: createRequestIds(memberId),
        isStopping: () => false,
    });
    const notReadyReason = (): string | undefined => {
        if (isLeaving) {
            return "stopping";
        }
        return configuration.current() ? undefined : "no configuration yet";
    };
    const serveHealth = createHealthHandler({ metrics, storeCalls: store.callCounts, notReadyReason });
    const status = (): object => ({
        memberId,
        availabilityZone,
        configuration: acceptance.of(configuration.version()),
        members: membership.members(),
        peers: peers.connectedIds(),
        allotments: allotments.usage(),
        servers: servers.all().map(server => ({
            serverId: server.serverId,
            zone: server.availabilityZone,
            outstandingCount: server.outstandingCount,
            slotsCount: server.slotsCount,
            leaving: [...server.leaving],
            isEjected: server.health.ejectionsCount > 0,
        })),
        waitingCount: admission.waitingCount(),
        keptKeysCount: ledger.size(),
        storeCalls: store.callCounts(),
    });
    const serveAdmin = createAdminHandler({
        operatorKey: settings.operatorKey,
        configuration,
        writer: createFleetWriter({ store, timers, logger, configuration }),
        acceptance,
        acceptanceWaitMs,
        nowMs: timers.wallClockMs,
        status,
    });

    const serveCounted = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        openRequestsCount++;
        checkStall();
        if (isLeaving) {
            response.setHeader("connection", "close");
        }
        try {
            await serveCaller(request, response);
        }
        catch (error) {
            logger.log(logEvents.unexpectedError, { where: "caller request", error: error instanceof Error ? error.stack : String(error) });
            response.destroy();
        }
        finally {
            openRequestsCount--;
        }
    };
    const serverOptions = { maxHeaderSize: largestHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: requestReceiveTimeoutMs };
    const callerServer = http.createServer(
        serverOptions,
        (request, response) => serveHealth(request, response) || void serveCounted(request, response),
    );
    const adminServer = http.createServer(serverOptions, (request, response) => {
        if (!serveHealth(request, response) && !serveAdmin(request, response)) {
            sendAdminProblem(response, 404, "There is no such path", { detail: `found '${request.url}'; docs/API.md lists the calls` });
        }
    });
    const peerServer = http.createServer((_request, response) =>
        sendAdminProblem(response, 426, "Only WebSocket connections are taken here", {})
    );
    peerServer.on("upgrade", (request: http.IncomingMessage, socket: Duplex, head: Buffer) => peers.acceptUpgrade(request, socket, head));

    const close = (): void => {
        context.end();
        [callerServer, adminServer, peerServer].forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    };
    try {
        await listenOn(callerServer, settings.callerAddress);
        await listenOn(adminServer, settings.adminAddress);
        await listenOn(peerServer, settings.peerAddress);
    }
    catch (error) {
        close();
        throw error;
    }
    membership.start();
    logger.log(logEvents.processStarted, {
        callerAddress: settings.callerAddress,
        adminAddress: settings.adminAddress,
        peerAddress: settings.peerAddress,
    });

    const isIdle = (): boolean => openRequestsCount === 0 && Object.values(allotments.usage()).every(team => team.usedSlots === 0);

    const stop = async (): Promise<void> => {
        const untilMs = timers.nowMs() + settings.stopNoticeMs + settings.drainTimeoutMs;
        isLeaving = true;
        logger.log(logEvents.processStopping, { openRequestsCount, noticeMs: settings.stopNoticeMs });
        // The balancer needs time to see that the gateway is not ready; until then it serves on.
        await delay(timers, settings.stopNoticeMs);
        const closed = closeServer(callerServer);
        while (!isIdle() && timers.nowMs() < untilMs) {
            await delay(timers, drainPollIntervalMs);
        }
        admission.stop();
        // What may still run keeps its part of the limits; the steward reclaims it when the VM is gone.
        const isHandedBack = isIdle() && await allotments.handBack();
        if (isHandedBack) {
            await membership.leave();
        }
        logger.log(logEvents.processStopped, { isHandedBack, openRequestsCount });
        await Promise.race([closed, delay(timers, drainPollIntervalMs)]);
        close();
    };
    return { stop };
}
