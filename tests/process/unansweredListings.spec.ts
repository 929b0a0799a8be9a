/** Guards against queues of short tasks whose jobs are late because some listings, which would show that their tasks have ended, get no response. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { simulateFleet } from "./fleetSimulation.js";

const seeds = [1, 2, 3];
const day = { scale: 0.3, durationMs: 20_000, hotTeams: [], ownerAway: [], storeAway: [], unansweredFraction: 0.05 };
/** Twice the least part of the value of a queue's jobs that a fleet with disruptions has to earn. */
const leastEarnedPart = 2 * 0.21;

describe("workers that leave some listings without a response", () => {
    for (const seed of seeds) {
        it(`should not make most jobs of a queue late, seed ${seed}`, async () => {
            const { earnedPartByQueue } = await simulateFleet({ ...day, seed });
            assert.equal(earnedPartByQueue.size, 4);
            const tooLittle = [...earnedPartByQueue].filter(([, earnedPart]) => earnedPart < leastEarnedPart);
            assert.deepEqual(tooLittle.map(([queueName, earnedPart]) => `${queueName}: ${earnedPart.toFixed(2)} earned`), []);
        });
    }
});
