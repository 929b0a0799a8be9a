/**
 * Checks that accepted work is never lost: from every explored state, once the faults have ended, the job reaches its final
 * state within a bounded number of rounds in which everything is delivered, answered and listed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import type { FaultInjection } from "../scheduling/faultInjection.js";
import { defaultLimits, type ModelLimits } from "../scheduling/modelLimits.js";
import { createSchedulingModel, type SchedulingModel } from "../scheduling/schedulingModel.js";
import { type Exploration, explore } from "./explore.js";
import { countRecoveryRounds, maxRecoveryRounds } from "./recoveryRounds.js";

/** As in the model's policy. */
const maxAttempts = 2;

const limits: ModelLimits = { ...defaultLimits, departures: 1, takeOvers: 3, renewals: 1, failures: 1, slowSaves: 1 };

/** Why the job does not end as it must; `undefined` if it does. */
function describeLoss(model: SchedulingModel): string | undefined {
    if (model.violation() !== undefined) {
        return model.violation();
    }
    if (countRecoveryRounds(model) === undefined) {
        return `the job is ${model.progress()?.state} after ${maxRecoveryRounds} rounds`;
    }
    const hasFailed = model.progress()?.state === "failed";
    return hasFailed && model.failedRunsCount() < maxAttempts ?
        "the job shows as failed before its attempts are used up" :
        model.violation();
}

function replay(faults: FaultInjection, actions: readonly string[], modelLimits: ModelLimits): SchedulingModel {
    const model = createSchedulingModel(faults, [], modelLimits);
    actions.forEach(action => model.perform(action));
    return model;
}

interface History {
    actions: string[];
    key: string;
    possible: string[];
}

function exploreHistories(faults: FaultInjection, prefix: readonly string[], maxDepth: number): Exploration<History> {
    const follow = (actions: string[]): History => {
        const model = replay(faults, actions, limits);
        return { actions, key: model.key(), possible: model.actions() };
    };
    return explore<History>({
        initial: follow([...prefix]),
        key: history => history.key,
        maxDepth,
        next: history => history.possible.map(action => ({ action, next: follow([...history.actions, action]) })),
        isSafe: history => describeLoss(replay(faults, history.actions, limits)) === undefined,
    });
}

const startupActions = ["list 0 w1", "list 0 w2", "save 0"];

const starts: { title: string; prefix: string[] }[] = [
    { title: "the first command on", prefix: startupActions },
    { title: "a failed run on", prefix: [...startupActions, "deliver 0", "fail w1", "list 0 w1"] },
    { title: "a takeover after a failed run on", prefix: [...startupActions, "deliver 0", "fail w1", "list 0 w1", "save 0", "takeOver"] },
    { title: "a write in flight on", prefix: ["list 0 w1", "sendSave 0", "list 0 w2"] },
];

const longLimits: ModelLimits = {
    crashes: 2,
    unnoticedCrashes: 0,
    losses: 4,
    unansweredListings: 0,
    unansweredSaves: 4,
    partitions: 3,
    departures: 1,
    takeOvers: 5,
    renewals: 3,
    failures: 3,
    slowSaves: 6,
    shrinkages: 2,
};
const minLongHistory = 10;
const maxLongHistory = 70;

/** A random history with up to six owners. */
function chooseHistory(faults: FaultInjection, seed: number): string[] {
    const random = createSeededRandom(seed);
    const model = createSchedulingModel(faults, [], longLimits);
    return Array.from({ length: random.between(minLongHistory, maxLongHistory) }, () => {
        const action = random.pick(model.actions());
        model.perform(action);
        return action;
    });
}

/** The first loss in `count` long histories. */
function findLossInLongHistories(faults: FaultInjection, count: number): string | undefined {
    for (let seed = 1; seed <= count; seed++) {
        const actions = chooseHistory(faults, seed);
        const loss = describeLoss(replay(faults, actions, longLimits));
        if (loss !== undefined) {
            return `seed ${seed}: ${loss}: ${actions.join(", ")}`;
        }
    }
    return undefined;
}

describe("recovery of the scheduling", () => {
    starts.forEach(({ title, prefix }) => {
        it(`should bring the job to its end after every history within the depth limit, from ${title}`, () => {
            const exploration = exploreHistories({}, prefix, 4);
            const loss = exploration.unsafeState && describeLoss(replay({}, exploration.unsafeState.actions, limits));
            assert.deepEqual(exploration.counterexample, undefined, loss);
            assert.ok(exploration.statesCount > 1_000, `only ${exploration.statesCount} states were explored`);
        });
    });

    it("should bring the job to its end after long histories of several owners", () => {
        assert.equal(findLossInLongHistories({}, 3_000), undefined);
    });

    const injectedFaults: { title: string; faults: FaultInjection }[] = [
        { title: "forgets writes whose answer was lost", faults: { forgetsUnansweredSaves: true } },
        { title: "counts a failed run again when its end is listed to the next owner", faults: { countsListedFailuresAgain: true } },
    ];
    injectedFaults.forEach(({ title, faults }) => {
        it(`should detect the loss of a job by a scheduler that ${title}`, () => {
            assert.notEqual(findLossInLongHistories(faults, 3_000), undefined);
        });
    });
});
