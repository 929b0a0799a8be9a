/** The model's actions on writes of progress: at once and answered, at once without an answer, or in separate steps. */
import type { FaultInjection } from "./faultInjection.js";
import type { ModelLimits } from "./modelLimits.js";
import type { ModelOwner } from "./modelOwner.js";
import type { ModelStore } from "./modelStore.js";

export interface SaveActionsContext {
    store: ModelStore;
    owners: readonly ModelOwner[];
    left: ModelLimits;
    faults: FaultInjection;
    nowMs(): number;
    stepOwner(index: number): void;
}

export function createSaveActions(context: SaveActionsContext): Record<string, (index: string) => void> {
    const { store, owners, left, faults } = context;
    const save = (index: number, isAnswered: boolean): void => {
        for (const each of store.send(owners[index]!)) {
            store.land(each);
            if (isAnswered || !each.hasLanded) {
                store.answer(each, context.nowMs());
            }
            else {
                store.abandon(each, faults.forgetsUnansweredSaves);
            }
            if (!each.hasLanded) {
                return;
            }
        }
        context.stepOwner(index);
    };
    return {
        save: index => save(Number(index), true),
        saveUnanswered: index => {
            left.unansweredSaves -= 1;
            save(Number(index), false);
        },
        sendSave: index => {
            left.slowSaves -= 1;
            store.send(owners[Number(index)]!);
        },
        landSave: index => store.land(store.pendingSaves[Number(index)]!),
        answerSave: index => {
            const pending = store.pendingSaves[Number(index)]!;
            store.answer(pending, context.nowMs());
            context.stepOwner(owners.indexOf(pending.owner));
        },
        loseSaveAnswer: index => {
            left.unansweredSaves -= 1;
            store.abandon(store.pendingSaves[Number(index)]!, faults.forgetsUnansweredSaves);
        },
    };
}
