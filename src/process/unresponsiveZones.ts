/** Finds zones that are cut off from the owner of the scheduling. */
import type { SchedulerState } from "../scheduling/schedulerState.js";

/** Zones in which no worker responds: VMs that are moved there could not be used. */
export function findUnresponsiveZones(state: SchedulerState): Set<string> {
    const workers = [...state.workers.values()].filter(worker => worker.isRegistered && !worker.hasEnded);
    const responsiveZones = new Set(
        workers.filter(worker => worker.unresponsiveSinceMs === undefined).map(worker => worker.entry.zone),
    );
    return new Set(workers.map(worker => worker.entry.zone).filter(zone => !responsiveZones.has(zone)));
}
