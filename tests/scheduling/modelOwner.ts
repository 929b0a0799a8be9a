/** An owner in the model, and its pending commands. */
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import type { Scheduler } from "../../src/scheduling/scheduler.js";
import type { SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { entryOf } from "./modelJob.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelOwner {
    token: number;
    scheduler: Scheduler;
    isProven: boolean;
    startedAtMs: number;
    lostAtMs: number | undefined;
    partitionedFrom: Set<string>;
}

export interface PendingCommand {
    owner: number;
    /** Token of the term in which the command was sent. */
    token: number;
    command: Extract<SchedulerCommand, { kind: "start" | "stop" }>;
    sentAtMs: number;
    /** The owner no longer waits for the response. */
    isLate: boolean;
    /** The capacity of the worker has shrunk since, so that the start may bring the worker over it. */
    isSentBeforeShrinkage?: boolean;
}

/** Registers the workers in the store, and those whose entries were deleted a short time ago. */
export function registerWorkers(scheduler: Scheduler, workers: readonly ModelWorker[], moment: Moment): void {
    for (const worker of workers) {
        scheduler.registerWorker(entryOf(worker), moment);
        if (worker.leftAtMs !== undefined) {
            scheduler.unregisterWorker(worker.id);
        }
    }
}
