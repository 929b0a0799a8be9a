/** Jobs as the product sees them: steps of tasks with their needs, queues with their policy, teams with their limits. */

/** What a task takes of a worker, or what a worker has. */
export interface Resources {
    cpuMillicores: number;
    memoryMb: number;
    accelerators: number;
}

export interface StepSpec {
    taskCount: number;
    request: Resources;
    /** The submitter's estimate of one task's duration; may be far off. */
    estimatedDurationMs: number;
    /** Steps, by index, all of whose tasks must be done first. */
    dependsOn: readonly number[];
    /** All tasks start, work and end together. */
    isGang: boolean;
    /** The tasks slow down when they spread over several racks. */
    isRackBound: boolean;
    requiredLabel: string | undefined;
    /** Rack on which the data lies; elsewhere the tasks slow down. */
    preferredRack: string | undefined;
    maxTasksPerWorker: number | undefined;
    /** Copies of a task may run at the same time. */
    isSpeculative: boolean;
    /** The tasks run until the job is cancelled and are restarted however they end. */
    isLongRunning: boolean;
    savesProgress: boolean;
    image: string | undefined;
    /** Tail latency that the long-running tasks must stay below. */
    latencyTargetMs: number | undefined;
    /** The tasks take only processor time that the others leave over. */
    isFiller: boolean;
    /** Tasks of a long-running step that the scheduler may make unavailable at the same time. */
    maxUnavailable: number | undefined;
}

/** When the occurrences of a repeated job are due. */
export interface RepeatSpec {
    firstDueWallMs: number;
    intervalMs: number;
    count: number;
}

/** A job as it was submitted. */
export interface JobSubmission {
    jobId: string;
    queueName: string;
    teamName: string | undefined;
    /** Opaque text handed to each task. */
    payload: string;
    steps: readonly StepSpec[];
    repeat: RepeatSpec | undefined;
    submittedWallMs: number;
}

export const jobStates = {
    queued: "queued",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type JobState = (typeof jobStates)[keyof typeof jobStates];

/** A queue's policy, from the configuration. */
export interface QueuePolicy {
    name: string;
    poolName: string;
    /** 0 is the most urgent. */
    priority: number;
    maxAttempts: number;
    /** The objective is this multiple of the job's longest chain of work, plus `latencyObjectiveMs`. */
    criticalPathFactor: number;
    latencyObjectiveMs: number;
}

export interface PoolPolicy {
    name: string;
    /** VMs of the pool are switched off. */
    isStandby: boolean;
}

export interface TeamPolicy {
    name: string;
    /** Share when all is full, in jobs a second. */
    weight: number;
    /** Upper limit of what runs at a time; 0 in a field stands for no limit. */
    limit: Resources;
}

export interface SchedulingPolicy {
    queues: ReadonlyMap<string, QueuePolicy>;
    pools: ReadonlyMap<string, PoolPolicy>;
    teams: ReadonlyMap<string, TeamPolicy>;
}

export const noResources: Resources = { cpuMillicores: 0, memoryMb: 0, accelerators: 0 };

/** Adds `factor` times `amount` to `sum` in place. */
export function addResources(sum: Resources, amount: Resources, factor: number): void {
    sum.cpuMillicores += factor * amount.cpuMillicores;
    sum.memoryMb += factor * amount.memoryMb;
    sum.accelerators += factor * amount.accelerators;
}

/** Whether the step's tasks serve users until the job is cancelled. */
export function isServing(step: StepSpec): boolean {
    return step.isLongRunning && !step.isFiller;
}

/** What a task reserves on its worker: a filler takes no processor time of its own. */
export function reservedResources(step: StepSpec): Resources {
    return step.isFiller ? { ...step.request, cpuMillicores: 0 } : step.request;
}

/** Work of a job's short tasks in millicore-seconds, by the submitter's estimate; long-running ones have no end. */
export function estimateWork(steps: readonly StepSpec[]): number {
    return steps.filter(step => !step.isLongRunning).reduce(
        (sum, step) => sum + step.taskCount * step.request.cpuMillicores * step.estimatedDurationMs / 1000,
        0,
    );
}

/** Longest chain of work that starts with the given step, by the estimates. */
export function estimateCriticalPathMs(steps: readonly StepSpec[]): number[] {
    const chainMs = steps.map(step => step.estimatedDurationMs);
    for (let index = steps.length - 1; index >= 0; index--) {
        for (const before of steps[index]!.dependsOn) {
            chainMs[before] = Math.max(chainMs[before]!, steps[before]!.estimatedDurationMs + chainMs[index]!);
        }
    }
    return chainMs;
}
