/** Chooses the backend server of a request: in-zone first, then the less loaded of two. */

/** What routing knows of one backend server. */
export interface ServerLoad {
    serverId: string;
    availabilityZone: string;
    slotsCount: number;
    /** Requests that run there: this process's own and those that zone peers report. */
    outstandingCount: number;
    /** Whether it may get new work: neither leaving, drained nor ejected. */
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
    /** Servers that were possible. */
    candidatesCount: number;
}

/** Why no server can be chosen now. */
export const noServerReasons = {
    /** All routable servers are full: wait. */
    allBusy: "all backend servers are busy",
    /** No server may get new work. */
    noneRoutable: "no backend server is routable",
} as const;
export type NoServerReason = (typeof noServerReasons)[keyof typeof noServerReasons];

/** Returns a number from 0 up to, not including, `bound`. */
export type RandomBelow = (bound: number) => number;

function loadOf(server: ServerLoad): number {
    return server.outstandingCount / server.slotsCount;
}

function lessLoaded(left: ServerLoad, right: ServerLoad): ServerLoad {
    return loadOf(right) < loadOf(left) ? right : left;
}

/** Chooses among the servers of one pool, leaving out `excludedIds`, which were tried already. */
export function chooseServer(
    servers: readonly ServerLoad[],
    zone: string,
    excludedIds: ReadonlySet<string>,
    randomBelow: RandomBelow,
): ServerChoice | NoServerReason {
    const routable = servers.filter(server => server.isRoutable && !excludedIds.has(server.serverId));
    const inZone = routable.filter(server => server.availabilityZone === zone);
    const near = inZone.length > 0 ? inZone : routable;
    if (near.length === 0) {
        return noServerReasons.noneRoutable;
    }
    const free = near.filter(server => server.outstandingCount < server.slotsCount);
    if (free.length === 0) {
        return noServerReasons.allBusy;
    }
    const first = randomBelow(free.length);
    const second = (first + 1 + (free.length > 1 ? randomBelow(free.length - 1) : 0)) % free.length;
    const chosen = lessLoaded(free[first]!, free[second]!);
    const inZoneReason = free.length === 1 ? routingReasons.onlyFree : routingReasons.lessLoadedOfTwo;
    return { serverId: chosen.serverId, candidatesCount: free.length, reason: inZone.length > 0 ? inZoneReason : routingReasons.otherZone };
}
