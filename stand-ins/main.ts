/**
 * Runs one stand-in (a test double of a platform service, backend server or worker) in this process. Usage:
 *
 * - `main.js key-value-service --address ip:port`
 * - `main.js vm-list --address ip:port [--lag-ms n]`
 * - `main.js backend-server --address ip:port --id id [--slots n] [--connections n] [--late-by-ms n]`
 * - `main.js worker --address ip:port [--lag-ms n]`
 * - `main.js relay --address ip:port --target ip:port`
 */
import { parseArgs } from "node:util";
import { startBackendServer } from "./backendServer.js";
import type { ListenAddress } from "./httpHelpers.js";
import { startKeyValueService } from "./keyValueService.js";
import { startRelay } from "./relay.js";
import { startVmListService } from "./vmListService.js";
import { startWorker } from "./worker.js";

const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: {
        "address": { type: "string" },
        "target": { type: "string" },
        "lag-ms": { type: "string", default: "500" },
        "id": { type: "string", default: "server" },
        "slots": { type: "string", default: "8" },
        "connections": { type: "string", default: "64" },
        "late-by-ms": { type: "string", default: "3000" },
    },
});

function parseAddress(text: string | undefined): ListenAddress {
    const [host = "127.0.0.1", port = "0"] = (text ?? "").split(":");
    return { host, port: Number(port) };
}

const shutdownController = new AbortController();
const address = parseAddress(values.address);

const standInStarters: Record<string, () => Promise<number>> = {
    "key-value-service": () => startKeyValueService(address, shutdownController.signal),
    "vm-list": () => startVmListService(address, Number(values["lag-ms"]), shutdownController.signal),
    "backend-server": () =>
        startBackendServer(
            {
                serverId: values.id,
                slotsCount: Number(values.slots),
                connectionsCount: Number(values.connections),
                lateByMs: Number(values["late-by-ms"]),
            },
            address,
            shutdownController.signal,
        ),
    "worker": () => startWorker(address, Number(values["lag-ms"]), shutdownController.signal),
    "relay": () => startRelay(address, parseAddress(values.target), shutdownController.signal),
};

const start = standInStarters[positionals[0] ?? ""];
if (!start) {
    console.error(`unknown stand-in '${positionals[0]}'; expected one of: ${Object.keys(standInStarters).join(", ")}`);
    process.exit(2);
}
const port = await start();
console.log(JSON.stringify({ standIn: positionals[0], host: address.host, port }));
process.once("SIGTERM", () => {
    shutdownController.abort();
    process.exit(0);
});
