/** Watches the backend servers' own word (their health checks) and the platform's VM list for servers that leave. */
import { request } from "undici";
import type { TimerService } from "../common/timerService.js";
import { leavingReasons, type ServerState, type ServerTable } from "./serverTable.js";
import type { VmListPoller } from "./vmListPoller.js";

export interface ServerWatchOptions {
    availabilityZone: string;
    vmList: VmListPoller;
    servers: ServerTable;
    timers: TimerService;
    signal: AbortSignal;
}

const checkIntervalMs = 1_000;
const checkTimeoutMs = 900;
const leavingStatus = 503;

/** Starts the watch. */
export function watchServers(options: ServerWatchOptions): void {
    const { servers, timers, signal } = options;

    /** Only a server's own word changes its state here: one that does not answer may be cut off from this side alone. */
    const checkServer = async (server: ServerState): Promise<void> => {
        try {
            const response = await request(`http://${server.configuration.address}/healthz`, {
                signal: AbortSignal.any([signal, AbortSignal.timeout(checkTimeoutMs)]),
            });
            await response.body.dump();
            servers.setLeaving(server, leavingReasons.selfReported, response.statusCode === leavingStatus);
        }
        catch {
            return;
        }
    };

    timers.every(checkIntervalMs, signal, () => {
        servers.all().filter(server => server.availabilityZone === options.availabilityZone).forEach(server => void checkServer(server));
    });
    options.vmList.onUpdate(() =>
        servers.all().forEach(server =>
            servers.setLeaving(server, leavingReasons.vmLeaving, options.vmList.isLeaving(server.configuration.vmId))
        )
    );
}
