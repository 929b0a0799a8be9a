/**
 * Explores the scheduler's own code with workers that restart under their ids: each incarnation has its own clock, counts its ends anew
 * and has seen no token, and commands for a former incarnation may reach the next one.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import type { FaultInjection } from "../scheduling/faultInjection.js";
import { defaultLimits, type ModelLimits } from "../scheduling/modelLimits.js";
import { createSchedulingModel, type SchedulingModel } from "../scheduling/schedulingModel.js";
import { type Exploration, explore } from "./explore.js";

interface Path {
    actions: string[];
    model: SchedulingModel;
}

function exploreRestarts(faults: FaultInjection, limits: ModelLimits, prefix: string[], maxDepth: number): Exploration<Path> {
    const follow = (actions: string[]): Path => {
        const model = createSchedulingModel(faults, ["w1", "w2"], limits);
        actions.forEach(action => model.perform(action));
        return { actions, model };
    };
    return explore<Path>({
        initial: follow(prefix),
        key: path => path.model.key(),
        maxDepth,
        next: path => path.model.actions().map(action => ({ action, next: follow([...path.actions, action]) })),
        isSafe: path => path.model.violation() === undefined,
    });
}

const listBoth = ["list 0 w1", "list 0 w2"];
const noEvents: ModelLimits = { ...defaultLimits, crashes: 0, losses: 0, unansweredSaves: 0, partitions: 0, takeOvers: 0 };

/** What may happen after each prefix, in which a worker restarts under its id. */
const restarts: { title: string; limits: ModelLimits; prefix: string[]; maxDepth: number }[] = [
    {
        title: "a start reaches the next incarnation of its worker",
        limits: { ...noEvents, crashes: 1, losses: 1 },
        prefix: [...listBoth, "crash w1"],
        maxDepth: 7,
    },
    {
        title: "the next incarnation of a worker carries out a start without an answer and is cut off",
        limits: { ...noEvents, crashes: 1, losses: 1 },
        prefix: [...listBoth, "crash w1", "loseResponse 0"],
        maxDepth: 7,
    },
    {
        title: "a listing without an answer reaches the next incarnation of its worker",
        limits: { ...noEvents, crashes: 1, unansweredListings: 1 },
        prefix: [...listBoth, "deliver 0", "finish w1", "list 0 w1", "save 0", "listUnanswered 0 w1", "crash w1"],
        maxDepth: 6,
    },
    {
        title: "the store does not show yet that a worker has restarted",
        limits: { ...noEvents, unnoticedCrashes: 1, losses: 1 },
        prefix: [...listBoth, "deliver 0", "finish w1", "list 0 w1", "save 0", "crashUnnoticed w1"],
        maxDepth: 6,
    },
    {
        title: "a start without an answer is carried out by an incarnation that the store does not show yet",
        limits: { ...noEvents, unnoticedCrashes: 1, losses: 1 },
        prefix: [...listBoth, "crashUnnoticed w1", "loseResponse 0"],
        maxDepth: 5,
    },
    {
        title: "another owner takes over after a worker has restarted",
        limits: { ...noEvents, crashes: 1, losses: 1, takeOvers: 1 },
        prefix: [...listBoth, "crash w1", "loseResponse 0", "tick", "takeOver"],
        maxDepth: 6,
    },
];

const afterNoticedRestart = {
    limits: { ...noEvents, crashes: 1, losses: 1 },
    prefix: [...listBoth, "crash w1"],
};

/** Schedulers that lack a part of what protects an incarnation from commands for the former one. */
const brokenFixes: { title: string; faults: FaultInjection; limits: ModelLimits; prefix: string[]; maxDepth: number }[] = [
    { title: "all incarnations have one token", faults: { usesOneTokenPerTerm: true }, ...afterNoticedRestart, maxDepth: 4 },
    { title: "leases are bounded by what was asked for", faults: { trustsRequestedLeases: true }, ...afterNoticedRestart, maxDepth: 6 },
    { title: "starts are sent before the first listing", faults: { startsBeforeFirstListing: true }, ...afterNoticedRestart, maxDepth: 7 },
    {
        title: "starts carry the token of a listing that acknowledges ends",
        faults: { startsWithAcknowledgingToken: true },
        limits: { ...noEvents, crashes: 1, unansweredListings: 1, shrinkages: 2 },
        prefix: [
            ...listBoth,
            "deliver 0",
            "finish w1",
            "shrink w1",
            "shrink w2",
            "list 0 w1",
            "save 0",
            "listUnanswered 0 w1",
            "grow w1",
            "save 0",
        ],
        maxDepth: 6,
    },
    {
        title: "the response of another incarnation is not noticed",
        faults: { ignoresOtherClocks: true },
        limits: { ...noEvents, unnoticedCrashes: 1 },
        prefix: [...listBoth, "crashUnnoticed w1", "deliver 0"],
        maxDepth: 5,
    },
];

const longLimits: ModelLimits = {
    ...noEvents,
    crashes: 2,
    unnoticedCrashes: 2,
    losses: 4,
    unansweredListings: 3,
    unansweredSaves: 2,
    partitions: 2,
    takeOvers: 3,
    renewals: 1,
    failures: 1,
};
const longHistoriesCount = 3_000;

/** The first violation in long random histories. */
function findInLongHistories(faults: FaultInjection): string | undefined {
    for (let seed = 1; seed <= longHistoriesCount; seed++) {
        const random = createSeededRandom(seed);
        const model = createSchedulingModel(faults, [], longLimits);
        const actions: string[] = [];
        for (let count = random.between(10, 60); count > 0 && model.violation() === undefined; count--) {
            const action = random.pick(model.actions());
            actions.push(action);
            model.perform(action);
        }
        if (model.violation() !== undefined) {
            return `seed ${seed}: ${model.violation()}: ${actions.join(", ")}`;
        }
    }
    return undefined;
}

describe("workers that restart under their ids", () => {
    restarts.forEach(({ title, limits, prefix, maxDepth }) => {
        it(`should violate no guarantee within the depth limit when ${title}`, () => {
            const exploration = exploreRestarts({}, limits, prefix, maxDepth);
            assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.model.violation());
            assert.ok(exploration.statesCount > 500, `only ${exploration.statesCount} states were explored`);
        });
    });

    brokenFixes.forEach(({ title, faults, limits, prefix, maxDepth }) => {
        it(`should be found to break a guarantee if ${title}`, () => {
            const exploration = exploreRestarts(faults, limits, prefix, maxDepth);
            assert.notEqual(exploration.counterexample, undefined, `${exploration.statesCount} states, none unsafe`);
        });
        it(`should violate no guarantee on the same paths without the injected fault: ${title}`, () => {
            assert.deepEqual(exploreRestarts({}, limits, prefix, maxDepth).counterexample, undefined);
        });
    });

    it("should violate no guarantee in long histories of several owners", () => {
        assert.equal(findInLongHistories({}), undefined);
    });
});
