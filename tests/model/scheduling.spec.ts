/**
 * Explores the scheduler's own code: commands that are lost or late, a crash of a worker, a network partition, and a
 * takeover by another owner at any time.
 */
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

function followPath(faults: FaultInjection, actions: string[], storedWorkerIds?: readonly string[]): Path {
    const model = createSchedulingModel(faults, storedWorkerIds);
    actions.forEach(action => model.perform(action));
    return { actions, key: model.key(), violation: model.violation(), possible: model.actions() };
}

function exploreModel(
    faults: FaultInjection,
    prefix: string[],
    maxDepth: number,
    storedWorkerIds?: readonly string[],
): Exploration<Path> {
    return explore<Path>({
        initial: followPath(faults, prefix, storedWorkerIds),
        key: path => path.key,
        maxDepth,
        next: path => path.possible.map(action => ({ action, next: followPath(faults, [...path.actions, action], storedWorkerIds) })),
        isSafe: path => path.violation === undefined,
    });
}

/** Both workers have responded to the first owner, and the store lists the worker that gets its first command. */
const startupActions = ["list 0 w1", "list 0 w2", "save 0"];

/** Performs the actions of a run without failures: delivers, lists, finishes and saves whatever is possible. */
function finishWithoutFailures(model: SchedulingModel): void {
    for (let round = 0; round < 30; round++) {
        const action = ["deliver", "finish", "list 0 w1", "list 0 w2", "save"].flatMap(name =>
            model.actions().filter(each => each.startsWith(name))
        );
        if (action.length > 0) {
            model.perform(action[round % action.length]!);
        }
    }
}

describe("scheduling under failure", () => {
    it("should complete a job when nothing fails", () => {
        const model = createSchedulingModel({});
        finishWithoutFailures(model);
        assert.equal(model.progress()?.state, "completed");
        assert.equal(model.violation(), undefined);
    });

    it("should violate no guarantee within the depth limit, from the first command on", () => {
        const exploration = exploreModel({}, startupActions, 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    it("should violate no guarantee within the depth limit, after a takeover with a run that has just ended", () => {
        const exploration = exploreModel({}, [...startupActions, "deliver 0", "finish w1", "takeOver"], 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    it("should violate no guarantee within the depth limit, after a takeover while a worker with a run is unresponsive", () => {
        const exploration = exploreModel({}, [...startupActions, "loseResponse 0", "takeOver"], 6);
        assert.deepEqual(exploration.counterexample, undefined, exploration.unsafeState?.violation);
        assert.ok(exploration.statesCount > 5_000, `only ${exploration.statesCount} states were explored`);
    });

    const injectedFaults: { title: string; faults: FaultInjection; prefix: string[]; maxDepth: number; storedWorkerIds?: string[] }[] = [
        {
            title: "acknowledges ends before they are saved",
            faults: { acknowledgesBeforeSaving: true },
            prefix: [...startupActions, "deliver 0", "finish w1", "list 0 w1"],
            maxDepth: 6,
        },
        {
            title: "takes over without waiting for unreachable workers",
            faults: { takesOverWithoutWaiting: true },
            prefix: [...startupActions, "deliver 0", "takeOver", "partition 1 w1"],
            maxDepth: 4,
        },
        {
            title: "expires leases of unresponsive workers without proof of ownership",
            faults: { expiresLeasesWithoutProof: true },
            // The store lists both workers from the beginning, so that the old owner needs no write, which would be refused.
            storedWorkerIds: ["w1", "w2"],
            prefix: ["list 0 w1", "list 0 w2", "deliver 0", "partition 0 w1", "tick", "tick", "list 0 w2", "takeOver", "list 1 w1"],
            maxDepth: 6,
        },
        {
            title: "sends starts before the store lists their workers",
            faults: { startsBeforeSaving: true },
            prefix: ["list 0 w1", "list 0 w2", "deliver 0", "takeOver", "partition 1 w1"],
            maxDepth: 4,
        },
        {
            title: "retries a start that got no response",
            faults: { retriesUnansweredStarts: true },
            prefix: startupActions,
            maxDepth: 4,
        },
    ];
    injectedFaults.forEach(({ title, faults, prefix, maxDepth, storedWorkerIds }) => {
        it(`should detect the fault of a scheduler that ${title}`, () => {
            const exploration = exploreModel(faults, prefix, maxDepth, storedWorkerIds);
            assert.notEqual(exploration.counterexample, undefined, `${exploration.statesCount} states, none unsafe`);
        });
        it(`should detect no fault on the same paths without the injected fault: ${title}`, () => {
            const faultlessPrefix = faults.startsBeforeSaving ? [...startupActions, ...prefix.slice(2)] : prefix;
            assert.deepEqual(exploreModel({}, faultlessPrefix, maxDepth, storedWorkerIds).counterexample, undefined);
        });
    });
});
