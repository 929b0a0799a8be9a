/** What can happen next in the model. */
import type { ModelOwner, OpenOrder } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelState {
    nowMs: number;
    orders: readonly OpenOrder[];
    owners: readonly ModelOwner[];
    workers: readonly ModelWorker[];
    /** How long a lost owner goes on giving orders. */
    ownerContinuationMs: number;
    crashesLeft: number;
    lossesLeft: number;
    unansweredSavesLeft: number;
    partitionsLeft: number;
}

export function possibleActions(situation: ModelState): string[] {
    const { nowMs, orders, owners, workers, ownerContinuationMs, crashesLeft, lossesLeft, unansweredSavesLeft, partitionsLeft: cutsLeft } =
        situation;
    const possible: string[] = ["tick"];
    orders.forEach((order, index) => {
        const isCut = owners[order.owner]!.partitionedFrom.has(order.command.run.workerId);
        if (order.isLate) {
            possible.push(`late ${index}`);
        }
        else if (!isCut) {
            possible.push(`deliver ${index}`, ...(lossesLeft > 0 ? [`loseAnswer ${index}`] : []));
        }
    });
    owners.forEach((owner, index) => {
        const mayOrder = owner.lostAtMs === undefined || nowMs - owner.lostAtMs < ownerContinuationMs;
        for (const worker of workers) {
            if (mayOrder && !owner.partitionedFrom.has(worker.id)) {
                possible.push(`list ${index} ${worker.id}`);
            }
            if (cutsLeft > 0) {
                possible.push(`cut ${index} ${worker.id}`);
            }
        }
        if (owner.scheduler.state.unsavedJobs.size > 0) {
            possible.push(`save ${index}`, ...(unansweredSavesLeft > 0 ? [`saveUnanswered ${index}`] : []));
        }
    });
    for (const worker of workers) {
        possible.push(
            ...(worker.running.size > 0 ? [`finish ${worker.id}`] : []),
            ...(crashesLeft > 0 ? [`crash ${worker.id}`] : []),
        );
    }
    return owners.length === 1 ? [...possible, "takeOver"] : possible;
}
