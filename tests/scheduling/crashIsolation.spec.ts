/** Guards against blaming a task for the crashes that another one on the same workers has caused, and against waiting for nothing. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { commandKinds, type Decision } from "../../src/scheduling/schedulerState.js";
import { isOfFormerIncarnation, type Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const workerRestartMs = 1_000;

/** Progress of a job of one task, under which this many workers have crashed. */
function progressAfter(crashesCount: number): JobProgress {
    const crashedRunIds = Array.from({ length: crashesCount }, (_, index) => index + 1);
    return { state: "running", occurrences: { "0": [{ done: [], tasks: { "0": { failedRunIds: [], checkpoint: "", crashedRunIds } } }] } };
}

function createPool(workersCount: number, onDecision?: (decision: Decision) => void): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: workersCount, cpuMillicores: 8_000, onDecision });
    listAll(harness);
    return harness;
}

/** All workers list what their present incarnations have started. */
function listAll(harness: SchedulerHarness): void {
    for (const worker of [...harness.scheduler.state.workers.values()].filter(each => each.isRegistered)) {
        const { entry, runs } = worker;
        const running = [...runs.values()].filter(run => !isOfFormerIncarnation(worker, run)).map(({ taskName, runId }) => ({
            taskName,
            runId,
        }));
        harness.extendLease(entry.workerId);
        harness.list(entry.workerId, { running, sentAtMs: harness.nowMs() });
    }
}

function runOf(harness: SchedulerHarness, jobId: string): Run | undefined {
    return [...harness.scheduler.state.workers.values()].flatMap(({ runs }) => [...runs.values()]).find(run => run.jobId === jobId);
}

/** A worker that starts a task of these jobs crashes at once. Returns how many have crashed. */
function crashUnder(harness: SchedulerHarness, jobIds: readonly string[], durationMs: number): number {
    let crashesCount = 0;
    for (const untilMs = harness.nowMs() + durationMs; harness.nowMs() < untilMs;) {
        harness.answerStarts(commandOutcomes.accepted);
        const crashed = new Set(jobIds.flatMap(jobId => runOf(harness, jobId)?.workerId ?? []));
        crashed.forEach(workerId => harness.restartWorker(workerId));
        crashesCount += crashed.size;
        harness.advance(workerRestartMs);
        listAll(harness);
    }
    return crashesCount;
}

describe("a task on a worker that another task crashes", () => {
    it("should not be given up, however often it is started beside tasks that are", () => {
        const givenUp: string[] = [];
        const harness = createPool(4, ({ what, jobId }) => {
            if (what === "job failed") {
                givenUp.push(jobId!);
            }
        });
        harness.submit("deadly1", { taskCount: 1 });
        harness.submit("deadly2", { taskCount: 1 });
        harness.submit("innocent", { taskCount: 12 });
        const crashesCount = crashUnder(harness, ["deadly1", "deadly2"], 30_000);
        assert.deepEqual(givenUp.sort(), ["deadly1", "deadly2"]);
        assert.ok(crashesCount <= 6, `${crashesCount} crashes`);
        const innocent = harness.scheduler.state.jobs.get("innocent")!;
        assert.equal(innocent.occurrences.get(0)!.steps[0]!.runs.size, 12);
    });

    it("should start again at once after an ordinary crash, whatever else has started there", () => {
        const harness = createPool(4);
        harness.submit("job", { taskCount: 16 });
        harness.answerStarts(commandOutcomes.accepted);
        listAll(harness);
        for (const workerId of ["w1", "w2"]) {
            harness.restartWorker(workerId);
            harness.list(workerId, {});
            assert.equal(harness.scheduler.state.jobs.get("job")!.occurrences.get(0)!.steps[0]!.waiting.size, 0);
        }
    });
});

describe("a task that the next crash would give up", () => {
    it("should start on a worker without other suspects", () => {
        const harness = createPool(2);
        harness.submit("suspect", { progress: progressAfter(1) });
        harness.submit("isolated", { progress: progressAfter(2) });
        harness.submit("other", { taskCount: 1 });
        assert.notEqual(runOf(harness, "isolated")!.workerId, runOf(harness, "suspect")!.workerId);
        assert.equal(runOf(harness, "other")!.workerId, runOf(harness, "suspect")!.workerId, "nothing joins it while it is young");
    });

    it("should wait for a suspect only until that has been at work for some seconds, while its siblings start", () => {
        const harness = createPool(1);
        harness.submit("suspect", { progress: progressAfter(1), isLongRunning: true });
        harness.submit("isolated", { taskCount: 3, progress: progressAfter(2) });
        assert.deepEqual(harness.startedTasks(), ["suspect.0.0.0", "isolated.0.0.1", "isolated.0.0.2"]);
        harness.answerStarts(commandOutcomes.accepted);
        harness.advance(2_000);
        listAll(harness);
        assert.equal(harness.startedTasks().at(-1), "isolated.0.0.0");
    });

    it("should hold up other starts on its worker for some seconds only", () => {
        const harness = createPool(1);
        harness.submit("isolated", { progress: progressAfter(2), isLongRunning: true });
        harness.submit("other", { taskCount: 1 });
        harness.answerStarts(commandOutcomes.accepted);
        assert.deepEqual(harness.startedTasks(), ["isolated.0.0.0"]);
        harness.advance(2_000);
        listAll(harness);
        assert.equal(harness.startedTasks().at(-1), "other.0.0.0");
    });

    it("should start with the other tasks of its gang, apart from other suspects", () => {
        const harness = createPool(2);
        harness.submit("suspect", { progress: progressAfter(1) });
        const request = { cpuMillicores: 2_000, memoryMb: 100, accelerators: 0 };
        harness.submit("gang", { taskCount: 4, isGang: true, request, progress: progressAfter(2) });
        const workerIds = harness.commands(commandKinds.start).filter(run => run.jobId === "gang").map(run => run.workerId);
        assert.equal(workerIds.length, 4);
        assert.equal(new Set(workerIds).size, 1);
        assert.notEqual(workerIds[0], runOf(harness, "suspect")!.workerId);
    });

    it("should take no run ids while it waits to run apart", () => {
        const harness = createPool(1);
        harness.submit("suspect", { progress: progressAfter(1) });
        harness.submit("gang", { taskCount: 2, isGang: true, progress: progressAfter(2) });
        const numberBefore = harness.scheduler.state.nextRunNumber;
        harness.advance(10);
        assert.equal(harness.scheduler.state.nextRunNumber, numberBefore);
    });
});
