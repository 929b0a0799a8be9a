/** Responses to commands in the model, as the owner's session with one incarnation of the worker takes them. */
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import type { FaultInjection } from "./faultInjection.js";
import { type ModelOwner, type PendingCommand, recordOf } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

export interface AnswersContext {
    owners: readonly ModelOwner[];
    faults: FaultInjection;
    moment(): Moment;
    workerOf(id: string): ModelWorker;
    stepOwner(index: number): void;
}

type Response = "accepted" | "refused" | "unknown";

export function createAnswers(
    { owners, faults, moment, workerOf, stepOwner }: AnswersContext,
): (pending: PendingCommand, response: Response) => void {
    return (pending, response) => {
        const owner = owners[pending.owner]!;
        const { scheduler } = owner;
        const { run, kind } = pending.command;
        const isCurrent = recordOf(owner, run.workerId)?.entry.bornWallMs === pending.bornWallMs;
        // The session with a former incarnation takes only a refusal for an answer.
        const outcome = isCurrent || response === "refused" ? response : "unknown";
        const hasOtherClock = response !== "unknown" && workerOf(run.workerId).bornWallMs !== pending.bornWallMs;
        if (kind === commandKinds.start && isCurrent && hasOtherClock && !faults.ignoresOtherClocks) {
            owner.unansweredListings.set(run.workerId, "failed");
            scheduler.incarnationDoubted(run.workerId, moment().nowMs);
        }
        if (kind === commandKinds.start) {
            const reportedOutcome = faults.retriesUnansweredStarts && outcome === "unknown" ?
                commandOutcomes.refused :
                commandOutcomes[outcome];
            scheduler.startResponseReceived(run, reportedOutcome, "", moment());
        }
        else {
            scheduler.stopResponseReceived(run, commandOutcomes[outcome], moment());
        }
        stepOwner(pending.owner);
    };
}
