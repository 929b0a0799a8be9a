/**
 * Explores the scheduler's own code with a task that crashes each worker that starts it, across several owners, and with workers
 * whose capacity shrinks and grows.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import type { FaultInjection } from "../scheduling/faultInjection.js";
import { defaultLimits, type ModelLimits } from "../scheduling/modelLimits.js";
import { createSchedulingModel, type SchedulingModel } from "../scheduling/schedulingModel.js";
import { type Exploration, explore } from "./explore.js";
import { countRecoveryRounds } from "./recoveryRounds.js";

const deadlyTask = "job.0.0.0";
/** Each takeover may hide a task's first crash, and two more than three crashes may go uncounted. */
const deadlyLimits: ModelLimits = { ...defaultLimits, crashes: 0, losses: 3, unansweredSaves: 3, takeOvers: 2, renewals: 1, slowSaves: 4 };
const historyLength = { min: 5, max: 60 };
/** Each crash takes some rounds until the task is started again. */
const maxRounds = 30;
const historiesCount = 2_000;

function replay(faults: FaultInjection, limits: ModelLimits, actions: readonly string[], task?: string): SchedulingModel {
    const model = createSchedulingModel(faults, [], limits, task);
    actions.forEach(action => model.perform(action));
    return model;
}

/** Why the job of the deadly task does not end as it must; `undefined` if it does. */
function describeFailure(model: SchedulingModel): string | undefined {
    const roundsCount = countRecoveryRounds(model, maxRounds);
    const state = model.progress()?.state;
    return model.violation() ?? (roundsCount === undefined || state !== "failed" ? `the job is ${state}` : undefined);
}

/** The first failure in random histories with up to three owners. */
function findFailure(faults: FaultInjection): string | undefined {
    for (let seed = 1; seed <= historiesCount; seed++) {
        const random = createSeededRandom(seed);
        const model = createSchedulingModel(faults, [], deadlyLimits, deadlyTask);
        const actions = Array.from({ length: random.between(historyLength.min, historyLength.max) }, () => {
            const action = random.pick(model.actions());
            model.perform(action);
            return action;
        });
        const failure = describeFailure(model);
        if (failure !== undefined) {
            return `seed ${seed}: ${failure}: ${actions.join(", ")}`;
        }
    }
    return undefined;
}

describe("a task that crashes each worker that starts it", () => {
    it("should be given up after all histories of several owners, and not before two workers have crashed", () => {
        assert.equal(findFailure({}), undefined);
    });

    it("should be found to go on by the histories if the next owner does not know of the crashes", () => {
        assert.match(String(findFailure({ forgetsCrashes: true })), /starts again/);
    });
});

interface Path {
    actions: string[];
    model: SchedulingModel;
}

function exploreShrinkage(faults: FaultInjection, prefix: string[], maxDepth: number): Exploration<Path> {
    const limits = { ...defaultLimits, crashes: 0, losses: 1, partitions: 0, takeOvers: 1, shrinkages: 1 };
    const follow = (actions: string[]): Path => ({ actions, model: replay(faults, limits, actions) });
    return explore<Path>({
        initial: follow(prefix),
        key: path => path.model.key(),
        maxDepth,
        next: path => path.model.actions().map(action => ({ action, next: follow([...path.actions, action]) })),
        isSafe: path => path.model.violation() === undefined,
    });
}

describe("a worker whose capacity shrinks and grows", () => {
    const prefix = ["list 0 w1", "list 0 w2"];

    it("should never start a task for which it has no room by what the owner knows", () => {
        const exploration = exploreShrinkage({}, prefix, 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.model.violation());
        assert.ok(exploration.statesCount > 1_000, `only ${exploration.statesCount} states were explored`);
    });

    it("should be found to start too much if the owners are not told of its capacity", () => {
        assert.notEqual(exploreShrinkage({ ignoresShrinkage: true }, prefix, 4).counterexample, undefined);
    });
});
