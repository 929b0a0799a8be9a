/** The model's only job: two steps of one task each, where the second depends on the first. */
import { defaultStep } from "../../harness/defaultStep.js";
import type { JobSubmission, SchedulingPolicy, StepSpec } from "../../src/scheduling/jobTypes.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import type { ModelWorker } from "./modelWorker.js";

const step = (dependsOn: number[]): StepSpec => ({ ...defaultStep, estimatedDurationMs: 500, dependsOn });
export const modelSubmission: JobSubmission = {
    jobId: "job",
    queueName: "queue",
    teamName: undefined,
    payload: "",
    steps: [step([]), step([0])],
    repeat: undefined,
    submittedWallMs: 0,
};
export const modelPolicy: SchedulingPolicy = {
    version: 1,
    queues: new Map([["queue", {
        name: "queue",
        poolName: "pool",
        priority: 0,
        maxAttempts: 2,
        criticalPathFactor: 2,
        latencyObjectiveMs: 1_000,
    }]]),
    pools: new Map([["pool", { name: "pool", isStandby: false }]]),
    teams: new Map(),
};

/** A worker's entry in the store. */
export const entryOf = (worker: ModelWorker): WorkerEntry => ({
    workerId: worker.id,
    bornWallMs: worker.bornWallMs,
    address: worker.id,
    poolName: "pool",
    zone: "zone",
    rack: worker.id,
    labels: [],
    capacity: { cpuMillicores: 1_000 * worker.capacity, memoryMb: 1_000, accelerators: 0 },
    isDraining: false,
});
