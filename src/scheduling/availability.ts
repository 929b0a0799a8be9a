/** Disruption budgets of long-running steps: how many of a step's tasks may be stopped now without exceeding `maxUnavailable`. */
import { isFinalState, type StepRecord, stepsOf } from "./jobRecord.js";
import type { StepSpec } from "./jobTypes.js";
import { findStep, type SchedulerState } from "./schedulerState.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

const fullSpeedPercent = 100;

export function stepKey(place: { jobId: string; occurrence: number; stepIndex: number }): string {
    return `${place.jobId}.${place.occurrence}.${place.stepIndex}`;
}

/** Whether the run may be stopping on a command of an earlier owner: the worker lists it as running until it has stopped. */
function mayBeStopping(state: SchedulerState, run: Run, worker: WorkerRecord): boolean {
    const listedSinceFencedMs = (worker.lastResponseAtMs ?? 0) - (worker.fencedSinceMs ?? Number.POSITIVE_INFINITY);
    return run.isAdopted && listedSinceFencedMs < state.taskStopMs;
}

function isAvailable(state: SchedulerState, run: Run): boolean {
    const worker = state.workers.get(run.workerId);
    return worker !== undefined && run.phase === runPhases.running && run.percent >= fullSpeedPercent && !worker.isVmStopping &&
        worker.unresponsiveSinceMs === undefined && !mayBeStopping(state, run, worker);
}

/** Counts the tasks of the step that were available when their workers were last listed. */
function countAvailable(state: SchedulerState, step: StepRecord): number {
    return [...step.runs.values()].filter(runs => runs.some(run => isAvailable(state, run))).length;
}

/** How many tasks of a step the scheduler may make unavailable; 0 if the step does not limit it. */
function disruptionBudget(spec: StepSpec): number {
    return spec.isLongRunning ? spec.maxUnavailable ?? 0 : 0;
}

/** For each long-running step with a disruption budget: how many of its tasks may be stopped now. */
export function allowedDisruptionsByStep(state: SchedulerState): Map<string, number> {
    const allowedCounts = new Map<string, number>();
    for (const job of state.jobs.values()) {
        if (isFinalState(job.state)) {
            continue;
        }
        for (const step of stepsOf(job)) {
            const budget = disruptionBudget(step.spec);
            if (budget > 0) {
                const unavailableCount = step.spec.taskCount - countAvailable(state, step);
                const key = stepKey({ jobId: job.jobId, occurrence: step.occurrence, stepIndex: step.index });
                allowedCounts.set(key, Math.max(0, budget - unavailableCount));
            }
        }
    }
    return allowedCounts;
}

/** Counts the worker's long-running tasks that have a disruption budget, by step. */
export function disruptionLimitedTasksByStep(state: SchedulerState, worker: WorkerRecord): Map<string, number> {
    const counts = new Map<string, number>();
    for (const run of worker.runs.values()) {
        const step = findStep(state, run);
        if (step && disruptionBudget(step.spec) > 0) {
            const key = stepKey(run);
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return counts;
}

/** Workers with a serving task that has not reached full speed; they should be listed again soon to see when it does. */
export function workersWithUnreadyTasks(state: SchedulerState): string[] {
    const workers = new Set<string>();
    for (const worker of state.workers.values()) {
        for (const run of worker.runs.values()) {
            if (run.isServing && run.phase === runPhases.running && run.percent < fullSpeedPercent) {
                workers.add(worker.entry.workerId);
            }
        }
    }
    return [...workers];
}
