/** A small fleet document for tests: one service that may be repeated and one that may not, in one or more zones. */
import type { FleetDocument, PlainObject } from "../src/version/fleetDocument.js";

export interface SmallFleetOptions {
    addressPrefix: string;
    zones: string[];
    serversPerZone: number;
    slotsPerServer: number;
    /** Upper limit of each team. */
    limits: Record<string, number>;
    requestTimeoutMs?: number;
    longestRunMs?: number;
    expectedRunMs?: number;
    /** Address at which a server is reached, if not its own. */
    serverAddress?: (serverId: string, ownAddress: string) => string;
}

/** Name of the service whose requests may run more than once. */
export const repeatableService = "reads";
/** Name of the service whose requests may run at most once. */
export const atMostOnceService = "orders";
/** Name of the service that needs no key. */
export const openService = "notices";

const serverPort = 8080;
const firstServerNumber = 101;

/** Address on which a server of the small fleet listens. */
export function smallServerAddress(addressPrefix: string, zoneIndex: number, serverIndex: number): string {
    return `${addressPrefix}.${zoneIndex + 1}.${firstServerNumber + serverIndex}:${serverPort}`;
}

function makeServers(options: SmallFleetOptions, zone: string, zoneIndex: number): PlainObject {
    return Object.fromEntries(Array.from({ length: options.serversPerZone }, (_, index) => {
        const serverId = `${zone}-s${index + 1}`;
        const ownAddress = smallServerAddress(options.addressPrefix, zoneIndex, index);
        const address = options.serverAddress?.(serverId, ownAddress) ?? ownAddress;
        return [serverId, {
            pool: "main",
            rack: `${zone}-r1`,
            vmId: serverId,
            address,
            slotsCount: options.slotsPerServer,
            connectionsCount: 64,
        }];
    }));
}

/** Builds the document. */
export function makeSmallFleet(options: SmallFleetOptions): FleetDocument {
    const service = (isRepeatable: boolean, isOpen: boolean): PlainObject => ({
        pool: "main",
        isOpen,
        requestTimeoutMs: options.requestTimeoutMs ?? 3_000,
        longestRunMs: options.longestRunMs ?? 3_000,
        queueCapacityCount: 1_000,
        echoesRequestId: true,
        requestKinds: { default: { worth: 1, priority: "urgent", isRepeatable, expectedRunMs: options.expectedRunMs ?? 10 } },
    });
    return {
        base: {
            formatVersion: 1,
            pools: { main: { availabilityBudget: { minimumAvailableCount: 0, maximumDisruptedCount: 1 } } },
            services: {
                [repeatableService]: service(true, false),
                [atMostOnceService]: service(false, false),
                [openService]: service(true, true),
            },
            teams: Object.fromEntries(
                Object.entries(options.limits).map(([team, limitSlots]) => [team, { shareWeight: limitSlots, limitSlots }]),
            ),
        },
        overlays: Object.fromEntries(options.zones.map((zone, index) => [zone, { backendServers: makeServers(options, zone, index) }])),
    };
}
