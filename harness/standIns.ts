/** Starts stand-ins for external services as child processes and calls their control endpoints. */
import { request } from "undici";
import type { JournalEntry, ServerFaultMode } from "../stand-ins/backendServer.js";
import type { StoreFaults } from "../stand-ins/keyValueService.js";
import type { RelayMode } from "../stand-ins/relay.js";
import type { VmEntry } from "../stand-ins/vmListService.js";
import { type Child, startChild } from "./childProcess.js";

/** A running stand-in process. */
export interface StandIn {
    child: Child;
    /** Address on which it listens, `ip:port`. */
    address: string;
}

async function callControl(address: string, path: string, body?: unknown): Promise<unknown> {
    const response = await request(`http://${address}${path}`, {
        method: body === undefined ? "GET" : "POST",
        body: body === undefined ? undefined : JSON.stringify(body),
        headersTimeout: 10_000,
    });
    return response.body.json();
}

async function start(kind: string, address: string, args: string[]): Promise<StandIn> {
    const child = startChild({ script: "stand-ins/main.js", args: [kind, "--address", address, ...args] });
    const { host, port } = JSON.parse(await child.waitForLine(line => line.startsWith("{"))) as { host: string; port: number };
    return { child, address: `${host}:${port}` };
}

/** Starts a key-value service. Port 0 selects a free port. */
export function startStore(address = "127.0.0.1:0"): Promise<StandIn> {
    return start("key-value-service", address, []);
}

export function startVmList(address = "127.0.0.1:0", lagMs = 200): Promise<StandIn> {
    return start("vm-list", address, ["--lag-ms", String(lagMs)]);
}

export interface BackendServerArgs {
    serverId: string;
    address?: string;
    slotsCount?: number;
    lateByMs?: number;
}

export function startServer(args: BackendServerArgs): Promise<StandIn> {
    const options = ["--id", args.serverId, "--slots", String(args.slotsCount ?? 8), "--late-by-ms", String(args.lateByMs ?? 3000)];
    return start("backend-server", args.address ?? "127.0.0.1:0", options);
}

export function startRelayTo(target: string, address = "127.0.0.1:0"): Promise<StandIn> {
    return start("relay", address, ["--target", target]);
}

export function setStoreFaults(store: StandIn, faults: Partial<StoreFaults>): Promise<unknown> {
    return callControl(store.address, "/faults", faults);
}

export function backUpStore(store: StandIn): Promise<unknown> {
    return callControl(store.address, "/backup", {});
}

export function restoreStore(store: StandIn): Promise<unknown> {
    return callControl(store.address, "/restore", {});
}

export function setServerFaults(server: StandIn, faults: { mode?: ServerFaultMode; isLeaving?: boolean }): Promise<unknown> {
    return callControl(server.address, "/faults", faults);
}

export async function readJournal(server: StandIn): Promise<JournalEntry[]> {
    return await callControl(server.address, "/journal") as JournalEntry[];
}

export function setVms(vmList: StandIn, entries: VmEntry[]): Promise<unknown> {
    return callControl(vmList.address, "/vms", entries);
}

/** Sets how a relay forwards bytes. Its control endpoint listens on the next port. */
export function setRelayMode(relay: StandIn, mode: RelayMode): Promise<unknown> {
    const [host, port] = relay.address.split(":");
    return callControl(`${host}:${Number(port) + 1}`, "/mode", { mode });
}
