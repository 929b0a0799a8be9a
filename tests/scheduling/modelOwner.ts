/** An owner of the model, and its orders that are under way. */
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

export interface OpenOrder {
    owner: number;
    command: Extract<SchedulerCommand, { kind: "start" | "stop" }>;
    sentAtMs: number;
    /** The owner has given up waiting for the answer. */
    isLate: boolean;
}
