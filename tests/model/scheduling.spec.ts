/** Explores the scheduler's own code: orders that are lost or late, a crash, a cut, and another owner at any moment. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FaultInjection } from "../scheduling/faultInjection.js";
import { createSchedulingModel, type SchedulingModel } from "../scheduling/schedulingModel.js";
import { type Exploration, explore } from "./explore.js";

interface Path {
    actions: string[];
    key: string;
    violation: string | undefined;
    possible: string[];
}

function follow(breakage: FaultInjection, actions: string[], footprint?: readonly string[]): Path {
    const world = createSchedulingModel(breakage, footprint);
    actions.forEach(action => world.perform(action));
    return { actions, key: world.key(), violation: world.violation(), possible: world.actions() };
}

function exploreWorld(
    breakage: FaultInjection,
    prefix: string[],
    actionsCount: number,
    footprint?: readonly string[],
): Exploration<Path> {
    return explore<Path>({
        initial: follow(breakage, prefix, footprint),
        key: path => path.key,
        maxDepth: actionsCount,
        next: path => path.possible.map(action => ({ action, next: follow(breakage, [...path.actions, action], footprint) })),
        isSafe: path => path.violation === undefined,
    });
}

/** Both workers have answered the first owner, and the store holds where it is about to give its first order. */
const settled = ["list 0 w1", "list 0 w2", "save 0"];

/** Follows the usual course: whatever can be delivered, listed, finished or saved is. */
function finishCalmly(world: SchedulingModel): void {
    for (let round = 0; round < 30; round++) {
        const action = ["deliver", "finish", "list 0 w1", "list 0 w2", "save"].flatMap(name =>
            world.actions().filter(each => each.startsWith(name))
        );
        if (action.length > 0) {
            world.perform(action[round % action.length]!);
        }
    }
}

describe("scheduling under failure", () => {
    it("should complete a job when nothing fails", () => {
        const world = createSchedulingModel({});
        finishCalmly(world);
        assert.equal(world.progress()?.state, "completed");
        assert.equal(world.violation(), undefined);
    });

    it("should break no promise within the bound, from the first order on", () => {
        const exploration = exploreWorld({}, settled, 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    it("should break no promise within the bound, after a takeover beside a run that has ended", () => {
        const exploration = exploreWorld({}, [...settled, "deliver 0", "finish w1", "takeOver"], 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    it("should break no promise within the bound, after a takeover while a worker with a run is silent", () => {
        const exploration = exploreWorld({}, [...settled, "loseAnswer 0", "takeOver"], 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    const breakages: { title: string; breakage: FaultInjection; prefix: string[]; actionsCount: number; footprint?: string[] }[] = [
        {
            title: "acknowledges ends before they are saved",
            breakage: { acknowledgesBeforeSaving: true },
            prefix: [...settled, "deliver 0", "finish w1", "list 0 w1"],
            actionsCount: 6,
        },
        {
            title: "takes over without waiting for workers out of reach",
            breakage: { takesOverWithoutWaiting: true },
            prefix: [...settled, "deliver 0", "takeOver", "cut 1 w1"],
            actionsCount: 4,
        },
        {
            title: "concludes from silence without a proven lease",
            breakage: { expiresLeasesWithoutProof: true },
            // The store allows starts on both workers already, so that no write of the lost owner is refused in between.
            footprint: ["w1", "w2"],
            prefix: ["list 0 w1", "list 0 w2", "deliver 0", "cut 0 w1", "tick", "tick", "list 0 w2", "takeOver", "list 1 w1"],
            actionsCount: 6,
        },
        {
            title: "starts tasks before the store holds where",
            breakage: { startsBeforeSaving: true },
            prefix: ["list 0 w1", "list 0 w2", "deliver 0", "takeOver", "cut 1 w1"],
            actionsCount: 4,
        },
        {
            title: "retries a start that was not answered",
            breakage: { retriesUnansweredStarts: true },
            prefix: settled,
            actionsCount: 4,
        },
    ];
    breakages.forEach(({ title, breakage, prefix, actionsCount, footprint }) => {
        it(`should find the fault of a scheduler that ${title}`, () => {
            const exploration = exploreWorld(breakage, prefix, actionsCount, footprint);
            assert.notEqual(exploration.counterexample, undefined, `${exploration.statesCount} states, none unsafe`);
        });
        it(`should find no fault on the same paths of one that does not: ${title}`, () => {
            const soundPrefix = breakage.startsBeforeSaving ? [...settled, ...prefix.slice(2)] : prefix;
            assert.deepEqual(exploreWorld({}, soundPrefix, actionsCount, footprint).counterexample, undefined);
        });
    });
});
