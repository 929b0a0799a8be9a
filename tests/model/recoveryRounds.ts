/** Brings the model's job to its end once all faults have ended. */
import type { SchedulingModel } from "../scheduling/schedulingModel.js";

/** Each round lasts one second of the model's time; the leases of an unknown worker end after five. */
export const maxRecoveryRounds = 10;

/** Performs the actions of this name that are possible, each at most once on average. */
function performAll(model: SchedulingModel, name: string): void {
    const isNamed = (action: string): boolean => action === name || action.startsWith(`${name} `);
    for (let count = model.actions().filter(isNamed).length; count > 0; count--) {
        const action = model.actions().find(isNamed);
        if (action === undefined) {
            return;
        }
        model.perform(action);
    }
}

/** Number of rounds after which the job is in its final state; `undefined` if it is not within the bound. */
export function countRecoveryRounds(model: SchedulingModel, maxRounds = maxRecoveryRounds): number | undefined {
    const isFinal = (): boolean => ["completed", "failed"].includes(model.progress()?.state ?? "");
    model.perform("recover");
    for (let round = 0; round < maxRounds; round++) {
        if (isFinal()) {
            return round;
        }
        const current = model.currentOwner();
        const listAndSave = ["deliver", `list ${current} w1`, `list ${current} w2`, "landSave", "answerSave", `save ${current}`, "deliver"];
        ["late", ...listAndSave, "finish", ...listAndSave, "tick"].forEach(name => performAll(model, name));
    }
    return isFinal() ? maxRounds : undefined;
}
