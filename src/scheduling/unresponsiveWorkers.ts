/**
 * Stored snapshots of unresponsive workers, with the runs that may exist on them, and those whose ends only this owner has. The owner
 * starts nothing on such a worker and extends no lease on it until its snapshot is removed. The next owner therefore knows from the snapshot
 * which tasks to wait for, and until when, and does not have to hold back all others.
 */
import { ageAtLastContactMs } from "./crashSuspect.js";
import { failedRunIdsOf, isFinalState, type StepRecord } from "./jobRecord.js";
import { markRunsKnown } from "./knownRuns.js";
import { allLeasesEndAtMs } from "./leases.js";
import type { Moment } from "./reconcileListing.js";
import { runNeeds } from "./runNeeds.js";
import { attachRun, commandKinds, findStep, type SchedulerState } from "./schedulerState.js";
import { parseTaskName } from "./taskNames.js";
import { crashSuspects, recordCrash } from "./workerCrashes.js";
import {
    createRun,
    createWorkerRecord,
    type Run,
    runPhases,
    type WorkerEntry,
    type WorkerRecord,
} from "./workerRecord.js";

/** What the store holds of an unresponsive worker. */
export interface WorkerSnapshot {
    entry: WorkerEntry;
    /**
     * Task names, run ids, the runs' ages in milliseconds when the worker was last in touch, and whether it had listed them. Missing ages
     * are unknown; a run that it had not listed may run on a later incarnation.
     */
    runs: (readonly [string, number, number?, boolean?])[];
    /** How long after the snapshot was taken the leases of the runs may last; no lease is extended until the snapshot is removed. */
    leaseLeftMs: number;
}

export const snapshotStates = {
    none: "none",
    /** The snapshot is being written or removed; until that is done, the store may hold it. */
    changing: "changing",
    written: "written",
} as const;
export type SnapshotState = (typeof snapshotStates)[keyof typeof snapshotStates];

export function encodeSnapshot(snapshot: WorkerSnapshot): string {
    return JSON.stringify(snapshot);
}

function createSnapshot(worker: WorkerRecord, nowMs: number): WorkerSnapshot {
    const sent = [...worker.runs.values()].filter(run => run.phase !== runPhases.planned);
    const isAllListed = sent.every(run => run.isStartConfirmed);
    // An end of the worker that was ordered must not count as a crash under the next owner either.
    const ageMs = (run: Run): number | undefined =>
        worker.isVmStopping ? undefined : Math.max(0, Math.round(ageAtLastContactMs(worker, run)));
    // The next owner takes these for runs until the worker has listed their ends to it.
    const ended = worker.unsavedEnds.flatMap(({ decisiveRun }) => decisiveRun ? [decisiveRun] : []);
    return {
        entry: worker.entry,
        runs: [
            ...sent.map(run => [run.taskName, run.runId, ageMs(run), run.isStartConfirmed] as const),
            ...ended.map(({ taskName, runId }) => [taskName, runId, undefined, true] as const),
        ],
        leaseLeftMs: Math.max(0, Math.ceil((isAllListed ? worker.leaseEndsAtMs : allLeasesEndAtMs(worker)) - nowMs)),
    };
}

/** The worker did not respond; nothing is expected of one that has ended. */
export function markUnresponsive(worker: WorkerRecord, nowMs: number): void {
    if (!worker.hasEnded) {
        worker.unresponsiveSinceMs ??= nowMs;
    }
}

/** A call to the worker got no response. */
export function reportUnresponsive(
    state: SchedulerState,
    worker: WorkerRecord,
    nowMs: number,
    reason: string,
    isDisconnected: boolean,
): void {
    if (worker.unresponsiveSinceMs === undefined && !worker.hasEnded) {
        const detail = `${worker.runs.size} runs`;
        state.onDecision({ what: "worker unresponsive", workerId: worker.entry.workerId, reason, detail });
    }
    // Calls without any response show that the worker may be cut off rather than gone.
    worker.disconnectedAtMs = isDisconnected ? worker.disconnectedAtMs ?? nowMs : undefined;
    markUnresponsive(worker, nowMs);
}

