/** What the jobs of a simulated fleet earn: a value for each that is done in time, little for a late one, and nothing after that. */
import { type SchedulingLoad, surgeS } from "../../harness/schedulingLoad.js";
import { estimateWork, type JobSubmission } from "../../src/scheduling/jobTypes.js";

/** What the jobs of a queue earned that were submitted within a surge, as a part of what was owed. */
export interface SurgeResult {
    queueName: string;
    startMs: number;
    jobsCount: number;
    earnedPart: number;
}

export interface EarnedWorth {
    surges: SurgeResult[];
    /** Parts over all surges. */
    earnedPartByQueue: Map<string, number>;
    /** Jobs that had not ended when the simulation did. */
    unfinishedCount: number;
}

export interface TrackedJob {
    submission: JobSubmission;
    taskDurationsMs: number[][];
    objectiveMs: number;
    isOwed: boolean;
    completedAtMs: number | undefined;
    /** Whether one of its tasks has failed as often as it may, so that the job has ended as failed. */
    hasFailed: boolean;
}

const surgeMs = surgeS * 1_000;
/** Value of a job that is late, and the multiple of its objective after which it has none. */
const lateValue = 0.07;
const valueLossFactor = 3;
/** Part of a job's value that does not depend on its work. */
const fixedValuePart = 0.3;
const maxValue = 4;

/** Draws the durations of the job's tasks. */
export function trackJob(load: SchedulingLoad, submission: JobSubmission): TrackedJob {
    const taskDurationsMs = submission.steps.map((step, index) =>
        Array.from({ length: step.taskCount }, () => load.drawTaskMs(submission, index))
    );
    const queue = load.policy.queues.get(submission.queueName)!;
    const chainMs = taskDurationsMs.reduce((sum, durations) => sum + Math.max(...durations), 0);
    const objectiveMs = queue.criticalPathFactor * chainMs + queue.latencyObjectiveMs;
    return { submission, taskDurationsMs, objectiveMs, isOwed: true, completedAtMs: undefined, hasFailed: false };
}

function workOf(job: TrackedJob): number {
    return estimateWork(job.submission.steps);
}

export function measureEarnedWorth(allJobs: readonly TrackedJob[]): EarnedWorth {
    const jobs = allJobs.filter(job => !job.submission.steps[0]!.isLongRunning);
    const queueNames = [...new Set(jobs.map(job => job.submission.queueName))].sort();
    const meanWork = new Map(queueNames.map(name => {
        const own = jobs.filter(job => job.submission.queueName === name);
        return [name, own.reduce((sum, job) => sum + workOf(job), 0) / own.length];
    }));
    const valueOf = (job: TrackedJob): number =>
        Math.min(maxValue, fixedValuePart + (1 - fixedValuePart) * workOf(job) / meanWork.get(job.submission.queueName)!);
    const earnedBy = (job: TrackedJob): number => {
        const tookMs = (job.completedAtMs ?? Number.POSITIVE_INFINITY) - job.submission.submittedWallMs;
        return tookMs <= job.objectiveMs ? valueOf(job) : tookMs <= valueLossFactor * job.objectiveMs ? lateValue * valueOf(job) : 0;
    };
    const earnedPart = (some: readonly TrackedJob[]): number => {
        const owed = some.filter(job => job.isOwed);
        return owed.reduce((sum, job) => sum + earnedBy(job), 0) / Math.max(1e-9, owed.reduce((sum, job) => sum + valueOf(job), 0));
    };
    const bySurge = new Map<string, TrackedJob[]>();
    for (const job of jobs) {
        const key = `${Math.floor(job.submission.submittedWallMs / surgeMs)} ${job.submission.queueName}`;
        bySurge.set(key, [...(bySurge.get(key) ?? []), job]);
    }
    const surges = [...bySurge].map(([key, some]): SurgeResult => {
        const [index, queueName] = key.split(" ");
        return { queueName: queueName!, startMs: Number(index) * surgeMs, jobsCount: some.length, earnedPart: earnedPart(some) };
    });
    return {
        surges,
        earnedPartByQueue: new Map(queueNames.map(name => [name, earnedPart(jobs.filter(job => job.submission.queueName === name))])),
        unfinishedCount: jobs.filter(job => job.completedAtMs === undefined && !job.hasFailed).length,
    };
}
