/**
 * Test double of the platform's VM list, which reports state changes with a delay. `GET /v1/vms` returns the list,
 * `POST /vms` sets the actual state.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./httpHelpers.js";

/** State of one VM as reported by the list. */
export interface VmEntry {
    vmId: string;
    availabilityZone: string;
    state: "live" | "leaving" | "gone";
}

/** Starts the service, which reports each change `lagMs` late, and resolves with its port. */
export function startVmListService(address: ListenAddress, lagMs: number, signal: AbortSignal): Promise<number> {
    const visibleVms = new Map<string, VmEntry>();
    const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        if (request.method === "POST") {
            const entries = await readJson(request) as VmEntry[];
            const publishEntries = (): void => entries.forEach(entry => visibleVms.set(entry.vmId, entry));
            setTimeout(publishEntries, lagMs);
            sendJson(response, 202, {});
            return;
        }
        sendJson(response, 200, { vms: [...visibleVms.values()] });
    };
    return listen(http.createServer((request, response) => void handleRequest(request, response)), address, signal);
}
