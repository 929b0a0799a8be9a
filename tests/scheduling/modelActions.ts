/** Lists the actions that are possible in a state of the model. */
import type { ModelLimits } from "./modelLimits.js";
import type { PendingListing } from "./modelListings.js";
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import type { PendingSave } from "./modelStore.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelState {
    nowMs: number;
    pendingCommands: readonly PendingCommand[];
    /** Whether no owner could prevent that the start is carried out now. */
    isUnpreventable(pending: PendingCommand): boolean;
    /** Listings without an answer. */
    pendingListings: readonly PendingListing[];
    mayCarryOut(listing: PendingListing): boolean;
    /** Workers whose restart the store does not show yet. */
    unnoticed: ReadonlyMap<string, number>;
    owners: readonly ModelOwner[];
    workers: readonly ModelWorker[];
    /** How long an owner that lost the ownership goes on sending commands. */
    ownershipGracePeriodMs: number;
    /** How often each event may still happen. */
    left: ModelLimits;
    pendingSaves: readonly PendingSave[];
}

export function possibleActions(state: ModelState): string[] {
    const { nowMs, pendingCommands, owners, workers, ownershipGracePeriodMs, left, unnoticed } = state;
    const actions: string[] = ["tick"];
    pendingCommands.forEach((pending, index) => {
        const isPartitioned = owners[pending.owner]!.partitionedFrom.has(pending.command.run.workerId);
        const hasLeft = workers.some(worker => worker.id === pending.command.run.workerId && worker.leftAtMs !== undefined);
        if (hasLeft || state.isUnpreventable(pending)) {
            return;
        }
        if (pending.isLate) {
            actions.push(`late ${index}`);
        }
        else if (!isPartitioned) {
            actions.push(`deliver ${index}`, ...(left.losses > 0 ? [`loseResponse ${index}`] : []));
        }
    });
    state.pendingListings.forEach((listing, index) => {
        actions.push(
            ...(state.mayCarryOut(listing) ? [`lateListing ${index}`] : []),
        );
    });
    const present = workers.filter(worker => worker.leftAtMs === undefined);
    owners.forEach((owner, index) => {
        const maySendCommands = owner.lostAtMs === undefined || nowMs - owner.lostAtMs < ownershipGracePeriodMs;
        for (const worker of present) {
            if (maySendCommands && !owner.partitionedFrom.has(worker.id)) {
                actions.push(`list ${index} ${worker.id}`);
                actions.push(...(left.unansweredListings > 0 ? [`listUnanswered ${index} ${worker.id}`] : []));
            }
            if (left.partitions > 0) {
                actions.push(`partition ${index} ${worker.id}`);
            }
        }
        if (owner.scheduler.state.unsavedJobs.size > 0) {
            actions.push(`save ${index}`, ...(left.unansweredSaves > 0 ? [`saveUnanswered ${index}`] : []));
            actions.push(...(left.slowSaves > 0 ? [`sendSave ${index}`] : []));
        }
    });
    for (const worker of present) {
        actions.push(
            ...(worker.running.size > 0 ? [`finish ${worker.id}`, ...(left.failures > 0 ? [`fail ${worker.id}`] : [])] : []),
            ...(left.crashes > 0 && !unnoticed.has(worker.id) ? [`crash ${worker.id}`] : []),
            ...(left.unnoticedCrashes > 0 && !unnoticed.has(worker.id) ? [`crashUnnoticed ${worker.id}`] : []),
            ...(unnoticed.has(worker.id) ? [`notice ${worker.id}`] : []),
            ...(left.shrinkages > 0 && worker.capacity > 0 ? [`shrink ${worker.id}`] : []),
            ...(worker.capacity === 0 ? [`grow ${worker.id}`] : []),
        );
    }
    if (left.departures > 0 && present.length > 1) {
        actions.push(...present.map(worker => `leave ${worker.id}`));
    }
    state.pendingSaves.forEach((save, index) => {
        actions.push(
            ...(save.hasLanded === undefined ? [`landSave ${index}`] : []),
            ...(save.hasLanded !== undefined && !save.isAbandoned ? [`answerSave ${index}`] : []),
            ...(!save.isAbandoned && left.unansweredSaves > 0 ? [`loseSaveAnswer ${index}`] : []),
        );
    });
    if (left.renewals > 0) {
        actions.push(owners.at(-1)!.isProven ? "loseLease" : "renewTerm");
    }
    return left.takeOvers > 0 ? [...actions, "takeOver"] : actions;
}
