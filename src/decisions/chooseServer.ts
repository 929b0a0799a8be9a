/** Chooses the backend server of a request: servers of the same zone first, then the less loaded of two random ones. */

/** Load and availability of one backend server, as used for routing. */
export interface ServerLoad {
    serverId: string;
    availabilityZone: string;
    slotsCount: number;
    /** Requests in progress on the server: this process's own and those reported by peers in the zone. */
    outstandingCount: number;
    /** Whether the server may receive new requests: it is not leaving, drained or ejected. */
    isRoutable: boolean;
}

export const routingReasons = {
    onlyFree: "only free server",
    lessLoadedOfTwo: "less loaded of two",
    otherZone: "no routable server in the zone",
    probe: "probe of an ejected server",
} as const;
export type RoutingReason = (typeof routingReasons)[keyof typeof routingReasons];

export interface ServerChoice {
    serverId: string;
    reason: RoutingReason;
    /** Number of servers with a free slot among which the choice was made. */
    candidatesCount: number;
}

/** Reasons why no server can be chosen. */
export const noServerReasons = {
    /**
     * All candidates are full; the request has to wait. Servers of other zones are candidates only if no server of the zone
     * is routable.
     */
    allBusy: "all backend servers are busy",
    /** No server may receive new requests. */
    noneRoutable: "no backend server is routable",
} as const;
export type NoServerReason = (typeof noServerReasons)[keyof typeof noServerReasons];

/** Returns a number from 0 up to, not including, `bound`. */
export type RandomBelow = (bound: number) => number;

function utilizationOf(server: ServerLoad): number {
    return server.outstandingCount / server.slotsCount;
}

function lessLoaded(left: ServerLoad, right: ServerLoad): ServerLoad {
    return utilizationOf(right) < utilizationOf(left) ? right : left;
}

/** Chooses a server of one pool, except those in `excludedIds`, which were already tried for the request. */
export function chooseServer(
    servers: readonly ServerLoad[],
    zone: string,
    excludedIds: ReadonlySet<string>,
    randomBelow: RandomBelow,
): ServerChoice | NoServerReason {
    const routable = servers.filter(server => server.isRoutable && !excludedIds.has(server.serverId));
    const inZone = routable.filter(server => server.availabilityZone === zone);
    const candidates = inZone.length > 0 ? inZone : routable;
    if (candidates.length === 0) {
        return noServerReasons.noneRoutable;
    }
    const free = candidates.filter(server => server.outstandingCount < server.slotsCount);
    if (free.length === 0) {
        return noServerReasons.allBusy;
    }
    const first = randomBelow(free.length);
    const second = (first + 1 + (free.length > 1 ? randomBelow(free.length - 1) : 0)) % free.length;
    const chosen = lessLoaded(free[first]!, free[second]!);
    const inZoneReason = free.length === 1 ? routingReasons.onlyFree : routingReasons.lessLoadedOfTwo;
    return { serverId: chosen.serverId, candidatesCount: free.length, reason: inZone.length > 0 ? inZoneReason : routingReasons.otherZone };
}
