/** A step of one small task without special requirements. */
import type { StepSpec } from "../src/scheduling/jobTypes.js";

export const defaultStep: StepSpec = {
    taskCount: 1,
    request: { cpuMillicores: 1_000, memoryMb: 100, accelerators: 0 },
    estimatedDurationMs: 1_000,
    dependsOn: [],
    isGang: false,
    isRackBound: false,
    requiredLabel: undefined,
    preferredRack: undefined,
    maxTasksPerWorker: undefined,
    isSpeculative: false,
    isLongRunning: false,
    savesProgress: false,
    image: undefined,
    latencyTargetMs: undefined,
    isFiller: false,
    maxUnavailable: undefined,
};
