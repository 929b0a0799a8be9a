/** Backend servers as this gateway sees them: load, health, and whether they may receive new requests. */
import type { TimerService } from "../common/timerService.js";
import { createServerConnections, type ServerConnections } from "../connection/serverConnections.js";
import type { ServerLoad } from "../decisions/chooseServer.js";
import { canEject, canReceiveRequest, healthyServer, recordFailure, type ServerHealth } from "../decisions/outlierEjection.js";
import type { BackendServerConfiguration } from "../version/fleetDocument.js";
import type { AppliedVersion } from "../version/fleetVersion.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** Why a server receives no new requests. */
export const leavingReasons = {
    drained: "an operator drains it",
    vmLeaving: "its VM leaves",
    selfReported: "it says that it leaves",
} as const;
export type LeavingReason = (typeof leavingReasons)[keyof typeof leavingReasons];

export interface ServerState extends ServerLoad {
    readonly configuration: BackendServerConfiguration;
    readonly connections: ServerConnections;
    /** Requests of this gateway on the server, including those whose outcome is unknown. */
    localCount: number;
    /** Requests on the server by peer, as last reported. */
    readonly peerCounts: Map<string, number>;
    health: ServerHealth;
    readonly leaving: Set<LeavingReason>;
}

export interface ServerTable {
    /** Returns the servers of a pool with their load and routability brought up to date. */
    serversInPool(pool: string): ServerState[];
    get(serverId: string): ServerState | undefined;
    all(): ServerState[];
    /** Applies a configuration version: adds, removes and drains servers. */
    apply(version: AppliedVersion): void;
    /** Sets or clears one reason for which a server receives no new requests. */
    setLeaving(server: ServerState, reason: LeavingReason, isLeaving: boolean): void;
    recordStart(server: ServerState): void;
    recordEnd(server: ServerState): void;
    /** Records how a request ended that was sent at `sentAtMs`. */
    recordOutcome(server: ServerState, isSuccess: boolean, sentAtMs: number): void;
    /** Sets the running requests that a peer reports by server; `undefined` removes the peer. */
    setPeerCounts(peerId: string, counts: ReadonlyMap<string, number> | undefined): void;
    /** Registers a callback for when a server may have a free slot. */
    onSlotFreed(callback: () => void): void;
}

const connectTimeoutMs = 1_000;

/** Creates an empty table. */
export function createServerTable(options: { timers: TimerService; logger: Logger; signal: AbortSignal }): ServerTable {
    const { timers, logger } = options;
    const servers = new Map<string, ServerState>();
    const pools = new Map<string, ServerState[]>();
    const slotFreedCallbacks: (() => void)[] = [];
    const notifySlotFreed = (): void => slotFreedCallbacks.forEach(callback => callback());
    options.signal.addEventListener("abort", () => servers.forEach(server => server.connections.close()), { once: true });

    const updateLoad = (server: ServerState): void => {
        let peersCount = 0;
        server.peerCounts.forEach(count => peersCount += count);
        server.outstandingCount = server.localCount + peersCount;
        server.isRoutable = server.leaving.size === 0 && canReceiveRequest(server.health, timers.nowMs(), server.outstandingCount);
    };

    const createServer = (serverId: string, configuration: BackendServerConfiguration): ServerState => ({
        serverId,
        configuration,
        availabilityZone: configuration.availabilityZone,
        slotsCount: configuration.slotsCount,
        outstandingCount: 0,
        isRoutable: true,
        localCount: 0,
        peerCounts: new Map(),
        health: healthyServer,
        leaving: new Set(),
        connections: createServerConnections({
            address: configuration.address,
            timers,
            connectTimeoutMs,
            onRetired: retiredCount => logger.log(logEvents.connectionsRetired, { serverId, retiredCount }),
        }),
    });

    const setLeaving = (server: ServerState, reason: LeavingReason, isLeaving: boolean): void => {
        if (server.leaving.has(reason) === isLeaving) {
            return;
        }
        if (isLeaving) {
            server.leaving.add(reason);
            logger.log(logEvents.serverLeaving, { serverId: server.serverId, reason });
            return;
        }
        server.leaving.delete(reason);
        logger.log(logEvents.serverReturned, { serverId: server.serverId, reason });
        notifySlotFreed();
    };

    const isSameServer = (server: ServerState, configuration: BackendServerConfiguration): boolean =>
        server.configuration.address === configuration.address && server.configuration.vmId === configuration.vmId;

    const applyServer = (serverId: string, configuration: BackendServerConfiguration): void => {
        const known = servers.get(serverId);
        if (known && isSameServer(known, configuration)) {
            servers.set(serverId, Object.assign(known, { configuration, slotsCount: configuration.slotsCount }));
            return;
        }
        servers.set(serverId, createServer(serverId, configuration));
    };

    const groupByPool = (): void => {
        pools.clear();
        servers.forEach(server => pools.set(server.configuration.pool, [...(pools.get(server.configuration.pool) ?? []), server]));
    };

    return {
        serversInPool: pool => {
            const members = pools.get(pool) ?? [];
            members.forEach(updateLoad);
            return members;
        },
        get: serverId => servers.get(serverId),
        all: () => [...servers.values()],
        apply: version => {
            const configured = version.fleet.backendServers;
            // Requests that still run on a removed server finish on its connections, which close when idle.
            [...servers.keys()].filter(serverId => !configured[serverId]).forEach(serverId => servers.delete(serverId));
            Object.entries(configured).forEach(([serverId, configuration]) => applyServer(serverId, configuration));
            groupByPool();
            servers.forEach(server => setLeaving(server, leavingReasons.drained, version.drainedServerIds.has(server.serverId)));
            notifySlotFreed();
        },
        setLeaving,
        recordStart: server => {
            server.localCount++;
        },
        recordEnd: server => {
            server.localCount--;
            notifySlotFreed();
        },
        recordOutcome: (server, isSuccess, sentAtMs) => {
            if (isSuccess) {
                server.health = healthyServer;
                return;
            }
            const pool = pools.get(server.configuration.pool) ?? [];
            const ejectedCount = pool.filter(other => other !== server && other.health.ejectionsCount > 0).length;
            const before = server.health;
            server.health = recordFailure(before, sentAtMs, timers.nowMs(), canEject(pool.length, ejectedCount));
            if (server.health.ejectionsCount > before.ejectionsCount) {
                const forMs = Math.round(server.health.ejectedUntilMs - timers.nowMs());
                logger.log(logEvents.serverEjected, { serverId: server.serverId, failuresCount: server.health.consecutiveFailures, forMs });
                timers.after(forMs, notifySlotFreed);
            }
        },
        setPeerCounts: (peerId, counts) => {
            servers.forEach(server => {
                const count = counts?.get(server.serverId) ?? 0;
                if (count > 0) {
                    server.peerCounts.set(peerId, count);
                }
                else {
                    server.peerCounts.delete(peerId);
                }
            });
            notifySlotFreed();
        },
        onSlotFreed: callback => void slotFreedCallbacks.push(callback),
    };
}
