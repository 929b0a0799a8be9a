/** Starts a complete fleet of processes (stand-ins, gateways and stewards) on its own loopback addresses. */
import { request } from "undici";
import type { FleetDocument, PlainObject } from "../src/version/fleetDocument.js";
import type { JournalEntry } from "../stand-ins/backendServer.js";
import { type Child, killAllChildren, startChild } from "./childProcess.js";
import { readJournal, type StandIn, startServer, startStore, startVmList } from "./standIns.js";
import { waitUntil } from "./waitUntil.js";

export interface GatewayProcess {
    child: Child;
    availabilityZone: string;
    vmId: string;
    callerAddress: string;
    adminAddress: string;
    environment: Record<string, string>;
}

export interface FleetOptions {
    document: FleetDocument;
    /** Servers to start with their own addresses, if `document` points to relays in front of them. */
    serverDocument?: FleetDocument;
    /** First two octets of all addresses, for example `127.40`. Fleets that run concurrently need different prefixes. */
    addressPrefix: string;
    gatewaysPerZone: number;
    /** Additional settings for gateways and stewards, by environment variable. */
    environment?: Record<string, string>;
    /** Store address for gateways and stewards of a zone, if not the store's own. */
    storeAddressOf?: (zone: string) => string;
    keepsLogLines?: boolean;
}

export interface Fleet {
    store: StandIn;
    vmList: StandIn;
    servers: Map<string, StandIn>;
    gateways: GatewayProcess[];
    stewards: Child[];
    /** Starts a gateway, for example to replace one that exited. */
    startGateway(zone: string, index: number, environment?: Record<string, string>): Promise<GatewayProcess>;
    callAdmin(
        method: string,
        path: string,
        body?: unknown,
        headers?: Record<string, string>,
    ): Promise<{ statusCode: number; body: Record<string, unknown> }>;
    /** Creates an API key for a team and waits until it is in force in every process. */
    createKey(team: string): Promise<{ key: string; keyId: string }>;
    journal(): Promise<JournalEntry[]>;
    /** Kills all processes and waits until they have exited. */
    stop(): Promise<void>;
}

export const operatorKey = "operator-key-of-the-harness";
export const peerKey = "peer-key-of-the-harness";
const readyPollIntervalMs = 25;

type ServerTree = Record<string, { address: string; slotsCount: number }>;

function serversOf(document: FleetDocument): [string, ServerTree[string]][] {
    return Object.values(document.overlays).flatMap(overlay => Object.entries((overlay as PlainObject).backendServers as ServerTree));
}

/** Polls a URL until it responds with the status code. Has no timeout of its own. */
export async function waitForStatus(url: string, statusCode: number): Promise<void> {
    for (;;) {
        const status = await request(url).then(async response => {
            await response.body.dump();
            return response.statusCode;
        }, () => 0);
        if (status === statusCode) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, readyPollIntervalMs));
    }
}

/** Resolves once a process responds to health checks; rejects if it exits first. */
async function waitForListening(child: Child, address: string): Promise<void> {
    const ended = child.exited.then(code => {
        throw new Error(`the process at ${address} exited with ${code}: ${child.stderrText()}`);
    });
    await Promise.race([waitForStatus(`http://${address}/healthz`, 200), ended]);
    ended.catch(() => undefined);
}

