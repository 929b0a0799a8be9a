/** The model's actions on workers: their tasks end, they crash or leave, and their capacity shrinks and grows. */
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { type RunEnd, runEnds } from "../../src/scheduling/schedulerState.js";
import type { FaultInjection } from "./faultInjection.js";
import { entryOf } from "./modelJob.js";
import type { ModelLimits } from "./modelLimits.js";
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

export interface WorkerActionsContext {
    workers: readonly ModelWorker[];
    owners: readonly ModelOwner[];
    /** Former incarnations of the workers whose restart the store does not show yet. */
    unnoticed: Map<string, number>;
    left: ModelLimits;
    faults: FaultInjection;
    moment(): Moment;
    stepOwner(index: number): void;
    endFirstRun(worker: ModelWorker, end: RunEnd): void;
    commands(): readonly PendingCommand[];
}

export interface WorkerActions {
    /** The worker ends and begins another incarnation. */
    crash(worker: ModelWorker): void;
    handlers: Record<"finish" | "fail" | "leave" | "crash" | "crashUnnoticed" | "notice" | "shrink" | "grow", (workerId: string) => void>;
}

export function createWorkerActions(context: WorkerActionsContext): WorkerActions {
    const { workers, owners, unnoticed, left, faults, stepOwner, endFirstRun } = context;
    const workerOf = (id: string): ModelWorker => workers.find(worker => worker.id === id)!;
    const stepOwners = (): void => owners.forEach((_, index) => stepOwner(index));
    const register = (worker: ModelWorker, informed: readonly ModelOwner[]): void =>
        informed.forEach(owner => owner.scheduler.registerWorker(entryOf(worker), context.moment()));

    /** The owners that reach the worker learn of its newest incarnation. */
    const notice = (worker: ModelWorker): void => {
        unnoticed.delete(worker.id);
        register(worker, owners.filter(owner => !owner.partitionedFrom.has(worker.id)));
        stepOwners();
    };

    const restart = (worker: ModelWorker): void => {
        worker.restart();
        worker.bornWallMs = Math.max(worker.bornWallMs, context.moment().wallMs);
    };

    /** Pending commands may still be carried out, by the next incarnation. */
    const crash = (worker: ModelWorker): void => {
        restart(worker);
        notice(worker);
    };

    const setCapacity = (worker: ModelWorker, capacity: number): void => {
        worker.capacity = capacity;
        for (const pending of context.commands().filter(each => each.command.run.workerId === worker.id)) {
            pending.isSentBeforeShrinkage = true;
        }
        if (!faults.ignoresShrinkage) {
            register(worker, owners);
        }
    };

    return {
        crash,
        handlers: {
            finish: workerId => endFirstRun(workerOf(workerId), runEnds.done),
            fail: workerId => {
                left.failures -= 1;
                endFirstRun(workerOf(workerId), runEnds.failed);
            },
            leave: workerId => {
                left.departures -= 1;
                const worker = workerOf(workerId);
                worker.restart();
                worker.leftAtMs = context.moment().nowMs;
                owners.forEach(owner => owner.scheduler.unregisterWorker(workerId));
            },
            crash: workerId => {
                left.crashes -= 1;
                crash(workerOf(workerId));
            },
            crashUnnoticed: workerId => {
                left.unnoticedCrashes -= 1;
                const worker = workerOf(workerId);
                unnoticed.set(workerId, worker.bornWallMs);
                restart(worker);
            },
            notice: workerId => notice(workerOf(workerId)),
            shrink: workerId => {
                left.shrinkages -= 1;
                setCapacity(workerOf(workerId), 0);
            },
            grow: workerId => {
                setCapacity(workerOf(workerId), 1);
                stepOwners();
            },
        },
    };
}
