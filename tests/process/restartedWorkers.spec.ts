/**
 * Workers that start again under their ids and are cut off soon after. A life of a worker has its own clock, numbers its ends from 1, and
 * has seen no fencing token and no stop. Whichever life carries out a command: no task runs twice at once, and none starts after an end as
 * done that was acknowledged.
 *
 * Left out are late commands that no owner can prevent, since no owner that knows of the life has reached it: a start whose stop a former
 * life had accepted, or whose task has been started again since; and the leases that a listing extends.
 */
import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { callKinds } from "./lateCommands.js";
import { playRandomRestarts, type RestartHistory } from "./restartHistory.js";
import { acknowledgeEnds, assertNoViolations, behindMs, createSimulation, holdListing, playPhases } from "./restartPhases.js";
import { darkMs, type RestartSimulation } from "./restartSimulation.js";

const historiesCount = 30;
const cutMs = 9_000;
const cutAfterMs = 2_000;
const aheadMs = 50_000_000;
const longTask = "long.0.0.0";

/** Cuts the first worker off, and kills the owner after a while; the other worker gets room when the next owner has begun. */
async function loseOwnerInCut(simulation: RestartSimulation, killedAfterMs: number, returnsAfterMs: number): Promise<void> {
    const [cutOff, other] = simulation.workers as [ModelWorker, ModelWorker];
    simulation.cut(cutOff, cutMs);
    await simulation.run(killedAfterMs);
    simulation.killOwner(returnsAfterMs);
    await simulation.run(1_000);
    simulation.setCapacity(other, 1);
    await simulation.run(cutMs + 8_000);
}

/** A worker whose ends were acknowledged restarts, and neither its entry nor a listing shows that yet. */
async function restartUnseen(phaseMs: number): Promise<{ simulation: RestartSimulation; restarted: ModelWorker }> {
    const simulation = createSimulation([3]);
    const [restarted] = simulation.workers as [ModelWorker];
    await acknowledgeEnds(simulation, restarted);
    await simulation.run(phaseMs);
    simulation.restart(restarted, { clockMs: behindMs, entryDelayMs: 3_000 });
    await simulation.run(darkMs + 40);
    return { simulation, restarted };
}

