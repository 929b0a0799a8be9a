/** Guards against VMs that come late for a surge of many small jobs, and against VMs that a few large jobs draw away from a surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { planMoves, type PoolDemand, requiredVmsByPool } from "../../src/decisions/planMoves.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";

const tickMs = 50;
const vmCpuMillicores = 16_000;
const smallJobMillicoreS = 18_000;
const largeJobMillicoreS = 160_000;
/** Difference that the intervals of a few jobs make. */
const chanceFraction = 0.1;

interface PoolLoad {
    vmCount: number;
    jobMillicoreS: number;
    jobsPerS(atS: number): number;
}

/** Jobs of each pool arrive in even intervals; returns what the pools ask for after `durationS` while nothing runs yet. */
function describePools(loads: Record<string, PoolLoad>, durationS: number): PoolDemand[] {
    let nowMs = 0;
    const demand = createDemandTracker(() => nowMs);
    const due = new Map<string, number>();
    for (; nowMs < durationS * 1_000; nowMs += tickMs) {
        for (const [poolName, { jobMillicoreS, jobsPerS }] of Object.entries(loads)) {
            let count = (due.get(poolName) ?? 0) + jobsPerS(nowMs / 1_000) * tickMs / 1_000;
            for (; count >= 1; count -= 1) {
                demand.recordArrival(poolName, jobMillicoreS, 0);
            }
            due.set(poolName, count);
        }
    }
    return Object.entries(loads).map(([poolName, { vmCount }]) => ({
        poolName,
        isStandby: poolName === "standby",
        vmCount,
        occupiedVmCount: 0,
        unplaceableCpuMillicores: 0,
        incomingCount: 0,
        vmCpuMillicores,
        busyCpuMillicores: 0,
        waitingCpuMillicores: 0,
        overdueCpuMillicores: 0,
        waitingGrowthMillicoresPerS: 0,
        servingCpuMillicores: 0,
        ...demand.read(poolName),
    }));
}

const standby: PoolLoad = { vmCount: 300, jobMillicoreS: 0, jobsPerS: () => 0 };
/** The first pool's surge of large jobs, which ended long ago. */
const formerSurge: PoolLoad = { vmCount: 20, jobMillicoreS: largeJobMillicoreS, jobsPerS: atS => atS < 6 ? 25 : 0.2 };

describe("the onset of a surge", () => {
    it("should be recognised within a second by many jobs, however large those of other queues are", () => {
        // The surge rises to 70 jobs a second within 4 s.
        const rising: PoolLoad = { vmCount: 20, jobMillicoreS: smallJobMillicoreS, jobsPerS: atS => atS < 20 ? 1 : 1 + 17 * (atS - 20) };
        const required = requiredVmsByPool(describePools({ formerSurge, rising, standby }, 21));
        // Those of its height, at a usable 85% of each VM.
        const neededAtHeight = Math.ceil(70 * smallJobMillicoreS / (0.85 * vmCpuMillicores));
        const { expectedCount } = required.get("rising")!;
        assert.ok(expectedCount >= neededAtHeight, `${expectedCount} VMs are expected of ${neededAtHeight}`);
    });

    it("should be followed ahead by as much as it grows while VMs move, also while no queue has surged before", () => {
        const rising: PoolLoad = { vmCount: 20, jobMillicoreS: smallJobMillicoreS, jobsPerS: atS => atS < 20 ? 1 : 1 + 17 * (atS - 20) };
        const moveS = 1.5;
        for (const sinceS of [2, 3]) {
            const { expectedCount } = requiredVmsByPool(describePools({ rising, standby }, 20 + sinceS)).get("rising")!;
            const jobsPerSThen = 17 * (sinceS + moveS);
            const neededThen = Math.ceil(jobsPerSThen * smallJobMillicoreS / (0.85 * vmCpuMillicores));
            assert.ok(
                expectedCount >= (1 - chanceFraction) * neededThen,
                `after ${sinceS} s, ${expectedCount} VMs are expected of ${neededThen}`,
            );
        }
    });

    for (const [title, after] of Object.entries({ "before the queue has surged": 0, "after its surge": 6 })) {
        it(`should not be seen in two large jobs, ${title}`, () => {
            const quiet: PoolLoad = {
                vmCount: 20,
                jobMillicoreS: 4 * largeJobMillicoreS,
                // Two jobs in the last half second, and none in the ten seconds before.
                jobsPerS: atS => atS < after ? 7 : atS < 10 ? 0.1 : atS < 20.5 ? 0 : 4,
            };
            const pools = describePools({ formerSurge, quiet, standby }, 21);
            const emptyVms = Array.from(
                { length: 300 },
                (_, index) => ({ vmId: `vm${index}`, poolName: "standby", emptySinceMs: 0, vmCpuMillicores, isDraining: false }),
            );
            const { arrivingCpuMillicores, recentJobsCount } = pools.find(pool => pool.poolName === "quiet")!;
            assert.deepEqual([arrivingCpuMillicores, recentJobsCount], [8 * largeJobMillicoreS, 2]);
            const { moves } = planMoves({ nowMs: 21_000, pools, emptyVms, drainableVms: [] });
            assert.deepEqual(moves.filter(move => move.toPool === "quiet"), []);
        });
    }
});
