/** Bounds the work of a pass by counting how often a task's needs are read, so that the result does not depend on the machine. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { Resources } from "../../src/scheduling/jobTypes.js";
import { countReads } from "./countReads.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const cpuMillicores = 16_000;
const passesCount = 10;
/** Reads for each waiting step in a pass: a few checks by itself, whatever the number of workers. */
const readsPerStep = 4;
/** Reads for each worker in a pass: one search for room, for each of the needs below that fits nowhere. */
const readsPerWorker = 4;

/** A pool whose workers are full of tasks that run on, and a surge of jobs that wait for room. */
function createFullPool(workersCount: number, jobsCount: number, surge: (index: number) => Partial<Resources>): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: workersCount, cpuMillicores });
    const workerIds = [...harness.scheduler.state.workers.keys()];
    workerIds.forEach(workerId => harness.list(workerId, { sentAtMs: 0 }));
    // Each worker keeps a core and 32,000 MB free: too little CPU for one half of the surge, too little memory for the other.
    harness.submit("running", { taskCount: workersCount, request: { cpuMillicores: 15_000, memoryMb: 32_000, accelerators: 0 } });
    harness.answerStarts(commandOutcomes.accepted);
    assert.equal(harness.startedTasks().length, workersCount);
    for (let index = 0; index < jobsCount; index++) {
        const request = { cpuMillicores: 2_000, memoryMb: 1_000, accelerators: 0, ...surge(index) };
        harness.submit(`waiting${index}`, { taskCount: 8, request });
    }
    return harness;
}

/** Counts the reads of the waiting tasks' needs in some passes after which every task still waits. */
function countReadsOfNeeds(harness: SchedulerHarness): number {
    let readsCount = 0;
    for (const job of harness.scheduler.state.jobs.values()) {
        for (const step of job.jobId === "running" ? [] : [...job.occurrences.values()].flatMap(each => each.steps)) {
            step.spec = { ...step.spec, request: countReads(step.spec.request, () => readsCount += 1) };
        }
    }
    const startsBefore = harness.startedTasks().length;
    for (let pass = 0; pass < passesCount; pass++) {
        harness.advance(1);
    }
    assert.equal(harness.startedTasks().length, startsBefore);
    return readsCount;
}

describe("the work of a pass in a surge beyond the pool's capacity", () => {
    const [workersCount, jobsCount] = [60, 400];
    const bound = passesCount * (readsPerStep * jobsCount + readsPerWorker * workersCount);

    it("should not compare every waiting step with every worker when no worker has room", () => {
        const readsCount = countReadsOfNeeds(createFullPool(workersCount, jobsCount, () => ({})));
        assert.ok(readsCount <= bound, `${readsCount} reads, at most ${bound}`);
    });

    it("should look for room once for each need that fits nowhere, although each resource by itself would suffice", () => {
        const harness = createFullPool(workersCount, jobsCount, index => ({ cpuMillicores: 1_500, memoryMb: 1_000 + index % 2 }));
        // One more worker has much CPU and no memory left.
        const [roomy] = harness.scheduler.state.workers.values();
        roomy!.entry = { ...roomy!.entry, capacity: { cpuMillicores: 17_000, memoryMb: 32_000, accelerators: 0 } };
        const readsCount = countReadsOfNeeds(harness);
        assert.ok(readsCount <= bound, `${readsCount} reads, at most ${bound}`);
    });

    it("should take run ids only for planned starts, so that a term never runs out of them", () => {
        const harness = createFullPool(workersCount, jobsCount, () => ({}));
        const numberBefore = harness.scheduler.state.nextRunNumber;
        harness.advance(1);
        assert.equal(harness.scheduler.state.nextRunNumber, numberBefore);
    });

    it("should not plan a part of a gang for which the pool has no room", () => {
        const harness = createSchedulerHarness({ workers: 3, cpuMillicores });
        ["w1", "w2", "w3"].forEach(workerId => harness.list(workerId, { sentAtMs: 0 }));
        const request = { cpuMillicores: 8_000, memoryMb: 0, accelerators: 0 };
        const { state } = harness.scheduler;
        const numberBefore = state.nextRunNumber;
        harness.submit("tooLarge", { taskCount: 7, isGang: true, request });
        harness.submit("tooLargeForRack", { taskCount: 3, isGang: true, isRackBound: true, request });
        assert.equal(state.nextRunNumber, numberBefore);
        harness.submit("fits", { taskCount: 6, isGang: true, request });
        assert.equal(harness.startedTasks().length, 6);
    });

    it("should start waiting tasks as soon as a worker has room for them", () => {
        const harness = createFullPool(workersCount, jobsCount, index => ({ cpuMillicores: 2_000 + index }));
        const startsBefore = harness.startedTasks().length;
        const { taskName, workerId } = harness.commands("start")[0]!;
        harness.advance(10);
        harness.list(workerId, { ended: [{ taskName, end: "done" }] });
        assert.equal(harness.startedTasks().length - startsBefore, 8);
    });
});
