/** Counts the work of the scheduler by how often resources are read, so that the result does not depend on the machine. */
import type { Resources } from "../../src/scheduling/jobTypes.js";

/** Returns the same resources, which count how often the CPU is read. */
export function countReads(resources: Resources, count: () => void): Resources {
    return Object.defineProperty({ ...resources }, "cpuMillicores", {
        enumerable: true,
        get: () => {
            count();
            return resources.cpuMillicores;
        },
    });
}
