/** The steward: carries out the control duties whose leases it holds. Wires the parts to the settings. */
import http from "node:http";
import { closeServer, listenOn } from "../connection/listen.js";
import { memberRoles } from "../connection/members.js";
import { createConfigurationHolder } from "../process/configurationHolder.js";
import { runDuty } from "../process/duty.js";
import { logEvents } from "../process/logEvents.js";
import { createMembership } from "../process/membership.js";
import { createProcessContext } from "../process/processContext.js";
import { createReclaim } from "../process/reclaim.js";
import type { StewardSettings } from "../process/settings.js";
import { createVmListWatch } from "../process/vmListWatch.js";
import { createHealthHandler } from "../request/healthHandler.js";
import { sendAdminProblem } from "../request/jsonResponses.js";
import { longestRunMsOf } from "../version/fleetVersion.js";
import type { Daemon } from "./gateway.js";

const reclaimIntervalMs = 500;

/** Starts a steward and resolves when it listens. */
export async function startSteward(settings: StewardSettings): Promise<Daemon> {
    const context = createProcessContext("steward", settings);
    const { memberId, timers, logger, metrics, store } = context;
    const configuration = createConfigurationHolder(context);
    const vmList = createVmListWatch({ ...context, address: settings.vmListAddress });
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
    const server = http.createServer((request, response) => {
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
        context.end();
        throw error;
    }
    membership.start();
    logger.log(logEvents.processStarted, { adminAddress: settings.adminAddress });

    const reclaim = createReclaim({
        store,
        timers,
        logger,
        goneVmIds: vmList.goneVmIds,
        longestRunMs: () => {
            const version = configuration.current();
            return version && longestRunMsOf(version);
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
        carryOut: reclaim.carryOut,
        onTaken: reclaim.forget,
    });

    const stop = async (): Promise<void> => {
        logger.log(logEvents.processStopping);
        duties.abort();
        await reclaimDuty;
        await membership.leave();
        logger.log(logEvents.processStopped);
        const closed = closeServer(server);
        context.end();
        server.closeAllConnections();
        await closed;
    };
    return { stop };
}
