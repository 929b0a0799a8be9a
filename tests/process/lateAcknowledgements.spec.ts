/**
 * Guards against an end that nobody has seen and its worker forgets: a start and a listing that acknowledges ends are sent to one life of the
 * worker, and the next one carries out both, before an owner has reached it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { callKinds } from "./lateCommands.js";
import { acknowledgeEnds, assertNoViolations, behindMs, createSimulation, holdListing, playPhases } from "./restartPhases.js";

describe("a worker that restarts under its id", () => {
    for (const isListingFirst of [true, false]) {
        for (const isOwnerKilled of [false, true]) {
            const order = isListingFirst ? "before the start" : "after the start";
            const owner = isOwnerKilled ? ", and the next owner settles the run" : "";
            it(`should not forget the end of a late start for a late acknowledgement that was sent ${order}${owner}`, async () => {
                const simulations = await playPhases(async phaseMs => {
                    const simulation = createSimulation([3, 0]);
                    const [restarted] = simulation.workers as [ModelWorker];
                    await acknowledgeEnds(simulation, restarted);
                    await simulation.run(phaseMs);
                    if (isListingFirst) {
                        await holdListing(simulation, restarted, 4_000);
                    }
                    else {
                        // Its end returns the listing that is open, so that the next one is sent while the start has no response.
                        simulation.submit("busy", { durationMs: 400 });
                        await simulation.run(300);
                        simulation.hold(callKinds.list, restarted, 4_000);
                    }
                    simulation.hold(callKinds.start, restarted, 1_000);
                    simulation.submit("after", { durationMs: 100 });
                    await simulation.runUntil("the start and the listing are held", () => simulation.heldCount() === 2);
                    simulation.restart(restarted, { clockMs: behindMs, entryDelayMs: 3_000 });
                    await simulation.runUntil("the new life carries out the start", () => simulation.startsCount("after.0.0.0") === 1);
                    simulation.cut(restarted, 6_000);
                    if (isOwnerKilled) {
                        simulation.killOwner(10_000);
                    }
                    await simulation.run(20_000);
                    return simulation;
                });
                // The new life is cut off before its owner has reached it, so that no owner can bound the leases which the listing extends.
                assertNoViolations(simulations, true);
                assert.ok(
                    simulations.every(each => each.startsCount("after.0.0.0") === 1 && each.jobState("after") === jobStates.completed),
                );
            });
        }
    }
});
