/** Publishes the load of full pools to all processes, in the process that owns the scheduling. */
import { describeError } from "../common/describeError.js";
import type { TimerService } from "../common/timerService.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import type { SchedulingOwnership } from "../process/schedulingOwnership.js";
import type { StoreMirror } from "../process/storeMirror.js";
import { createTermWriter } from "../process/termWriter.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { findTeamsBeyondShare, type FullPools } from "./fullPools.js";
import { encodeLoadSummary, type LoadSummary } from "./loadSummary.js";

export interface SummaryPublisherOptions {
    store: PlatformStore;
    mirror(): StoreMirror;
    ownership(): Pick<SchedulingOwnership, "token" | "isLeaseValid">;
    timers: TimerService;
    logger: Logger;
}

const evaluateIntervalMs = 500;
/** A summary is repeated while it holds, before processes take it for outdated. A withdrawal is not delayed. */
const publishIntervalMs = 1_000;

/** Publishes for one term, until `signal` aborts. */
export function startPublishing(options: SummaryPublisherOptions, scheduler: Scheduler, fullPools: FullPools, signal: AbortSignal): void {
    const { timers, logger } = options;
    const writer = createTermWriter({
        store: options.store,
        termRevision: () => signal.aborted ? undefined : options.ownership().token(),
        revisionOf: key => options.mirror().revisionOf(key),
    });
    let isWriting = false;
    let writtenAtMs = Number.NEGATIVE_INFINITY;
    /** Whether other processes may have a summary of this term by which they refuse jobs. */
    let mayRefuse = false;

    const logChange = (summary: LoadSummary): void =>
        logger.log(summary.pools.length > 0 ? logEvents.loadSheddingStarted : logEvents.loadSheddingEnded, {
            pools: summary.pools.map(({ poolName, lateStarts }) =>
                `${poolName}: ${
                    lateStarts.map(each =>
                        `${each.queueName} ${each.isWithinShare ? "within" : "beyond"} share above ${
                            Math.round(each.aboveWorkMillicoreS / 1_000)
                        } core-s in ${(each.startMs / 1_000).toFixed(1)} s`
                    ).join(", ")
                }`
            ),
            teamsBeyondShare: summary.teamsBeyondShare,
        });
    const publish = async (summary: LoadSummary): Promise<void> => {
        const isEmpty = summary.pools.length === 0;
        const isChange = mayRefuse === isEmpty;
        isWriting = true;
        writtenAtMs = timers.nowMs();
        // A write without a response may have been applied.
        mayRefuse ||= !isEmpty;
        const failure = await writer.write(jobKeys.loadSummary, encodeLoadSummary(summary));
        isWriting = false;
        if (failure !== undefined) {
            logger.log(logEvents.loadSummaryWriteFailed, { reason: failure });
            return;
        }
        mayRefuse = !isEmpty;
        if (isChange) {
            logChange(summary);
        }
    };
    const evaluate = (): void => {
        const token = options.ownership().token();
        if (token === undefined || token !== scheduler.state.term.token || !options.ownership().isLeaseValid()) {
            return;
        }
        const moment = { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() };
        const pools = fullPools.find(scheduler.state, moment);
        const isDue = pools.length > 0 ? moment.nowMs - writtenAtMs >= publishIntervalMs : mayRefuse;
        if (isDue && !isWriting) {
            const teamsBeyondShare = pools.length > 0 ? findTeamsBeyondShare(scheduler.state, moment.wallMs) : [];
            void publish({ token, writtenWallMs: moment.wallMs, pools, teamsBeyondShare });
        }
    };
    timers.every(evaluateIntervalMs, signal, () => {
        try {
            evaluate();
        }
        catch (error) {
            logger.log(logEvents.unexpectedError, { where: "prediction of starts", error: describeError(error) });
        }
    });
}
