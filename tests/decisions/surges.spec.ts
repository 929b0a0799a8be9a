/** Checks on three sizes of fleet that queues which surge one after the other find the VMs that stand empty in other pools. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { requiredVms } from "../../src/decisions/planMoves.js";
import { createWaitingTrend } from "../../src/process/waitingTrend.js";
import { replaySurges } from "./surgeReplay.js";

const moveMs = 1_500;
/** Difference of mean waits that four seeds leave to chance. */
const chanceFraction = 0.1;
const fleets = {
    "few large VMs": {
        poolsCount: 4,
        vmsPerPool: 7,
        vmCpuMillicores: 64_000,
        tasksPerJob: 16,
        taskCpuMillicores: 7_700,
        taskMs: 1_300,
        surgeJobsPerS: 5,
        quietJobsPerS: 0.05,
        surgeMs: 8_000,
    },
    "few small VMs": {
        poolsCount: 4,
        vmsPerPool: 7,
        vmCpuMillicores: 16_000,
        tasksPerJob: 10,
        taskCpuMillicores: 880,
        taskMs: 640,
        surgeJobsPerS: 14,
        quietJobsPerS: 0.2,
        surgeMs: 4_500,
    },
    "many small VMs": {
        poolsCount: 4,
        vmsPerPool: 75,
        vmCpuMillicores: 16_000,
        tasksPerJob: 16,
        taskCpuMillicores: 4_900,
        taskMs: 2_100,
        surgeJobsPerS: 13,
        quietJobsPerS: 0.13,
        surgeMs: 4_500,
    },
};

describe("queues that surge one after the other", () => {
    for (const [name, fleet] of Object.entries(fleets)) {
        it(`should not wait longer than a move while enough VMs stand empty elsewhere: ${name}`, () => {
            for (const seed of [1, 2, 3]) {
                const { longestStarvationMs, waitsMs } = replaySurges({ ...fleet, seed, durationMs: 20_000 });
                assert.ok(longestStarvationMs <= moveMs, `seed ${seed}: ${longestStarvationMs} ms`);
                assert.ok(waitsMs.length > 0);
            }
        });
    }

    it("should wait no longer in a pool's first surge than in later ones, once another pool has had one", () => {
        const fleet = fleets["many small VMs"];
        const waits = [1, 2, 3, 4].map(seed => {
            const { meanWaitMsBySurge } = replaySurges({ ...fleet, seed, durationMs: 2 * fleet.poolsCount * fleet.surgeMs });
            return { first: meanWaitMsBySurge.slice(1, fleet.poolsCount), later: meanWaitMsBySurge.slice(fleet.poolsCount) };
        });
        const mean = (values: number[]): number => values.reduce((sum, each) => sum + each, 0) / values.length;
        const [first, later] = [mean(waits.flatMap(each => each.first)), mean(waits.flatMap(each => each.later))];
        assert.ok(first <= (1 + chanceFraction) * later, `${Math.round(first)} ms in first surges, ${Math.round(later)} ms in later ones`);
    });

    const quiet = {
        isStandby: false,
        vmCount: 4,
        occupiedVmCount: 0,
        incomingCount: 0,
        unplaceableCpuMillicores: 0,
        vmCpuMillicores: 10_000,
        busyCpuMillicores: 0,
        waitingCpuMillicores: 0,
        overdueCpuMillicores: 0,
        waitingGrowthMillicoresPerS: 0,
        arrivingCpuMillicores: 2_000,
        arrivingGrowthMillicoresPerS: 0,
        arrivingJobsCount: 4,
        usualJobsCount: 4,
        recentJobsCount: 8,
        peakCpuMillicores: 4_000,
        servingCpuMillicores: 0,
    };

    it("should give a pool that begins its first surge the VMs of another pool's surge", () => {
        const surged = 170_000;
        const rising = {
            ...quiet,
            poolName: "a",
            arrivingCpuMillicores: 85_000,
            arrivingJobsCount: 40,
            recentJobsCount: 60,
            arrivingGrowthMillicoresPerS: 17_000,
        };
        assert.equal(requiredVms(rising, surged).expectedCount, 20);
        assert.equal(requiredVms(rising, 0).expectedCount, 14, "those for two more seconds of growth");
        assert.equal(requiredVms({ ...quiet, poolName: "a" }, surged).expectedCount, 1, "a quiet pool gets none of them");
        const steady = { ...rising, peakCpuMillicores: 85_000, usualJobsCount: 40, arrivingGrowthMillicoresPerS: 0 };
        assert.equal(requiredVms(steady, surged).expectedCount, 10, "nor does one with the same load for long");
    });

    it("should give a pool whose waiting work grows the VMs for what will wait when they arrive", () => {
        const waiting = { ...quiet, poolName: "a", waitingCpuMillicores: 34_000 };
        assert.equal(requiredVms(waiting).expectedCount, 4);
        assert.equal(requiredVms({ ...waiting, waitingGrowthMillicoresPerS: 34_000 }).expectedCount, 8);
    });
});

describe("growth of waiting work", () => {
    it("should be measured over a second, and be 0 while less and less waits", () => {
        const trend = createWaitingTrend();
        assert.equal(trend.record("a", 0, 5_000), 0, "what waited before is not known");
        assert.equal(trend.record("a", 500, 9_000), 4_000);
        assert.equal(trend.record("b", 500, 9_000), 0);
        assert.equal(trend.record("a", 1_000, 10_000), 5_000);
        assert.equal(trend.record("a", 1_500, 10_000), 1_000);
        assert.equal(trend.record("a", 2_500, 3_000), 0);
        assert.equal(trend.record("a", 6_500, 11_000), 2_000, "over the whole time if nothing was recorded for longer");
    });
});
