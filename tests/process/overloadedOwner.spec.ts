/** Checks that a surge of more short tasks than the owner's processor can start does not make all of them late. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { simulateFleet } from "./fleetSimulation.js";

const seeds = [2, 3, 4];
/** In a surge, the calls that the load needs take more processor time than there is. */
const overload = { scale: 0.3, durationMs: 20_000, hotTeams: [], ownerAway: [], storeAway: [], callCostMs: 1.8 };
/** The least part of the value of a queue's jobs that a fleet with disruptions has to earn. */
const leastEarnedPart = 0.21;

describe("an owner whose processor is the limit", () => {
    for (const seed of seeds) {
        it(`should complete a part of each queue's jobs in time, seed ${seed}`, async () => {
            const { earnedPartByQueue } = await simulateFleet({ ...overload, seed });
            assert.equal(earnedPartByQueue.size, 4);
            const tooLittle = [...earnedPartByQueue].filter(([, earnedPart]) => earnedPart < leastEarnedPart);
            assert.deepEqual(tooLittle.map(([queueName, earnedPart]) => `${queueName}: ${earnedPart.toFixed(2)} earned`), []);
        });
    }
});
