/** Marks backend servers as leaving, based on their health checks and on the platform's VM list. */
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
const leavingStatusCode = 503;

/** Starts to check the servers of this zone, and to follow the VM list for all servers. */
export function watchServers(options: ServerWatchOptions): void {
    const { servers, timers, signal } = options;

    /** Only a response changes the state: a server that does not respond may be unreachable from this gateway alone. */
    const checkServer = async (server: ServerState): Promise<void> => {
        try {
            const response = await request(`http://${server.configuration.address}/healthz`, {
                signal: AbortSignal.any([signal, AbortSignal.timeout(checkTimeoutMs)]),
            });
            await response.body.dump();
            servers.setLeaving(server, leavingReasons.selfReported, response.statusCode === leavingStatusCode);
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
