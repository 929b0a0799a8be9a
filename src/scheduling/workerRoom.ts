/** What room a worker has beside its runs. */
import { fitsInto, noResources, type Resources } from "./jobTypes.js";
import type { WorkerRecord } from "./workerRecord.js";

/** What the worker has left. It is below zero where its runs take more than its capacity, which may shrink at any time. */
export function freeResources({ entry: { capacity }, used, unknownSizeCount }: WorkerRecord): Resources {
    if (unknownSizeCount > 0) {
        return { cpuMillicores: -1, memoryMb: -1, accelerators: -1 };
    }
    return {
        cpuMillicores: capacity.cpuMillicores - used.cpuMillicores,
        memoryMb: capacity.memoryMb - used.memoryMb,
        accelerators: capacity.accelerators - used.accelerators,
    };
}

/** Whether the worker's runs, planned ones included, take more than its capacity. */
export function isOvercommitted(worker: WorkerRecord): boolean {
    return !fitsInto(noResources, freeResources(worker));
}