describe("workers that restart under their ids", () => {
    const histories: RestartHistory[] = [];
    before(async () => {
        for (let history = 1; history <= historiesCount; history++) {
            histories.push(await playRandomRestarts(history));
        }
    });

    for (const [name, clockMs] of [["behind", behindMs], ["ahead of", aheadMs]] as const) {
        it(`should hold no lease longer than their owner counts on if the new clock is far ${name} the former one`, async () => {
            const simulations = await playPhases(async phaseMs => {
                const simulation = createSimulation([1, 0]);
                const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
                simulation.submit("long", {});
                await simulation.runUntil("the task runs", () => simulation.workerOf(longTask) === restarted);
                await simulation.run(3_000 + phaseMs);
                simulation.restart(restarted, { clockMs });
                await simulation.run(darkMs + cutAfterMs);
                simulation.cut(restarted, cutMs);
                await simulation.run(500);
                simulation.setCapacity(other, 1);
                await simulation.run(cutMs + 5_000);
                return simulation;
            });
            assertNoViolations(simulations);
            assert.ok(simulations.every(each => each.workerOf(longTask)), "the task runs nowhere");
        });
    }

    it("should hold no lease longer than their owner counts on if it has not noticed the restart when it starts a task", async () => {
        const simulations = await playPhases(async phaseMs => {
            const simulation = createSimulation([1, 0]);
            const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
            await simulation.run(3_000 + phaseMs);
            simulation.restart(restarted, { clockMs: behindMs, entryDelayMs: 3_000 });
            await simulation.run(darkMs + 40);
            simulation.submit("long", {});
            await simulation.run(200);
            simulation.cut(restarted, cutMs);
            simulation.setCapacity(other, 1);
            await simulation.run(cutMs + 5_000);
            return simulation;
        });
        assertNoViolations(simulations);
    });

    it("should not forget an end for an acknowledgement of a former life that is carried out late", async () => {
        const simulation = createSimulation([3, 0]);
        const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
        await acknowledgeEnds(simulation, restarted);
        await holdListing(simulation, restarted, 5_000);
        await simulation.run(1_000);
        simulation.restart(restarted, { clockMs: behindMs });
        await simulation.run(darkMs + 100);
        simulation.submit("after", { durationMs: cutAfterMs });
        await simulation.run(cutAfterMs - 200);
        simulation.cut(restarted, cutMs);
        simulation.setCapacity(other, 1);
        await simulation.run(cutMs + 5_000);
        assertNoViolations([simulation]);
    });

    it("should not forget an end for an acknowledgement of a former life whose end the owner has not noticed", async () => {
        const simulations = await playPhases(async phaseMs => {
            const { simulation } = await restartUnseen(phaseMs);
            simulation.submit("after", { durationMs: 300 });
            await simulation.run(8_000);
            return simulation;
        });
        assertNoViolations(simulations);
    });

    it("should not forget an end for an acknowledgement if all that shows the restart is a start without a response", async () => {
        const simulations = await playPhases(async phaseMs => {
            const { simulation, restarted } = await restartUnseen(phaseMs);
            simulation.submit("after", { durationMs: 200 });
            await simulation.run(100);
            simulation.hold(callKinds.start, restarted, undefined);
            simulation.submit("later", { durationMs: 200 });
            await simulation.run(8_000);
            return simulation;
        });
        assertNoViolations(simulations);
    });

    it("should not forget an end for an acknowledgement if all that shows the restart is the clock in the response to a start", async () => {
        const simulations = await playPhases(async phaseMs => {
            const { simulation } = await restartUnseen(phaseMs);
            // Its end is overdue, and asked for, before the listing that is open since before the restart times out.
            simulation.submit("after", { durationMs: 200, estimatedDurationMs: 200 });
            await simulation.run(8_000);
            return simulation;
        });
        assertNoViolations(simulations);
    });

    it("should not carry out a start that was meant for a former life, once the owner has reached them", async () => {
        const simulation = createSimulation([1, 0]);
        const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
        await simulation.run(3_000);
        simulation.hold(callKinds.start, restarted, 10_000);
        simulation.submit("long", {});
        await simulation.runUntil("the start is held", () => simulation.heldCount() === 1);
        simulation.setCapacity(restarted, 0);
        simulation.setCapacity(other, 1);
        await simulation.runUntil("the task runs elsewhere", () => simulation.workerOf(longTask) === other);
        simulation.restart(restarted, { clockMs: behindMs });
        await simulation.run(12_000);
        assertNoViolations([simulation]);
    });

    it("should not extend their leases for a listing that was meant for a former life, once the owner has reached them", async () => {
        const simulation = createSimulation([1, 0]);
        const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
        simulation.submit("long", {});
        await simulation.runUntil("the task runs", () => simulation.workerOf(longTask) === restarted);
        await simulation.run(3_000);
        await holdListing(simulation, restarted, 9_000);
        // The owner learns of the restart from a listing only, so that it starts the task again by the new clock.
        simulation.restart(restarted, { clockMs: behindMs, entryDelayMs: 3_000 });
        await simulation.run(darkMs + 2 * cutAfterMs);
        simulation.cut(restarted, cutMs);
        simulation.setCapacity(other, 1);
        await simulation.run(cutMs + 5_000);
        assertNoViolations([simulation]);
    });

    for (
        const [killedAfterMs, returnsAfterMs, next] of [
            [100, 300, "returns at once"],
            [3_000, 300, "returns at once"],
            // The next owner is another process, which has known the snapshot of the worker since it was written.
            [3_000, 10_000, "is replaced"],
        ] as const
    ) {
        const when = `is killed ${killedAfterMs} ms after the cut and ${next}`;
        it(`should hold no lease longer than the next owner counts on if one that has noticed the restart ${when}`, async () => {
            const simulations = await playPhases(async phaseMs => {
                const simulation = createSimulation([1, 0]);
                const [restarted] = simulation.workers as [ModelWorker, ModelWorker];
                simulation.submit("long", {});
                await simulation.run(3_000 + phaseMs);
                simulation.restart(restarted, { clockMs: behindMs });
                await simulation.run(darkMs + cutAfterMs);
                await loseOwnerInCut(simulation, killedAfterMs, returnsAfterMs);
                return simulation;
            });
            assertNoViolations(simulations);
            assert.ok(simulations.every(each => each.workerOf(longTask) && each.termsCount() === 2));
        });

        it(`should hold no lease longer than the next owner counts on if one that has not noticed the restart ${when}`, async () => {
            const simulations = await playPhases(async phaseMs => {
                const simulation = createSimulation([1, 0]);
                const [restarted] = simulation.workers as [ModelWorker, ModelWorker];
                await simulation.run(3_000 + phaseMs);
                simulation.restart(restarted, { clockMs: behindMs, entryDelayMs: 3_000 });
                await simulation.run(darkMs + 40);
                simulation.submit("long", {});
                await simulation.run(200);
                await loseOwnerInCut(simulation, killedAfterMs, returnsAfterMs);
                return simulation;
            });
            assertNoViolations(simulations);
            assert.ok(simulations.every(each => each.workerOf(longTask) && each.termsCount() === 2));
        });
    }

    it("should run no task twice in random histories of restarts, cuts, lost owners and late commands", () => {
        const broken = histories.flatMap(({ seed, violations }) => violations.map(each => `seed ${seed}: ${each}`));
        assert.equal(broken.length, 0, [`${broken.length} violations`, ...broken].join("\n"));
    });

    it("should leave nothing undone after random histories of restarts, cuts, lost owners and late commands", () => {
        assert.deepEqual(histories.flatMap(({ seed, unfinished }) => unfinished.map(each => `seed ${seed}: ${each}`)), []);
        const restartsCount = histories.reduce((sum, each) => sum + each.restartsCount, 0);
        const startsCount = histories.reduce((sum, each) => sum + each.startsCount, 0);
        assert.ok(
            restartsCount >= 2 * historiesCount && startsCount > 50 * historiesCount,
            `${restartsCount} restarts, ${startsCount} starts`,
        );
    });
});
