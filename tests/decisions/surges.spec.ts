/** Checks on three sizes of fleet that queues which surge one after the other find the VMs that stand empty in other pools. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { replaySurges } from "./surgeReplay.js";

const moveMs = 1_500;
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
});
