/** Creates and wires the components of a gateway that live as long as its process. */
import { randomInt } from "node:crypto";
import { watchStalls } from "../common/timerService.js";
import { memberRoles } from "../connection/members.js";
import { getLongestRunMs, getTeamLimits } from "../version/fleetVersion.js";
import { type AcceptanceChecker, createAcceptanceChecker } from "./acceptanceChecker.js";
import { type AdmissionController, createAdmissionController } from "./admissionController.js";
import { type AllotmentManager, createAllotmentManager } from "./allotmentManager.js";
import { type ConfigurationManager, createConfigurationManager } from "./configurationManager.js";
import { createIdempotencyStore, type IdempotencyStore } from "./idempotencyStore.js";
import { logEvents } from "./logEvents.js";
import { createMembership, type Membership } from "./membership.js";
import { createPeerManager, type PeerManager, type PeerManagerOptions } from "./peerManager.js";
import type { ProcessContext } from "./processContext.js";
import { createServerTable, type ServerTable } from "./serverTable.js";
import { watchServers } from "./serverWatch.js";
import type { GatewaySettings } from "./settings.js";
import { createUsageTracker } from "./usageTracker.js";
import { createVmListPoller } from "./vmListPoller.js";

export interface GatewayState {
    configuration: ConfigurationManager;
    servers: ServerTable;
    membership: Membership;
    allotments: AllotmentManager;
    admission: AdmissionController;
    peers: PeerManager;
    idempotencyStore: IdempotencyStore;
    acceptance: AcceptanceChecker;
    /** Detects a pause of the process immediately, before the next request is served. */
    checkStall(): void;
}

const stallCheckIntervalMs = 100;
const stallThresholdMs = 1_000;
/** After a pause the gateway waits at most this long for a fresh configuration, then serves with the one it has. */
const maximumRefreshMs = 2_000;

/** Creates the components. They follow the store, the VM list and the peers immediately, but register nothing yet. */
export function createGatewayState(
    context: ProcessContext,
    settings: GatewaySettings,
    { onPartialBytesExceeded }: Pick<PeerManagerOptions, "onPartialBytesExceeded">,
): GatewayState {
    const { memberId, timers, logger, metrics, signal } = context;
    const { availabilityZone } = settings;
    const configuration = createConfigurationManager(context);
    const vmList = createVmListPoller({ ...context, address: settings.vmListAddress });
    const servers = createServerTable(context);
    const usage = createUsageTracker(timers);
    const membership = createMembership({
        ...context,
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
    const allotments = createAllotmentManager({
        ...context,
        holderId: memberId,
        randomBelow: randomInt,
        limits: () => {
            const version = configuration.current();
            return version && getTeamLimits(version);
        },
        isRegistered: membership.isRegistered,
        longestRunMs: () => {
            const version = configuration.current();
            return version ? getLongestRunMs(version) : 0;
        },
        onCapChange: (team, capSlots) => metrics.allotmentSlots.set({ team }, capSlots),
    });
    const admission = createAdmissionController({ availabilityZone, timers, logger, servers, allotments, usage, randomBelow: randomInt });
    const peers = createPeerManager({
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
        onPartialBytesExceeded,
    });
    const idempotencyStore = createIdempotencyStore({ ownerId: memberId, timers, signal });
    const acceptance = createAcceptanceChecker({ membership, vmList, allotments, configuration, timers });

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
        configuration.markStale(maximumRefreshMs);
        void configuration.refresh();
        peers.requestConfiguration();
    });
    return { configuration, servers, membership, allotments, admission, peers, idempotencyStore, acceptance, checkStall };
}

/** Returns the gateway's status for the administration API. */
export function describeGateway(context: ProcessContext, availabilityZone: string, state: GatewayState): object {
    const { configuration, servers, membership, allotments, admission, peers, idempotencyStore, acceptance } = state;
    return {
        memberId: context.memberId,
        availabilityZone,
        configuration: acceptance.getAcceptance(configuration.version()),
        members: membership.members(),
        peers: peers.connectedPeerIds(),
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
        keptKeysCount: idempotencyStore.size(),
        storeCalls: context.store.callCounts(),
    };
}
