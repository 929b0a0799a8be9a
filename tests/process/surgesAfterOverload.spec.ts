/** Checks that a surge finds VMs although an overload and outages have just left a backlog in another pool. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SurgeResult } from "./earnedWorth.js";
import { type FleetSimulationOptions, simulateFleet } from "./fleetSimulation.js";

const seeds = [1, 2];
const calmDay = { scale: 0.5, durationMs: 32_000, hotTeams: [], ownerAway: [], storeAway: [] };
/** Two teams submit many times their usual load, then no process owns the scheduling for a while, then the store is away. */
const overloadedDay: Omit<FleetSimulationOptions, "seed"> = {
    ...calmDay,
    hotTeams: [{ fromMs: 1_000, untilMs: 9_000, loadFactor: 0.6 }, { fromMs: 9_000, untilMs: 17_000, loadFactor: 1 }],
    ownerAway: [{ fromMs: 13_000, untilMs: 14_000 }],
    storeAway: [{ fromMs: 18_000, untilMs: 22_200 }],
};
const outagesEndMs = 22_200;
/** Fewer jobs leave too much to chance. */
const fewestJobs = 20;
/** An overload that is over costs a later surge no more than half of its worth. */
const leastPartOfCalm = 0.5;

describe("surges after an overload", () => {
    for (const seed of seeds) {
        it(`should earn at least half of what they earn on a calm day, seed ${seed}`, async () => {
            const [calm, overloaded] = await Promise.all([calmDay, overloadedDay].map(day => simulateFleet({ ...day, seed })));
            const earnedOnCalmDay = ({ queueName, startMs }: SurgeResult): number =>
                calm!.surges.find(each => each.queueName === queueName && each.startMs === startMs)?.earnedPart ?? 0;
            const surges = overloaded!.surges.filter(each => each.startMs >= outagesEndMs && each.jobsCount >= fewestJobs);
            const tooLittle = surges.filter(each => each.earnedPart < leastPartOfCalm * earnedOnCalmDay(each));
            assert.ok(surges.length > 0);
            assert.deepEqual(
                tooLittle.map(each => `${each.queueName} from ${each.startMs} ms: ${each.earnedPart.toFixed(2)} earned`),
                [],
            );
        });
    }
});
