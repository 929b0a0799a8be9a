/**
 * Stored snapshots of unresponsive workers, with the runs that may exist on them. The owner starts nothing on such a worker
 * and extends no lease on it until its snapshot is removed. The next owner therefore knows from the snapshot which tasks to wait for,
 * and until when, and does not have to hold back all others.
 */
import { isFinalState } from "./jobRecord.js";
import { attachRun, commandKinds, findStep, runNeeds, type SchedulerState } from "./schedulerState.js";
import { createRun, parseTaskName, type Run, runPhases, type WorkerEntry, type WorkerRecord } from "./workerRecord.js";

/** What the store holds of an unresponsive worker. */
export interface WorkerSnapshot {
    entry: WorkerEntry;
    /** Task names and run ids. */
    runs: (readonly [string, number])[];
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

export function decodeSnapshot(text: string): WorkerSnapshot {
    const value = JSON.parse(text) as WorkerSnapshot;
    if (!Number.isFinite(value.leaseLeftMs)) {
        throw new Error(`stored snapshot does not tell how long leases last: ${text.slice(0, 80)}`);
    }
    return value;
}

function createSnapshot(worker: WorkerRecord, nowMs: number): WorkerSnapshot {
    const sent = [...worker.runs.values()].filter(run => run.phase !== runPhases.planned);
    return {
        entry: worker.entry,
        runs: sent.map(run => [run.taskName, run.runId] as const),
        leaseLeftMs: Math.max(0, Math.ceil(worker.leaseEndsAtMs - nowMs)),
    };
}

/** Requests snapshots of workers that became unresponsive, and the removal of those of workers that respond again. */
export function updateSnapshots(state: SchedulerState, nowMs: number): void {
    for (const worker of state.workers.values()) {
        const isUnresponsive = worker.unresponsiveSinceMs !== undefined;
        const needsSnapshot = isUnresponsive && worker.snapshotState === snapshotStates.none && worker.isRunStateKnown;
        if (needsSnapshot && ![...worker.runs.values()].some(run => run.phase === runPhases.starting)) {
            worker.snapshotState = snapshotStates.changing;
            state.commands.push({
                kind: commandKinds.writeSnapshot,
                workerId: worker.entry.workerId,
                snapshot: createSnapshot(worker, nowMs),
            });
        }
        else if (!isUnresponsive && worker.snapshotState === snapshotStates.written) {
            worker.snapshotState = snapshotStates.changing;
            state.commands.push({ kind: commandKinds.removeSnapshot, workerId: worker.entry.workerId });
        }
    }
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
    worker.snapshotState = snapshotStates.written;
    worker.unresponsiveSinceMs = nowMs;
    worker.isRunStateKnown = true;
    for (const [taskName, runId] of snapshot.runs) {
        const task = parseTaskName(taskName);
        const step = task && findStep(state, task);
        const job = task && state.jobs.get(task.jobId);
        if (!task || !step || !job || isFinalState(job.state) || step.done.has(task.taskIndex)) {
            continue;
        }
        const run: Run = {
            ...createRun({ ...task, taskName, runId, workerId: worker.entry.workerId }, runNeeds(job, step), nowMs),
            phase: runPhases.running,
            isPresumed: true,
            isStartConfirmed: true,
            respondedAtMs: nowMs,
        };
        attachRun(state, worker, step, run);
    }
}
