/**
 * Guards against giving up what an incarnation may have begun that no owner has seen, and against losing the ownership to one that returns.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { callKinds } from "./lateCommands.js";
import { createRestartSimulation, darkMs } from "./restartSimulation.js";

describe("an incarnation of a worker that no owner has seen", () => {
    it("should keep the ownership when a restarted worker returns after its record was removed", async () => {
        const simulation = createRestartSimulation({ random: createSeededRandom(1), capacities: [1, 1] });
        const [restarted] = simulation.workers as [ModelWorker, ModelWorker];
        simulation.submit("long", {});
        simulation.submit("other", {});
        await simulation.run(3_000);
        simulation.restart(restarted, { clockMs: 0 });
        await simulation.run(darkMs + 2_000);
        simulation.cut(restarted, 25_000);
        await simulation.run(40_000);
        simulation.close();
        const shown = simulation.decisions.filter(each => /worker|owns/.test(each)).join("\n");
        assert.equal(simulation.termsCount(), 1, shown);
    });

    for (const carriedOutAfterMs of [700, 720, 740]) {
        it(`should keep a start without a response, carried out after ${carriedOutAfterMs} ms by a life that no owner has seen`, async () => {
            const simulation = createRestartSimulation({ random: createSeededRandom(1), capacities: [1, 0] });
            const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
            await simulation.run(3_000);
            const listsHeld = 12;
            simulation.restart(restarted, { clockMs: 0, entryDelayMs: 3_000 });
            for (let count = 0; count < listsHeld; count++) {
                simulation.hold(callKinds.list, restarted, undefined);
            }
            simulation.hold(callKinds.start, restarted, carriedOutAfterMs);
            simulation.submit("long", {});
            await simulation.run(carriedOutAfterMs + 100);
            const startsCount = simulation.startsCount("long.0.0.0");
            simulation.cut(restarted, 15_000);
            simulation.setCapacity(other, 1);
            await simulation.run(20_000);
            simulation.close();
            const detail = [
                `starts before the cut ${startsCount}, left out ${simulation.leftOutCount()}`,
                ...simulation.violations,
                ...simulation.decisions,
            ];
            assert.deepEqual(simulation.violations, [], detail.join("\n"));
            assert.equal(startsCount, 1, detail.join("\n"));
        });
    }

    for (const killedAfterMs of [20, 400, 2_000]) {
        it(`should keep a start without a response if its owner is killed ${killedAfterMs} ms after the cut`, async () => {
            const simulation = createRestartSimulation({ random: createSeededRandom(1), capacities: [1, 0] });
            const [restarted, other] = simulation.workers as [ModelWorker, ModelWorker];
            await simulation.run(3_000);
            simulation.restart(restarted, { clockMs: 0, entryDelayMs: 3_000 });
            for (let count = 0; count < 12; count++) {
                simulation.hold(callKinds.list, restarted, undefined);
            }
            simulation.hold(callKinds.start, restarted, 700);
            simulation.submit("long", {});
            await simulation.run(800);
            simulation.cut(restarted, 15_000);
            await simulation.run(killedAfterMs);
            simulation.killOwner(300);
            simulation.setCapacity(other, 1);
            await simulation.run(20_000);
            simulation.close();
            const detail = [`left out ${simulation.leftOutCount()}`, ...simulation.violations, ...simulation.decisions];
            assert.deepEqual(simulation.violations, [], detail.join("\n"));
        });
    }
});
