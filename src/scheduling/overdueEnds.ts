/**
 * Finds workers with short tasks that should have ended by what their jobs say. A listing shows each end at once, unless it gets no response:
 * until it is given up, only another listing does. Each run is looked at again after its age has doubled, since tasks may also take longer.
 */
import { overdueEndAgeMs } from "../decisions/paceListings.js";
import { findStep, type SchedulerState } from "./schedulerState.js";
import { expectedDurationMs } from "./taskDurations.js";
import { type Run, runPhases } from "./workerRecord.js";

export interface OverdueEnds {
    /** Returns the workers to list now; `latenessMs` is how late the owner runs its timers. */
    takeWorkers(state: SchedulerState, nowMs: number, latenessMs: number): string[];
}

interface EndCheck {
    /** When the run started; for an adopted one, when it was first looked at. */
    sinceMs: number;
    /** When it was last looked at in vain. */
    checkedAtMs: number | undefined;
}

export function createOverdueEnds(): OverdueEnds {
    const checks = new WeakMap<Run, EndCheck>();

    const checkOf = (run: Run, nowMs: number): EndCheck => {
        const check = checks.get(run) ?? { sinceMs: run.isAdopted ? nowMs : run.startedAtMs, checkedAtMs: undefined };
        checks.set(run, check);
        return check;
    };
    const isOverdue = (state: SchedulerState, run: Run, nowMs: number, latenessMs: number): boolean => {
        const step = run.phase === runPhases.running && !run.isServing ? findStep(state, run) : undefined;
        const job = state.jobs.get(run.jobId);
        if (!step || !job) {
            return false;
        }
        const { sinceMs, checkedAtMs } = checkOf(run, nowMs);
        return nowMs - sinceMs >= (checkedAtMs === undefined ?
            overdueEndAgeMs(expectedDurationMs(state, job, step) ?? 0, latenessMs) :
            2 * (checkedAtMs - sinceMs));
    };

    return {
        takeWorkers: (state, nowMs, latenessMs) => {
            const workerIds: string[] = [];
            for (const { entry, runs, unresponsiveSinceMs } of state.workers.values()) {
                const overdue = unresponsiveSinceMs === undefined ?
                    [...runs.values()].filter(run => isOverdue(state, run, nowMs, latenessMs)) :
                    [];
                if (overdue.length > 0) {
                    workerIds.push(entry.workerId);
                    overdue.forEach(run => checkOf(run, nowMs).checkedAtMs = nowMs);
                }
            }
            return workerIds;
        },
    };
}
