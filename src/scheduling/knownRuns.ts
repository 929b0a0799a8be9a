/** Whether the present owner knows which runs a worker has; until then, jobs that may run there start nothing. */
import type { SchedulerState } from "./schedulerState.js";
import type { WorkerRecord } from "./workerRecord.js";

export function areRunsKnown(state: SchedulerState, workerId: string, nowMs: number): boolean {
    const worker = state.workers.get(workerId);
    return worker?.isRunStateKnown ?? (state.departedWorkers.has(workerId) || nowMs >= state.term.unknownWorkersUntilMs);
}

/** From now on the worker's runs are known; the reason says from what. */
export function markRunsKnown(state: SchedulerState, worker: WorkerRecord, reason: string): void {
    if (!worker.isRunStateKnown) {
        worker.isRunStateKnown = true;
        state.onDecision({ what: "runs known", workerId: worker.entry.workerId, reason });
    }
}
