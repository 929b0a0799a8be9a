/** A stand-in of the platform's lagging list of live and leaving VMs: `GET /v1/vms`; `POST /vms` sets the true state. */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./serving.js";

/** One VM as the list shows it. */
export interface VmEntry {
    vmId: string;
    availabilityZone: string;
    state: "live" | "leaving" | "gone";
}

/** Starts the list, which shows each change `lagMs` late, and resolves with its port. */
export function startVmListService(address: ListenAddress, lagMs: number, signal: AbortSignal): Promise<number> {
    const shown = new Map<string, VmEntry>();
    const serve = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        if (request.method === "POST") {
            const entries = await readJson(request) as VmEntry[];
            const show = (): void => entries.forEach(entry => shown.set(entry.vmId, entry));
            setTimeout(show, lagMs);
            sendJson(response, 202, {});
            return;
        }
        sendJson(response, 200, { vms: [...shown.values()] });
    };
    return listen(http.createServer((request, response) => void serve(request, response)), address, signal);
}
