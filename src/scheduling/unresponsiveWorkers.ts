/**
 * Workers that fell silent, written down with what may run on them. The owner starts nothing on such a worker before the
 * note is removed, so that the next owner knows from the note which tasks to wait for, and need not hold back all others.
 */
import { isFinalState } from "./jobRecord.js";
import { attachRun, commandKinds, findStep, runNeeds, type SchedulerState } from "./schedulerState.js";
import { createRun, parseTaskName, type Run, runPhases, type WorkerEntry, type WorkerRecord } from "./workerRecord.js";

/** What is written of a silent worker. */
export interface WorkerSnapshot {
    entry: WorkerEntry;
    /** Task names and run ids. */
    runs: (readonly [string, number])[];
}

export const snapshotStates = {
    none: "none",
    /** The note is being written, or removed; until then it may stand in the store. */
    changing: "changing",
    written: "written",
} as const;
export type SnapshotState = (typeof snapshotStates)[keyof typeof snapshotStates];

export function encodeSnapshot(note: WorkerSnapshot): string {
    return JSON.stringify(note);
}

export function decodeSnapshot(text: string): WorkerSnapshot {
    return JSON.parse(text) as WorkerSnapshot;
}

function noteOf(worker: WorkerRecord): WorkerSnapshot {
    const sent = [...worker.runs.values()].filter(run => run.phase !== runPhases.planned);
    return { entry: worker.entry, runs: sent.map(run => [run.taskName, run.runId] as const) };
}

/** Asks for notes of workers that fell silent, and for the removal of notes of those that answer again. */
export function updateSnapshots(state: SchedulerState): void {
    for (const worker of state.workers.values()) {
        const isSilent = worker.unresponsiveSinceMs !== undefined;
        const hasOpenStarts = [...worker.runs.values()].some(run => run.phase === runPhases.starting);
        if (isSilent && worker.snapshotState === snapshotStates.none && worker.isRunStateKnown && !hasOpenStarts) {
            worker.snapshotState = snapshotStates.changing;
            state.commands.push({ kind: commandKinds.writeSnapshot, workerId: worker.entry.workerId, snapshot: noteOf(worker) });
        }
        else if (!isSilent && worker.snapshotState === snapshotStates.written) {
            worker.snapshotState = snapshotStates.changing;
            state.commands.push({ kind: commandKinds.removeSnapshot, workerId: worker.entry.workerId });
        }
    }
}

/** Takes the runs of a noted worker as running until it answers or its lease has ended. */
export function adoptSnapshot(state: SchedulerState, worker: WorkerRecord, note: WorkerSnapshot, nowMs: number): void {
    worker.snapshotState = snapshotStates.written;
    worker.unresponsiveSinceMs = nowMs;
    worker.isRunStateKnown = true;
    for (const [taskName, runId] of note.runs) {
        const place = parseTaskName(taskName);
        const step = place && findStep(state, place);
        const job = place && state.jobs.get(place.jobId);
        if (!place || !step || !job || isFinalState(job.state) || step.done.has(place.taskIndex)) {
            continue;
        }
        const run: Run = {
            ...createRun({ ...place, taskName, runId, workerId: worker.entry.workerId }, runNeeds(job, step), nowMs),
            phase: runPhases.running,
            isPresumed: true,
            isStartConfirmed: true,
            respondedAtMs: nowMs,
        };
        attachRun(state, worker, step, run);
    }
}
