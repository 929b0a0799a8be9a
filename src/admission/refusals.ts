/** Refuses submissions by the owner's summary of the load, in every process. */
import type { TimerService } from "../common/timerService.js";
import { findLateJob } from "../decisions/admitJob.js";
import { logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import type { Metrics } from "../process/metrics.js";
import type { StoreMirror } from "../process/storeMirror.js";
import { type JobAdmission, refusalCauses } from "../process/submissionWriter.js";
import type { ReportUnreadable } from "../process/unreadableDocuments.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { estimateCriticalPathMs, estimateWork, reservedResources, type SchedulingPolicy } from "../scheduling/jobTypes.js";
import { objectiveMsOf } from "./describePools.js";
import { decodeLoadSummary, type LoadSummary } from "./loadSummary.js";

export interface RefusalsOptions {
    mirror(): StoreMirror;
    /** The policy of the configuration in force. */
    policy(): SchedulingPolicy | undefined;
    timers: TimerService;
    logger: Logger;
    metrics: Metrics;
    onUnreadable: ReportUnreadable;
    /** Random number from 0 to 1. */
    random(): number;
}

/** Two publications may be lost or late; after that the owner may be gone, or the pool have room again. */
const maxSummaryAgeMs = 2_500;
const maxLogLinesPerS = 20;

export function createRefusals(options: RefusalsOptions): JobAdmission {
    const { timers } = options;
    let decoded: { revision: number; summary: LoadSummary | undefined } = { revision: 0, summary: undefined };
    let logSecond = 0;
    let logLinesCount = 0;
    let unloggedCount = 0;

    const readSummary = (mirror: StoreMirror): LoadSummary | undefined => {
        const revision = mirror.revisionOf(jobKeys.loadSummary);
        if (revision !== decoded.revision) {
            decoded = { revision, summary: undefined };
            try {
                const text = mirror.valueOf(jobKeys.loadSummary);
                decoded.summary = text === undefined ? undefined : decodeLoadSummary(text);
            }
            catch (error) {
                options.onUnreadable(jobKeys.loadSummary, String(error));
            }
        }
        return decoded.summary;
    };
    /** Returns the summary if it is recent, and of the owner that the up-to-date mirror shows. */
    const currentSummary = (): LoadSummary | undefined => {
        const mirror = options.mirror();
        const summary = readSummary(mirror);
        if (!summary || summary.pools.length === 0 || mirror.revisionOf(jobKeys.owner) !== summary.token) {
            return undefined;
        }
        const ageMs = Math.max(
            timers.nowMs() - (mirror.receivedAtMsOf(jobKeys.loadSummary) ?? Number.NEGATIVE_INFINITY),
            timers.wallClockMs() - summary.writtenWallMs,
            mirror.ageMs() ?? Number.POSITIVE_INFINITY,
        );
        return ageMs <= maxSummaryAgeMs ? summary : undefined;
    };

    return {
        decide: ({ queueName, teamName, steps, repeat }) => {
            const summary = currentSummary();
            const queue = options.policy()?.queues.get(queueName);
            const pool = queue && summary?.pools.find(each => each.poolName === queue.poolName);
            if (!summary || !queue || !pool || repeat !== undefined || steps.some(step => step.isLongRunning || step.isFiller)) {
                return undefined;
            }
            const isWithinShare = teamName === undefined || !summary.teamsBeyondShare.includes(teamName);
            const criticalPathMs = Math.max(0, ...estimateCriticalPathMs(steps));
            const late = findLateJob(
                {
                    queueName,
                    isWithinShare,
                    workMillicoreS: estimateWork(steps),
                    criticalPathMs,
                    objectiveMs: objectiveMsOf(queue, criticalPathMs),
                    firstNeeds: steps.filter(step => step.dependsOn.length === 0).map(reservedResources),
                },
                pool,
                options.random(),
            );
            return late && {
                ...late,
                cause: isWithinShare ? refusalCauses.withinShare : refusalCauses.beyondShare,
                reason: "the job could not be done in time; its queue has more work than it can serve",
                isWithinShare,
            };
        },
        onRefused: ({ jobId, queueName, teamName }, { cause, predictedEndMs, latestEndMs, retryAfterMs }, revision) => {
            options.metrics.jobsRefusedTotal.inc({ queue: queueName, cause });
            const second = Math.floor(timers.nowMs() / 1_000);
            if (second !== logSecond) {
                logSecond = second;
                logLinesCount = 0;
            }
            if (logLinesCount >= maxLogLinesPerS) {
                unloggedCount += 1;
                return;
            }
            logLinesCount += 1;
            options.logger.log(logEvents.jobRefused, {
                jobId,
                queue: queueName,
                team: teamName,
                cause,
                predictedEndMs: predictedEndMs && Math.round(predictedEndMs),
                latestEndMs: latestEndMs && Math.round(latestEndMs),
                retryAfterMs,
                revision,
                unloggedCount: unloggedCount === 0 ? undefined : unloggedCount,
            });
            unloggedCount = 0;
        },
    };
}
