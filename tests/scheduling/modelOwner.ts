/** An owner in the model, and its pending commands. */
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import type { Scheduler } from "../../src/scheduling/scheduler.js";
import type { SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import type { WorkerRecord } from "../../src/scheduling/workerRecord.js";
import type { FaultInjection } from "./faultInjection.js";
import { entryOf } from "./modelJob.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelOwner {
    token: number;
    scheduler: Scheduler;
    isProven: boolean;
    startedAtMs: number;
    lostAtMs: number | undefined;
    partitionedFrom: Set<string>;
    /** Workers whose last listing has no answer yet, or has failed: then nothing is acknowledged and no lease extended. */
    unansweredListings: Map<string, "open" | "failed">;
    /** Newest incarnation that has answered a listing which the owner sent to it and not to a former one, by worker. */
    reachedIncarnations: Map<string, number>;
}

export interface PendingCommand {
    owner: number;
    /** Fencing token with which the command was sent. */
    token: number;
    command: Extract<SchedulerCommand, { kind: "start" | "stop" }>;
    sentAtMs: number;
    /** The owner no longer waits for the response. */
    isLate: boolean;
    /** Incarnation to which the owner believed it sent the command, and by whose clock it computed the deadline. */
    bornWallMs: number;
    /** Nothing waited for the start any more, for a reason that was right at the time. */
    isSettled: boolean;
    /** The capacity of the worker has shrunk since, so that the start may bring the worker over it. */
    isSentBeforeShrinkage?: boolean;
}

/** The fencing token of a command that the owner sends to the worker now. */
export function tokenOf({ scheduler, token }: ModelOwner, workerId: string, { usesOneTokenPerTerm }: FaultInjection): number {
    return usesOneTokenPerTerm ? token : scheduler.commandToken(workerId);
}

/** The fencing token of a start that the owner sends to the worker now. */
export function startTokenOf(owner: ModelOwner, workerId: string, faults: FaultInjection): number {
    return faults.usesOneTokenPerTerm || faults.startsWithAcknowledgingToken ?
        tokenOf(owner, workerId, faults) :
        owner.scheduler.takeStartToken(workerId);
}

export function recordOf(owner: ModelOwner, workerId: string): WorkerRecord | undefined {
    return owner.scheduler.state.workers.get(workerId);
}

/** What a command or listing that the owner sends to the worker now depends on. */
export function sentWith(
    owner: ModelOwner,
    worker: ModelWorker,
    sentAtMs: number,
    faults: FaultInjection,
): Pick<PendingCommand, "token" | "sentAtMs" | "bornWallMs"> {
    const bornWallMs = recordOf(owner, worker.id)?.entry.bornWallMs ?? worker.bornWallMs;
    return { token: tokenOf(owner, worker.id, faults), sentAtMs, bornWallMs };
}

/** Registers the workers in the store, and those whose entries were deleted a short time ago. */
export function registerWorkers(
    scheduler: Scheduler,
    workers: readonly ModelWorker[],
    unnoticed: ReadonlyMap<string, number>,
    moment: Moment,
): void {
    for (const worker of workers) {
        const entry = entryOf(worker);
        scheduler.registerWorker({ ...entry, bornWallMs: unnoticed.get(worker.id) ?? entry.bornWallMs }, moment);
        if (worker.leftAtMs !== undefined) {
            scheduler.unregisterWorker(worker.id);
        }
    }
}
