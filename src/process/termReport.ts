/** What the log tells of a term when its scheduler starts and ends: what it knows of earlier owners' work, and what it leaves to the next one. */
import { isFinalState } from "../scheduling/jobRecord.js";
import { isHeldBack } from "../scheduling/plannedStarts.js";
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { snapshotStates } from "../scheduling/unresponsiveWorkers.js";
import type { LogFields } from "./logger.js";

/** As many jobs or workers are named. */
const maxNamed = 20;

/** Call it before any worker has responded. */
export function describeTermStart(state: SchedulerState, mirrorRevision: number, nowMs: number): LogFields {
    const { token, unknownWorkersUntilMs } = state.term;
    const jobs = [...state.jobs.values()].filter(job => !isFinalState(job.state));
    const workers = [...state.workers.values()];
    const snapshotWorkers = workers.filter(({ snapshotState }) => snapshotState !== snapshotStates.none);
    return {
        token,
        mirrorRevision,
        jobsCount: jobs.length,
        heldBackJobsCount: jobs.filter(job => isHeldBack(state, job, nowMs)).length,
        workersCount: workers.length,
        snapshotsCount: snapshotWorkers.length,
        snapshotWorkerIds: snapshotWorkers.slice(0, maxNamed).map(({ entry }) => entry.workerId),
        unknownWorkersEndInMs: Math.round(unknownWorkersUntilMs - nowMs),
    };
}

export function describeTermEnd(state: SchedulerState): LogFields {
    const workers = [...state.workers.values()];
    const unsavedEnds = workers.flatMap(worker => worker.unsavedEnds);
    const jobIds = [...new Set(unsavedEnds.map(({ jobId }) => jobId))];
    return {
        token: state.term.token,
        unsavedEndsCount: unsavedEnds.length,
        unsavedEndJobIds: jobIds.slice(0, maxNamed),
        snapshotsCount: workers.filter(({ snapshotState }) => snapshotState !== snapshotStates.none).length,
    };
}