/** Requests snapshots of workers that became unresponsive, and the removal of those of workers that respond again. */
export function updateSnapshots(state: SchedulerState, nowMs: number): void {
    for (const worker of state.workers.values()) {
        const isUnresponsive = worker.unresponsiveSinceMs !== undefined;
        const needsSnapshot = isUnresponsive && worker.snapshotState === snapshotStates.none && worker.isRunStateKnown;
        if (needsSnapshot && ![...worker.runs.values()].some(run => run.phase === runPhases.starting)) {
            worker.snapshotState = snapshotStates.changing;
            const { workerId } = worker.entry;
            const snapshot = createSnapshot(worker, nowMs);
            state.commands.push({ kind: commandKinds.writeSnapshot, workerId, snapshot });
            const detail =
                `${snapshot.runs.length} runs, ${worker.unsavedEnds.length} ends not stored yet, leases for ${snapshot.leaseLeftMs} ms`;
            state.onDecision({ what: "snapshot", workerId, detail });
        }
        else if (!isUnresponsive && worker.snapshotState === snapshotStates.written) {
            worker.snapshotState = snapshotStates.changing;
            state.commands.push({ kind: commandKinds.removeSnapshot, workerId: worker.entry.workerId });
        }
    }
}

/** The snapshot was written or removed, or its write must be retried. */
export function changeSnapshotState(state: SchedulerState, workerId: string, snapshotState: SnapshotState): void {
    const worker = state.workers.get(workerId);
    if (worker) {
        worker.snapshotState = snapshotState;
        if (snapshotState === snapshotStates.none) {
            // The leases may be extended again.
            state.commands.push({ kind: commandKinds.list, workerId });
        }
    }
    else if (snapshotState === snapshotStates.none) {
        state.departedSnapshots.delete(workerId);
    }
    else if (state.departedSnapshots.has(workerId)) {
        state.commands.push({ kind: commandKinds.removeSnapshot, workerId });
    }
}

/** The runs of a snapshot that may have been running when the worker was last in touch, and the steps that still need them. */
function snapshotRuns(state: SchedulerState, snapshot: WorkerSnapshot, lastContactAtMs: number): { run: Run; step: StepRecord }[] {
    return snapshot.runs.flatMap(([taskName, runId, ageMs, isListed = true]) => {
        const task = parseTaskName(taskName);
        const step = task && findStep(state, task);
        const job = task && state.jobs.get(task.jobId);
        if (!task || !step || !job || isFinalState(job.state) || step.done.has(task.taskIndex)) {
            return [];
        }
        if (failedRunIdsOf(step, task.taskIndex).includes(runId)) {
            return [];
        }
        const run: Run = {
            ...createRun(
                { ...task, taskName, runId, workerId: snapshot.entry.workerId },
                runNeeds(job, step, task.taskIndex),
                lastContactAtMs,
            ),
            sentToBornWallMs: snapshot.entry.bornWallMs,
            startedAtMs: lastContactAtMs - (ageMs ?? Number.POSITIVE_INFINITY),
            phase: runPhases.running,
            isPresumed: true,
            isStartConfirmed: isListed,
            respondedAtMs: lastContactAtMs,
        };
        return [{ run, step }];
    });
}

/** Treats the runs in a worker's snapshot as running until the worker responds or their leases have ended. */
export function adoptSnapshot(
    state: SchedulerState,
    worker: WorkerRecord,
    snapshot: WorkerSnapshot,
    receivedAtMs: number,
    nowMs: number,
): void {
    worker.leaseEndsAtMs = receivedAtMs + snapshot.leaseLeftMs;
    worker.strayLeasesEndAtMs = worker.leaseEndsAtMs;
    worker.snapshotState = snapshotStates.written;
    worker.unresponsiveSinceMs = nowMs;
    worker.lastContactAtMs = nowMs;
    markRunsKnown(state, worker, "snapshot");
    snapshotRuns(state, snapshot, nowMs).forEach(({ run, step }) => attachRun(state, worker, step, run));
}

/** Counts the crash of a worker that an earlier owner took for unresponsive and that has restarted since. */
export function recordSnapshotCrash(state: SchedulerState, snapshot: WorkerSnapshot, moment: Moment): void {
    const { nowMs } = moment;
    const ended = { ...createWorkerRecord(snapshot.entry, nowMs), lastContactAtMs: nowMs };
    const suspects = crashSuspects(ended, snapshotRuns(state, snapshot, nowMs).map(({ run }) => run), nowMs);
    recordCrash(state, suspects, "the worker has restarted since an earlier owner stored its snapshot", moment);
}
