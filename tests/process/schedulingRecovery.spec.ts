/**
 * Runs the scheduling of several processes on one store and two workers, with processes that are stopped or end, store calls
 * that are late, lost or executed late, and commands without a response. Once the faults have ended, all jobs must complete.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import { createSchedulingSimulation, type SchedulingSimulation, type SimulationOptions } from "./schedulingSimulation.js";

const historiesCount = 50;
const faultsDurationMs = 8_000;
/** Long enough for a lease to end while all processes are cut off, and for its owner to continue. */
const cutsDurationMs = 15_000;
/** The leases of a worker that a new owner does not know end after 10.4 s; the rest is for the tasks. */
const recoveryDurationMs = 16_000;
/** Starts after the faults have ended, even if no earlier crash was counted; a takeover may hide two more crashes. */
const maxDeadlyStarts = 5;

async function simulate(seed: number, options: SimulationOptions = {}, faultsMs = faultsDurationMs): Promise<SchedulingSimulation> {
    const simulation = createSchedulingSimulation(createSeededRandom(seed), options);
    await simulation.run(faultsMs, { hasFaults: true });
    await simulation.run(recoveryDurationMs, { hasFaults: false });
    simulation.close();
    return simulation;
}

describe("scheduling by several processes", () => {
    it("should complete all jobs after the faults have ended", async () => {
        let termsCount = 0;
        for (let seed = 1; seed <= historiesCount; seed++) {
            const simulation = await simulate(seed);
            assert.deepEqual(simulation.violations, [], `seed ${seed}`);
            assert.deepEqual(simulation.unfinishedJobs(), [], `seed ${seed}`);
            termsCount += simulation.termsCount();
        }
        assert.ok(termsCount > 3 * historiesCount, `only ${termsCount} terms in ${historiesCount} histories`);
    });

    it("should complete all jobs after processes have been cut off from the store, and start nothing again that is done", async () => {
        let [termsCount, continuedTermsCount] = [0, 0];
        for (let seed = 1; seed <= historiesCount; seed++) {
            const simulation = await simulate(seed, { cutsProcesses: true, jobsCount: 12, arrivalsMs: cutsDurationMs }, cutsDurationMs);
            assert.deepEqual(simulation.violations, [], `seed ${seed}`);
            assert.deepEqual(simulation.unfinishedJobs(), [], `seed ${seed}`);
            termsCount += simulation.termsCount();
            continuedTermsCount += simulation.continuedTermsCount();
        }
        assert.ok(termsCount > 2 * historiesCount, `only ${termsCount} terms in ${historiesCount} histories`);
        assert.ok(continuedTermsCount > 0, "no term was continued");
    });

    it("should give up a job whose tasks crash each worker that starts them, and complete the others", async () => {
        for (let seed = 1; seed <= historiesCount; seed++) {
            const simulation = await simulate(seed, { hasDeadlyJob: true });
            assert.deepEqual(simulation.violations, [], `seed ${seed}`);
            assert.equal(simulation.deadlyJobState(), "failed", `seed ${seed}`);
            assert.deepEqual(simulation.unfinishedJobs(), [], `seed ${seed}`);
            const startsCount = simulation.deadlyStartsCount();
            assert.ok(startsCount <= maxDeadlyStarts, `seed ${seed}: ${startsCount} starts`);
        }
    });

    it("should start nothing on workers whose capacity has shrunk, and complete all jobs", async () => {
        for (let seed = 1; seed <= historiesCount; seed++) {
            const simulation = await simulate(seed, { changesCapacity: true });
            assert.deepEqual(simulation.violations, [], `seed ${seed}`);
            assert.deepEqual(simulation.unfinishedJobs(), [], `seed ${seed}`);
        }
    });

    it("should detect the loss of a job by an owner that waits forever for the answer to a write", async () => {
        let unfinishedCount = 0;
        for (let seed = 1; seed <= historiesCount && unfinishedCount === 0; seed++) {
            unfinishedCount = (await simulate(seed, { leavesProgressUnanswered: true })).unfinishedJobs().length;
        }
        assert.notEqual(unfinishedCount, 0);
    });
});
