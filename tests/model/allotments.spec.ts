/** Model checking of the allotment protocol, and of what happens when it is broken on purpose. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Breakage, breakages, initialState, isSafe, modelBounds, nextSteps, stateKey } from "./allotmentModel.js";
import { explore } from "./explore.js";

const check = (breakage: Breakage) =>
    explore({
        initial: initialState(),
        key: stateKey,
        maxDepth: modelBounds.actionsCount,
        next: state => nextSteps(state, breakage),
        isSafe,
    });

describe("allotment protocol", () => {
    it("should never run more than the limit in any state within the bounds", t => {
        const { statesCount, counterexample } = check(breakages.none);
        t.diagnostic(`${statesCount} states`);
        assert.equal(counterexample, undefined);
        assert.ok(statesCount > 10_000);
    });

    Object.values(breakages).filter(breakage => breakage !== breakages.none).forEach(breakage => {
        it(`should be seen to fail when it is broken by '${breakage}'`, t => {
            const { counterexample } = check(breakage);
            assert.ok(counterexample, "no counterexample was found");
            t.diagnostic(counterexample.join(", "));
        });
    });
});
