/** How many tasks of a long-running step may be made unavailable now. */
import { isFinalState, type StepRecord, stepsOf } from "./jobRecord.js";
import type { StepSpec } from "./jobTypes.js";
import { findStep, type SchedulerState } from "./schedulerState.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

const atWorkPercent = 100;

export function stepKey(place: { jobId: string; occurrence: number; stepIndex: number }): string {
    return `${place.jobId}.${place.occurrence}.${place.stepIndex}`;
}

/** Whether an earlier owner's order to stop the run may be under way: it shows as running until it has stopped. */
function mayBeStopping(state: SchedulerState, run: Run, worker: WorkerRecord): boolean {
    const listedSinceFencedMs = (worker.lastResponseAtMs ?? 0) - (worker.fencedSinceMs ?? Number.POSITIVE_INFINITY);
    return run.isAdopted && listedSinceFencedMs < state.taskStopMs;
}

function isAtWork(state: SchedulerState, run: Run): boolean {
    const worker = state.workers.get(run.workerId);
    return worker !== undefined && run.phase === runPhases.running && run.percent >= atWorkPercent && !worker.isVmStopping &&
        worker.unresponsiveSinceMs === undefined && !mayBeStopping(state, run, worker);
}

/** Tasks of the step that are at work now, as last listed. */
function countAtWork(state: SchedulerState, step: StepRecord): number {
    return [...step.runs.values()].filter(runs => runs.some(run => isAtWork(state, run))).length;
}

/** How many tasks of a step may be unavailable by the scheduler's doing; 0 where the step does not limit that. */
function maximumAway(spec: StepSpec): number {
    return spec.isLongRunning ? spec.maxUnavailable ?? 0 : 0;
}

/** For each long-running step that limits absences: how many of its tasks may be ended now. */
export function allowedDisruptionsByStep(state: SchedulerState): Map<string, number> {
    const spare = new Map<string, number>();
    for (const job of state.jobs.values()) {
        if (isFinalState(job.state)) {
            continue;
        }
        for (const step of stepsOf(job)) {
            const maximum = maximumAway(step.spec);
            if (maximum > 0) {
                const awayCount = step.spec.taskCount - countAtWork(state, step);
                const key = stepKey({ jobId: job.jobId, occurrence: step.occurrence, stepIndex: step.index });
                spare.set(key, Math.max(0, maximum - awayCount));
            }
        }
    }
    return spare;
}

/** Long-running tasks on the worker that limit absences, by step. */
export function disruptionLimitedTasksByStep(state: SchedulerState, worker: WorkerRecord): Map<string, number> {
    const counts = new Map<string, number>();
    for (const run of worker.runs.values()) {
        const step = findStep(state, run);
        if (step && maximumAway(step.spec) > 0) {
            const key = stepKey(run);
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return counts;
}

/** Whether a long-running task waits to be seen at work, so that its worker should be asked again soon. */
export function workersWithUnreadyTasks(state: SchedulerState): string[] {
    const workers = new Set<string>();
    for (const worker of state.workers.values()) {
        for (const run of worker.runs.values()) {
            if (run.isServing && run.phase === runPhases.running && run.percent < atWorkPercent) {
                workers.add(worker.entry.workerId);
            }
        }
    }
    return [...workers];
}
