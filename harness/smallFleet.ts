/** Fleet document for tests: a repeatable, an at-most-once and an open service in one or more availability zones. */
import type { FleetDocument, PlainObject } from "../src/version/fleetDocument.js";

export interface SmallFleetOptions {
    addressPrefix: string;
    zones: string[];
    serversPerZone: number;
    slotsPerServer: number;
    /** Upper limit of each team, in slots. Also its share weight. */
    limits: Record<string, number>;
    requestTimeoutMs?: number;
    longestRunMs?: number;
    expectedRunMs?: number;
    /** Address at which gateways reach a server, if not its own, for example that of a relay. */
    serverAddress?: (serverId: string, ownAddress: string) => string;
}

/** Service whose requests may run more than once. */
export const repeatableService = "reads";
/** Service whose requests must run at most once. */
export const atMostOnceService = "orders";
/** Service that requires no API key. */
export const openService = "notices";

const serverPort = 8080;
const firstServerNumber = 101;

/** Address on which a backend server of the fleet listens. */
export function smallFleetServerAddress(addressPrefix: string, zoneIndex: number, serverIndex: number): string {
    return `${addressPrefix}.${zoneIndex + 1}.${firstServerNumber + serverIndex}:${serverPort}`;
}

function makeServers(options: SmallFleetOptions, zone: string, zoneIndex: number): PlainObject {
    return Object.fromEntries(Array.from({ length: options.serversPerZone }, (_, index) => {
        const serverId = `${zone}-s${index + 1}`;
        const ownAddress = smallFleetServerAddress(options.addressPrefix, zoneIndex, index);
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

/** Builds the fleet document. */
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
