/**
 * Starts for a former incarnation that reach the next one before an owner could reach it. The model leaves out those that no owner can
 * prevent: the owner had rightly ceased to wait for the start, or it is so late that any owner would have.
 */
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { runKey } from "../../src/scheduling/workerRecord.js";
import { type ModelOwner, type PendingCommand, recordOf } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

/**
 * How long after it was sent a command reaches an incarnation that no owner has reached yet, at most: nothing that an owner does bounds
 * that, and a start keeps its run for a whole lease from then on.
 */
const maxLatenessMs = 1_000;

/** Whether the worker is in an incarnation after this one, and the owner has not reached that. */
function isForUnreached(bornWallMs: number, owner: ModelOwner, worker: ModelWorker): boolean {
    return bornWallMs < worker.bornWallMs && owner.reachedIncarnations.get(worker.id) !== worker.bornWallMs;
}

/** Whether the owner waits for the start: it knows of the run, or does not know yet what runs on the worker. */
function isAwaited(owner: ModelOwner, { command: { run } }: PendingCommand): boolean {
    const record = recordOf(owner, run.workerId);
    return record !== undefined && (!record.isRunStateKnown || record.runs.has(runKey(run.taskName, run.runId)));
}

/** Whether the worker's present incarnation would refuse the start. */
function isRefused(worker: ModelWorker, { token, bornWallMs, command: { run } }: PendingCommand, isOver: boolean): boolean {
    return (isOver && bornWallMs === worker.bornWallMs) || token < worker.highestToken ||
        run.runId <= (worker.highestEndedRunIds.get(run.taskName) ?? 0);
}

/** Marks the starts for which the owner of the newest term rightly waits no longer. */
export function markSettledStarts(
    commands: readonly PendingCommand[],
    owner: ModelOwner,
    workerOf: (id: string) => ModelWorker,
    isOver: (pending: PendingCommand) => boolean,
): void {
    for (const pending of commands) {
        if (pending.command.kind !== commandKinds.start || isAwaited(owner, pending)) {
            continue;
        }
        const worker = workerOf(pending.command.run.workerId);
        const isUnreached = owner.reachedIncarnations.get(worker.id) !== worker.bornWallMs;
        pending.isSettled ||= isRefused(worker, pending, isOver(pending)) || (isUnreached && isOver(pending));
    }
}

/**
 * Whether what was sent to a former incarnation of the worker is too late to reach one that the owner of the newest term has not reached.
 */
export function isTooLate(
    { bornWallMs, sentAtMs }: { bornWallMs: number; sentAtMs: number },
    owner: ModelOwner,
    worker: ModelWorker,
    nowMs: number,
): boolean {
    return nowMs - sentAtMs > maxLatenessMs && isForUnreached(bornWallMs, owner, worker);
}

/** Whether no owner could prevent that the worker carries out the command now. */
export function isUnpreventable(pending: PendingCommand, owner: ModelOwner, worker: ModelWorker, nowMs: number): boolean {
    return pending.command.kind === commandKinds.start &&
        (isTooLate(pending, owner, worker, nowMs) || (pending.isSettled && isForUnreached(pending.bornWallMs, owner, worker)));
}
