/** Checks that a surge which begins when trouble is over does not pay for the backlog that the trouble has left in another pool. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SurgeResult } from "./earnedWorth.js";
import { type FleetSimulationOptions, simulateFleet } from "./fleetSimulation.js";

const seeds = [1, 2];
const calmDay = { scale: 0.5, durationMs: 32_000, hotTeams: [], ownerAway: [], storeAway: [] };
/** Two teams submit many times their usual load, then no process owns the scheduling for a while, then the store is away. */
const troubledDay: Omit<FleetSimulationOptions, "seed"> = {
    ...calmDay,
    hotTeams: [{ fromMs: 1_000, untilMs: 9_000, loadFactor: 0.6 }, { fromMs: 9_000, untilMs: 17_000, loadFactor: 1 }],
    ownerAway: [{ fromMs: 13_000, untilMs: 14_000 }],
    storeAway: [{ fromMs: 18_000, untilMs: 22_200 }],
};
const troubleEndsMs = 22_200;
/** Fewer jobs leave too much to chance. */
const fewestJobs = 20;
/** The floors of a kind of job on days with trouble are about half of those on calm days. */
const leastPartOfCalm = 0.5;

describe("surges after trouble", () => {
    for (const seed of seeds) {
        it(`should earn at least half of what they earn on a calm day, seed ${seed}`, async () => {
            const [calm, troubled] = await Promise.all([calmDay, troubledDay].map(day => simulateFleet({ ...day, seed })));
            const earnedOnCalmDay = ({ queueName, startMs }: SurgeResult): number =>
                calm!.surges.find(each => each.queueName === queueName && each.startMs === startMs)?.earnedPart ?? 0;
            const surges = troubled!.surges.filter(each => each.startMs >= troubleEndsMs && each.jobsCount >= fewestJobs);
            const tooLittle = surges.filter(each => each.earnedPart < leastPartOfCalm * earnedOnCalmDay(each));
            assert.ok(surges.length > 0);
            assert.deepEqual(
                tooLittle.map(each => `${each.queueName} from ${each.startMs} ms: ${each.earnedPart.toFixed(2)} earned`),
                [],
            );
        });
    }
});
