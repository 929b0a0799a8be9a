/**
 * Decides whether a submission is refused because of load. It is designed for a pool that is full for longer than jobs can wait: a job that
 * would end after it has lost all value would take capacity from others later. Whatever is uncertain is admitted.
 */
import { type LateStart, latestEndMs } from "./predictStarts.js";
import { fitsInto, type Resources } from "./resources.js";

/** The load of a pool that cannot serve all that arrives. */
export interface FullPool {
    poolName: string;
    /** The most that any worker has left, for each resource by itself. */
    room: Resources;
    lateStarts: readonly LateStart[];
}

export interface ArrivingJob {
    queueName: string;
    isWithinShare: boolean;
    workMillicoreS: number;
    criticalPathMs: number;
    objectiveMs: number;
    /** What the tasks need that can start at once. */
    firstNeeds: readonly Resources[];
}

export interface LateJob {
    predictedEndMs: number;
    /** A later end counts as too late. */
    latestEndMs: number;
    retryAfterMs: number;
}

/** A caller that may make few attempts is not sent away for longer. */
const maxRetryAfterMs = 15_000;

/**
 * Returns why the job would be too late, or `undefined` if it is admitted. Callers are told to come back between the time at which an arrival
 * can be expected to be in time again and the time at which the work now ahead of this job is done; `spread`, from 0 to 1, chooses.
 */
export function findLateJob(job: ArrivingJob, { room, lateStarts }: FullPool, spread: number): LateJob | undefined {
    if (job.firstNeeds.some(need => fitsInto(need, room))) {
        return undefined;
    }
    const matching = lateStarts.filter(each =>
        each.queueName === job.queueName && each.isWithinShare === job.isWithinShare && each.aboveWorkMillicoreS <= job.workMillicoreS
    );
    const nearest = matching.reduce<LateStart | undefined>(
        (best, each) => best && best.aboveWorkMillicoreS >= each.aboveWorkMillicoreS ? best : each,
        undefined,
    );
    if (!nearest) {
        return undefined;
    }
    const { startMs } = nearest;
    const latestMs = latestEndMs(job.objectiveMs);
    const predictedEndMs = startMs + job.criticalPathMs;
    if (predictedEndMs <= latestMs) {
        return undefined;
    }
    const fromMs = Math.max(1_000, predictedEndMs - latestMs);
    const untilMs = Math.max(fromMs + 1_000, startMs);
    const wantedMs = Math.min(maxRetryAfterMs, fromMs + spread * (untilMs - fromMs));
    return { predictedEndMs, latestEndMs: latestMs, retryAfterMs: Math.ceil(wantedMs / 1_000) * 1_000 };
}
