/** The short jobs that arrived within the last seconds, refused or not, as the owner sees them. */
import type { FluidWork } from "../decisions/predictStarts.js";
import type { DirectoryEvent } from "../scheduling/jobDirectory.js";
import type { JobRecord } from "../scheduling/jobRecord.js";
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { objectiveMsOf } from "./describePools.js";

export interface RecentArrivals {
    /** Must be called after the scheduler has got the event. */
    onJobEvent(event: DirectoryEvent, state: SchedulerState): void;
    /**
     * Returns the arrivals for the pool's queues; their times are relative to now. Those of teams at their limits are left out, since they
     * will not take more of the pool.
     */
    list(poolName: string, state: SchedulerState, teamsAtLimit: ReadonlySet<string>): FluidWork[];
}

/** Long enough that a few jobs of each kind arrive, short against a surge. */
export const arrivalsWindowMs = 2_000;
/** Arrivals of an overload beyond all bounds are left out, which refuses less. */
const maxArrivalsCount = 4_000;

interface Arrival {
    atMs: number;
    queueName: string;
    teamName?: string | undefined;
    isWithinShare: boolean;
    workMillicoreS: number;
    criticalPathMs: number;
}

function describeAccepted(job: JobRecord | undefined, atMs: number): Arrival | undefined {
    if (!job || job.workMillicoreS <= 0 || job.submission.repeat) {
        return undefined;
    }
    const { isWithinShare, workMillicoreS, criticalPathMs, submission: { queueName, teamName } } = job;
    return { atMs, queueName, teamName, isWithinShare, workMillicoreS, criticalPathMs };
}

export function createRecentArrivals(nowMs: () => number): RecentArrivals {
    let arrivals: Arrival[] = [];
    const forgetOld = (): void => {
        const oldestMs = nowMs() - arrivalsWindowMs;
        if (arrivals.length > 0 && arrivals[0]!.atMs < oldestMs) {
            arrivals = arrivals.filter(({ atMs }) => atMs >= oldestMs);
        }
    };
    return {
        onJobEvent: (event, state) => {
            const arrival = event.kind === "accepted" ?
                describeAccepted(state.jobs.get(event.entry.jobId), nowMs()) :
                event.kind === "refused" && !event.isRepeated ?
                { ...event.refusal, atMs: nowMs() } :
                undefined;
            if (arrival && arrivals.length < maxArrivalsCount) {
                arrivals.push(arrival);
            }
        },
        list: (poolName, state, teamsAtLimit) => {
            forgetOld();
            return arrivals.flatMap(({ atMs, queueName, teamName, isWithinShare, workMillicoreS, criticalPathMs }): FluidWork[] => {
                const queue = state.policy.queues.get(queueName);
                return queue?.poolName !== poolName || teamsAtLimit.has(teamName ?? "") ? [] : [{
                    queueName,
                    isWithinShare,
                    hasStarted: false,
                    jobWorkMillicoreS: workMillicoreS,
                    leftMillicoreS: workMillicoreS,
                    submittedMs: atMs - nowMs(),
                    objectiveMs: objectiveMsOf(queue, criticalPathMs),
                    criticalPathMs,
                }];
            });
        },
    };
}
