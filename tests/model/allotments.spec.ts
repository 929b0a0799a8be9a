/** Explores the state space of the allotment protocol, also with injected faults that it must detect. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { initialState, type InjectedFault, injectedFaults, isSafe, modelBounds, nextSteps, stateKey } from "./allotmentModel.js";
import { explore } from "./explore.js";

const check = (fault: InjectedFault) =>
    explore({
        initial: initialState(),
        key: stateKey,
        maxDepth: modelBounds.actionsCount,
        next: state => nextSteps(state, fault),
        isSafe,
    });

describe("allotment protocol", () => {
    it("should never exceed the limit in any state within the bounds", t => {
        const { statesCount, counterexample } = check(injectedFaults.none);
        t.diagnostic(`${statesCount} states`);
        assert.equal(counterexample, undefined);
        assert.ok(statesCount > 10_000);
    });

    Object.values(injectedFaults).filter(fault => fault !== injectedFaults.none).forEach(fault => {
        it(`should find a counterexample for the injected fault '${fault}'`, t => {
            const { counterexample } = check(fault);
            assert.ok(counterexample, "no counterexample was found");
            t.diagnostic(counterexample.join(", "));
        });
    });
});
