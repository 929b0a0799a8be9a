/** An owner in the model, and its pending commands. */
import type { Scheduler } from "../../src/scheduling/scheduler.js";
import type { SchedulerCommand } from "../../src/scheduling/schedulerState.js";

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
    command: Extract<SchedulerCommand, { kind: "start" | "stop" }>;
    sentAtMs: number;
    /** The owner no longer waits for the response. */
    isLate: boolean;
}
