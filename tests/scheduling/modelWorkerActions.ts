/** The model's actions on workers: their tasks end, they crash or leave, and their capacity shrinks and grows. */
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { type RunEnd, runEnds } from "../../src/scheduling/schedulerState.js";
import type { FaultInjection } from "./faultInjection.js";
import { entryOf } from "./modelJob.js";
import type { ModelLimits } from "./modelLimits.js";
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import type { ModelStore } from "./modelStore.js";
import type { ModelWorker } from "./modelWorker.js";

export interface WorkerActionsContext {
    workers: readonly ModelWorker[];
    owners: readonly ModelOwner[];
    store: ModelStore;
    left: ModelLimits;
    faults: FaultInjection;
    moment(): Moment;
    stepOwner(index: number): void;
    endFirstRun(worker: ModelWorker, end: RunEnd): void;
    commands(): readonly PendingCommand[];
    setCommands(commands: PendingCommand[]): void;
}

export interface WorkerActions {
    /** The worker ends and begins another incarnation. */
    crash(worker: ModelWorker): void;
    handlers: Record<"finish" | "fail" | "leave" | "crash" | "shrink" | "grow", (workerId: string) => void>;
}

export function createWorkerActions(context: WorkerActionsContext): WorkerActions {
    const { workers, owners, store, left, faults, stepOwner, endFirstRun } = context;
    const workerOf = (id: string): ModelWorker => workers.find(worker => worker.id === id)!;
    const stepOwners = (): void => owners.forEach((_, index) => stepOwner(index));
    const register = (worker: ModelWorker, informed: readonly ModelOwner[]): void =>
        informed.forEach(owner => owner.scheduler.registerWorker(entryOf(worker), context.moment()));

    const crash = (worker: ModelWorker): void => {
        worker.restart();
        // Pending commands end with the connections to the old incarnation. Only the current owner, while it still waits for
        // the response, may reach the new incarnation with a command that waited for a connection.
        context.setCommands(
            context.commands().filter(pending =>
                pending.command.run.workerId !== worker.id || (!pending.isLate && owners[pending.owner]!.token === store.highestTerm)
            ),
        );
        register(worker, owners.filter(owner => !owner.partitionedFrom.has(worker.id)));
        stepOwners();
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
