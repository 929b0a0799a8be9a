/** Lists the actions that are possible in a state of the model. */
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelState {
    nowMs: number;
    pendingCommands: readonly PendingCommand[];
    owners: readonly ModelOwner[];
    workers: readonly ModelWorker[];
    /** How long an owner that lost the ownership goes on sending commands. */
    ownershipGracePeriodMs: number;
    crashesLeft: number;
    lossesLeft: number;
    unansweredSavesLeft: number;
    partitionsLeft: number;
}

export function possibleActions(state: ModelState): string[] {
    const {
        nowMs,
        pendingCommands,
        owners,
        workers,
        ownershipGracePeriodMs,
        crashesLeft,
        lossesLeft,
        unansweredSavesLeft,
        partitionsLeft,
    } = state;
    const actions: string[] = ["tick"];
    pendingCommands.forEach((pending, index) => {
        const isPartitioned = owners[pending.owner]!.partitionedFrom.has(pending.command.run.workerId);
        if (pending.isLate) {
            actions.push(`late ${index}`);
        }
        else if (!isPartitioned) {
            actions.push(`deliver ${index}`, ...(lossesLeft > 0 ? [`loseResponse ${index}`] : []));
        }
    });
    owners.forEach((owner, index) => {
        const maySendCommands = owner.lostAtMs === undefined || nowMs - owner.lostAtMs < ownershipGracePeriodMs;
        for (const worker of workers) {
            if (maySendCommands && !owner.partitionedFrom.has(worker.id)) {
                actions.push(`list ${index} ${worker.id}`);
            }
            if (partitionsLeft > 0) {
                actions.push(`partition ${index} ${worker.id}`);
            }
        }
        if (owner.scheduler.state.unsavedJobs.size > 0) {
            actions.push(`save ${index}`, ...(unansweredSavesLeft > 0 ? [`saveUnanswered ${index}`] : []));
        }
    });
    for (const worker of workers) {
        actions.push(
            ...(worker.running.size > 0 ? [`finish ${worker.id}`] : []),
            ...(crashesLeft > 0 ? [`crash ${worker.id}`] : []),
        );
    }
    return owners.length === 1 ? [...actions, "takeOver"] : actions;
}
