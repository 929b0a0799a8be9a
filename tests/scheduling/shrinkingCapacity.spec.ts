/** Guards against starts that bring a worker over its capacity, which may shrink and grow again while the worker runs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { Resources } from "../../src/scheduling/jobTypes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness, type SchedulerHarnessOptions } from "./schedulerHarness.js";

const cores = (count: number): Resources => ({ cpuMillicores: count * 1_000, memoryMb: count * 16_000, accelerators: 0 });

function createPool(options: Partial<SchedulerHarnessOptions> = {}): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: 1, cpuMillicores: 4_000, ...options });
    [...harness.scheduler.state.workers.keys()].forEach(workerId => harness.list(workerId, { sentAtMs: 0 }));
    return harness;
}

function setCores(harness: SchedulerHarness, count: number, workerId = "w1"): void {
    harness.updateEntry(workerId, { capacity: cores(count) });
}

describe("a worker whose capacity shrinks", () => {
    it("should get no start for which it has no room any more, and get it when the capacity grows again", () => {
        const harness = createPool();
        setCores(harness, 2);
        harness.submit("job", { taskCount: 4 });
        assert.equal(harness.startedTasks().length, 2);
        harness.answerStarts(commandOutcomes.accepted);
        setCores(harness, 1);
        harness.list("w1", { running: ["job.0.0.0"], ended: [{ taskName: "job.0.0.1", end: "done" }] });
        assert.equal(harness.startedTasks().length, 2);
        setCores(harness, 4);
        assert.equal(harness.startedTasks().length, 4);
    });

    it("should not get starts that were planned before and are sent only when the store has taken a write", () => {
        const harness = createPool({ isSavedManually: true });
        harness.submit("job", { taskCount: 4 });
        // The write's answer arrives before the next pass.
        const { scheduler } = harness;
        scheduler.registerWorker({ ...scheduler.state.workers.get("w1")!.entry, capacity: cores(1) }, { nowMs: 0, wallMs: 0 });
        harness.saveAll();
        assert.equal(harness.startedTasks().length, 1);
    });

    it("should lose the reservations of planned starts that no longer fit, so that other workers can run them", () => {
        const harness = createPool({ workers: 2, isSavedManually: true });
        harness.submit("job", { taskCount: 4 });
        const { workerId } = [...harness.scheduler.state.plannedRuns][0]!;
        setCores(harness, 0, workerId);
        harness.saveAll();
        harness.saveAll();
        const workerIds = harness.commands(commandKinds.start).map(run => run.workerId);
        assert.deepEqual(workerIds, Array.from({ length: 4 }, () => workerId === "w1" ? "w2" : "w1"));
    });

    it("should get no part of a gang that was planned while there was room for all of it", () => {
        const harness = createPool({ workers: 2, isSavedManually: true });
        harness.submit("gang", { taskCount: 8, isGang: true });
        const { scheduler } = harness;
        scheduler.registerWorker({ ...scheduler.state.workers.get("w2")!.entry, capacity: cores(3) }, { nowMs: 0, wallMs: 0 });
        harness.saveAll();
        assert.deepEqual(harness.startedTasks(), []);
        setCores(harness, 4, "w2");
        harness.saveAll();
        assert.equal(harness.startedTasks().length, 8);
    });

    it("should keep the room of a run that is being stopped until it has ended", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 4 });
        harness.answerStarts(commandOutcomes.accepted);
        setCores(harness, 2);
        harness.scheduler.cancelJob("job", harness.nowMs());
        harness.submit("next", { taskCount: 1 });
        harness.answerStops(commandOutcomes.accepted);
        const left = ["job.0.0.0", "job.0.0.1", "job.0.0.2", "job.0.0.3"];
        for (const expectedStarts of [0, 0, 1]) {
            const taskName = left.pop()!;
            harness.list("w1", { running: left, ended: [{ taskName, end: "stopped" }] });
            assert.equal(harness.startedTasks().length - 4, expectedStarts, `${left.length} runs are being stopped`);
        }
    });

    it("should get no start beside a run of unknown size, although its capacity has grown since the run was listed", () => {
        const harness = createPool();
        setCores(harness, 1);
        harness.list("w1", { running: [{ taskName: "over.0.0.0", runId: 3 }] });
        setCores(harness, 4);
        harness.submit("job", { taskCount: 1 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.answerStops(commandOutcomes.accepted);
        harness.advance(10);
        harness.list("w1", { ended: [{ taskName: "over.0.0.0", runId: 3, end: "stopped" }] });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should get no planned start beside a run of unknown size that it lists meanwhile", () => {
        const harness = createPool({ isSavedManually: true });
        harness.submit("job", { taskCount: 1 });
        assert.equal(harness.scheduler.hasPlannedStarts(), true);
        harness.scheduler.listingReceived(
            "w1",
            { bornWallMs: 0, running: [{ taskName: "over.0.0.0", runId: 3, checkpoint: "", percent: 0, measured: 0 }], ended: [] },
            0,
            { nowMs: 0, wallMs: 0 },
        );
        harness.saveAll();
        assert.deepEqual(harness.startedTasks(), []);
    });

    it("should get no start for a filler that does not fit, and keep what it runs", () => {
        const harness = createPool();
        harness.submit("job", { taskCount: 4 });
        harness.answerStarts(commandOutcomes.accepted);
        setCores(harness, 2);
        harness.submit("filler", { taskCount: 1, isFiller: true });
        assert.equal(harness.startedTasks().length, 4);
        assert.deepEqual(harness.commands(commandKinds.stop), []);
    });
});
