/** The job model: steps of tasks with their requirements, queues with their policies, and teams with their limits. */
import type { Resources } from "../decisions/resources.js";

export { fitsInto, type Resources } from "../decisions/resources.js";

export interface StepSpec {
    taskCount: number;
    request: Resources;
    /** The submitter's estimate of one task's duration; it may be far from the actual one. */
    estimatedDurationMs: number;
    /** Indices of the steps whose tasks must all be done first. */
    dependsOn: readonly number[];
    /** All tasks start, run and end together. */
    isGang: boolean;
    /** The tasks run slower when they are spread over several racks. */
    isRackBound: boolean;
    requiredLabel: string | undefined;
    /** Rack that holds the data; the tasks run slower on other racks. */
    preferredRack: string | undefined;
    maxTasksPerWorker: number | undefined;
    /** Several copies of a task may run at the same time. */
    isSpeculative: boolean;
    /** The tasks run until the job is cancelled, and are restarted no matter how they end. */
    isLongRunning: boolean;
    savesProgress: boolean;
    image: string | undefined;
    /** Tail latency that the long-running tasks must stay below. */
    latencyTargetMs: number | undefined;
    /** The tasks use only CPU time that other tasks leave idle. */
    isFiller: boolean;
    /** How many tasks of a long-running step the scheduler may make unavailable at the same time. */
    maxUnavailable: number | undefined;
}

/** Schedule of a repeated job's occurrences. */
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
    /** Opaque text passed to each task. */
    payload: string;
    steps: readonly StepSpec[];
    repeat: RepeatSpec | undefined;
    submittedWallMs: number;
    /** What the configuration said when the job was accepted; missing in submissions of earlier builds. */
    acceptedUnder?: AcceptedPolicy;
}

/** The policy of a job's queue and team in the configuration under which the job was accepted. */
export interface AcceptedPolicy {
    configurationVersion: number;
    queue: QueuePolicy;
    team: TeamPolicy | undefined;
}

/** Bounds of a job's size: each process that loads the job keeps a record of every step of every occurrence, and of every task. */
export const maxTasksPerJob = 200_000;
export const maxStepOccurrencesPerJob = 10_000;
/** All tasks of a gang are started at once, so each has a run and a command under way at the same time. */
export const maxTasksPerGang = 5_000;

/** Returns what is too large about the job's size, or `undefined` if it is within the bounds. */
export function describeExcessiveSize(
    steps: readonly Pick<StepSpec, "taskCount" | "isGang">[],
    occurrencesCount: number,
): string | undefined {
    const largeGang = steps.find(step => step.isGang && !(step.taskCount <= maxTasksPerGang));
    if (largeGang) {
        return `${largeGang.taskCount} tasks in a gang; at most ${maxTasksPerGang} are accepted`;
    }
    const stepOccurrencesCount = steps.length * occurrencesCount;
    const tasksCount = steps.reduce((sum, step) => sum + step.taskCount, 0) * occurrencesCount;
    // Written so that a count that is no number is too large as well.
    if (!(stepOccurrencesCount <= maxStepOccurrencesPerJob)) {
        return `${stepOccurrencesCount} steps in all occurrences; at most ${maxStepOccurrencesPerJob} are accepted`;
    }
    return tasksCount <= maxTasksPerJob ? undefined : `${tasksCount} tasks in all occurrences; at most ${maxTasksPerJob} are accepted`;
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
    /** A job should be done within this multiple of its critical path, plus `latencyObjectiveMs`. */
    criticalPathFactor: number;
    latencyObjectiveMs: number;
}

export interface PoolPolicy {
    name: string;
    /** The VMs of the pool are switched off. */
    isStandby: boolean;
}

export interface TeamPolicy {
    name: string;
    /** The team's share under contention, in jobs per second. */
    weight: number;
    /** Limit on the resources of all runs at the same time; 0 in a field means no limit. */
    limit: Resources;
}

export interface SchedulingPolicy {
    /** Version of the configuration that the policy is part of. */
    version: number;
    queues: ReadonlyMap<string, QueuePolicy>;
    pools: ReadonlyMap<string, PoolPolicy>;
    teams: ReadonlyMap<string, TeamPolicy>;
}

/** Returns what a job that is accepted into the queue keeps of the policy. */
export function describeAcceptance(policy: SchedulingPolicy, queueName: string, teamName: string | undefined): AcceptedPolicy | undefined {
    const queue = policy.queues.get(queueName);
    const team = teamName === undefined ? undefined : policy.teams.get(teamName);
    return queue && { configurationVersion: policy.version, queue, team };
}

export const noResources: Resources = { cpuMillicores: 0, memoryMb: 0, accelerators: 0 };

/** Adds `factor * amount` to `sum` in place. */
export function addResources(sum: Resources, amount: Resources, factor: number): void {
    sum.cpuMillicores += factor * amount.cpuMillicores;
    sum.memoryMb += factor * amount.memoryMb;
    sum.accelerators += factor * amount.accelerators;
}

/** Whether the step's tasks serve users until the job is cancelled. */
export function isServing(step: StepSpec): boolean {
    return step.isLongRunning && !step.isFiller;
}

/** Resources that a task reserves on its worker; a filler reserves no CPU. */
export function reservedResources(step: StepSpec): Resources {
    return step.isFiller ? { ...step.request, cpuMillicores: 0 } : step.request;
}

/** The least that a task of any of the steps reserves, for each resource by itself. */
export function smallestNeed(steps: readonly StepSpec[]): Resources {
    const needs = steps.map(reservedResources);
    return {
        cpuMillicores: Math.min(...needs.map(need => need.cpuMillicores)),
        memoryMb: Math.min(...needs.map(need => need.memoryMb)),
        accelerators: Math.min(...needs.map(need => need.accelerators)),
    };
}

/** Estimated work of a job's short tasks in millicore-seconds; long-running tasks are left out because they have no end. */
export function estimateWork(steps: readonly StepSpec[]): number {
    return steps.filter(step => !step.isLongRunning).reduce(
        (sum, step) => sum + step.taskCount * step.request.cpuMillicores * step.estimatedDurationMs / 1000,
        0,
    );
}

/** For each step, the estimated duration of the longest chain of dependent steps that starts with it. */
export function estimateCriticalPathMs(steps: readonly StepSpec[]): number[] {
    const pathMs = steps.map(step => step.estimatedDurationMs);
    for (let index = steps.length - 1; index >= 0; index--) {
        for (const dependency of steps[index]!.dependsOn) {
            pathMs[dependency] = Math.max(pathMs[dependency]!, steps[dependency]!.estimatedDurationMs + pathMs[index]!);
        }
    }
    return pathMs;
}