/** Calls the administration API of one gateway. */
export async function callAdminAt(
    address: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
): Promise<{ statusCode: number; body: Record<string, unknown> }> {
    const response = await request(`http://${address}${path}`, {
        method: method as "GET",
        headers: { "authorization": `Bearer ${operatorKey}`, "content-type": "application/json", ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
    });
    return { statusCode: response.statusCode, body: await response.body.json() as Record<string, unknown> };
}

/** Starts the fleet, applies its configuration document and waits until all gateways are ready. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const { document, addressPrefix } = options;
    const zones = Object.keys(document.overlays);
    const store = await startStore(`${addressPrefix}.0.2:2379`);
    const vmList = await startVmList(`${addressPrefix}.0.3:2380`);
    const started = await Promise.all(
        serversOf(options.serverDocument ?? document).map(async ([serverId, server]) =>
            [serverId, await startServer({ serverId, ...server })] as const
        ),
    );
    const servers = new Map(started);

    const sharedEnvironment = (zone: string, vmId: string): Record<string, string> => ({
        NUTMEGJUNCTION_AVAILABILITY_ZONE: zone,
        NUTMEGJUNCTION_VM_ID: vmId,
        NUTMEGJUNCTION_STORE_ADDRESS: options.storeAddressOf?.(zone) ?? store.address,
        NUTMEGJUNCTION_VM_LIST_ADDRESS: vmList.address,
        ...options.environment,
    });
    const gatewayHost = (zone: string, index: number): string => `${addressPrefix}.${zones.indexOf(zone) + 1}.${11 + index}`;

    const startGateway: Fleet["startGateway"] = async (zone, index, extra = {}) => {
        const host = gatewayHost(zone, index);
        const vmId = `${zone}-entry${index + 1}`;
        const callerAddress = `${host}:7001`;
        const adminAddress = `${host}:7002`;
        const environment = {
            ...sharedEnvironment(zone, vmId),
            NUTMEGJUNCTION_CALLER_ADDRESS: callerAddress,
            NUTMEGJUNCTION_ADMIN_ADDRESS: adminAddress,
            NUTMEGJUNCTION_PEER_ADDRESS: `${host}:7003`,
            NUTMEGJUNCTION_OPERATOR_KEY: operatorKey,
            NUTMEGJUNCTION_PEER_KEY: peerKey,
            ...extra,
        };
        const child = startChild({ script: "src/cli/main.js", args: ["gateway"], environment, keepsLines: options.keepsLogLines });
        await waitForListening(child, callerAddress);
        return { child, availabilityZone: zone, vmId, callerAddress, adminAddress, environment };
    };

    const startSteward = async (zone: string): Promise<Child> => {
        const adminAddress = `${gatewayHost(zone, 0)}:7004`;
        const environment = { ...sharedEnvironment(zone, `${zone}-entry1`), NUTMEGJUNCTION_ADMIN_ADDRESS: adminAddress };
        const child = startChild({ script: "src/cli/main.js", args: ["steward"], environment, keepsLines: options.keepsLogLines });
        await waitForListening(child, adminAddress);
        return child;
    };

    const indexes = Array.from({ length: options.gatewaysPerZone }, (_, index) => index);
    const gateways = await Promise.all(zones.flatMap(zone => indexes.map(index => startGateway(zone, index))));
    const stewards = await Promise.all(zones.map(startSteward));
    const callAdmin: Fleet["callAdmin"] = (method, path, body, headers) =>
        callAdminAt(gateways[0]!.adminAddress, method, path, body, headers);
    const applied = await callAdmin("PUT", "/admin/v1/configuration", document, { "if-match": "*" });
    if (applied.statusCode >= 300) {
        killAllChildren();
        throw new Error(`the configuration was rejected: ${JSON.stringify(applied.body)}`);
    }
    await Promise.all(gateways.map(gateway => waitForStatus(`http://${gateway.adminAddress}/readyz`, 200)));

    return {
        store,
        vmList,
        servers,
        gateways,
        stewards,
        startGateway,
        callAdmin,
        createKey: async team => {
            const minted = await callAdmin("POST", "/admin/v1/keys", { team });
            if (minted.statusCode >= 300) {
                throw new Error(`cannot create a key for team ${team}: ${JSON.stringify(minted.body)}`);
            }
            await waitUntil("the new key is in force in every process", async () => {
                const { body } = await callAdmin("GET", "/admin/v1/configuration");
                return body.isAccepted === true && (body.version as number) >= (minted.body.version as number);
            });
            return minted.body as { key: string; keyId: string };
        },
        journal: async () => (await Promise.all([...servers.values()].map(readJournal))).flat(),
        stop: async () => {
            const children = [
                ...gateways.map(gateway => gateway.child),
                ...stewards,
                ...[...servers.values(), store, vmList].map(standIn => standIn.child),
            ];
            children.forEach(child => child.kill("SIGKILL"));
            await Promise.all(children.map(child => child.exited));
        },
    };
}
