/** The steward process: runs the control duties whose leases it holds. Assembles its components from the settings. */
import { closeServer, listenOn } from "../connection/listen.js";
import { memberRoles } from "../connection/members.js";
import { createConfigurationManager } from "../process/configurationManager.js";
import { runDuty } from "../process/duty.js";
import { logEvents } from "../process/logEvents.js";
import { createMemberReclaimer } from "../process/memberReclaimer.js";
import { createMembership } from "../process/membership.js";
import { createProcessContext } from "../process/processContext.js";
import type { StewardSettings } from "../process/settings.js";
import { createVmListPoller } from "../process/vmListPoller.js";
import { createHealthHandler } from "../request/healthHandler.js";
import { sendAdminProblem } from "../request/jsonResponses.js";
import { getLongestRunMs } from "../version/fleetVersion.js";
import { createDaemonListeners } from "./daemonListeners.js";
import type { Daemon } from "./gateway.js";

const reclaimIntervalMs = 500;

/** Starts a steward; resolves when it listens on its address. */
export async function startSteward(settings: StewardSettings): Promise<Daemon> {
    const context = createProcessContext("steward", settings);
    const { memberId, timers, logger, metrics, store } = context;
    const configuration = createConfigurationManager(context);
    const vmList = createVmListPoller({ ...context, address: settings.vmListAddress });
    const membership = createMembership({
        ...context,
        heldVersion: configuration.version,
        own: {
            memberId,
            availabilityZone: settings.availabilityZone,
            role: memberRoles.steward,
            vmId: settings.vmId,
            peerAddress: "",
            callerAddress: "",
            ownAddress: settings.adminAddress,
        },
    });
    configuration.onApplied(version => metrics.configurationVersion.set(version.record.version));

    const serveHealth = createHealthHandler({ metrics, storeCalls: store.callCounts, notReadyReason: () => undefined });
    const server = createDaemonListeners(context, settings).createServer("admin", 1, (request, response) => {
        if (!serveHealth(request, response)) {
            sendAdminProblem(response, 404, "There is no such path", {
                detail: `found '${request.url}'; a steward has /healthz, /readyz and /metrics`,
            });
        }
    });
    try {
        await listenOn(server, settings.adminAddress);
    }
    catch (error) {
        context.shutDown();
        throw error;
    }
    membership.start();
    logger.log(logEvents.processStarted, { adminAddress: settings.adminAddress });

    const reclaimer = createMemberReclaimer({
        store,
        timers,
        logger,
        goneVmIds: vmList.goneVmIds,
        longestRunMs: () => {
            const version = configuration.current();
            return version && getLongestRunMs(version);
        },
    });
    const duties = new AbortController();
    const reclaimDuty = runDuty({
        name: "reclaim",
        memberId,
        leaseS: settings.dutyLeaseS,
        intervalMs: reclaimIntervalMs,
        store,
        timers,
        logger,
        signal: duties.signal,
        runRound: reclaimer.runRound,
        onAcquired: reclaimer.reset,
    });

    const stop = async (): Promise<void> => {
        logger.log(logEvents.processStopping);
        duties.abort();
        await reclaimDuty;
        await membership.leave();
        logger.log(logEvents.processStopped);
        const closed = closeServer(server);
        context.shutDown();
        server.closeAllConnections();
        await closed;
    };
    return { stop };
}
