/** Checks that VMs which run only overdue tasks are drained and moved while another pool's work in time waits, and no others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type JobInput, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";
import { type RebalancerFixture, requestMoves, startRebalancer } from "./rebalancerFixture.js";

const workerIds = ["w1", "w2", "w3"];
const vms = workerIds.map((workerId, index) => describeVm({ vmId: `vm${index + 1}`, workerId }));
/** Long after the jobs of one task of a second could be in time. */
const overdueAtMs = 9_000;

const tasksOn = ({ scheduler }: SchedulerHarness, workerId: string): string[] =>
    [...scheduler.state.workers.get(workerId)!.runs.values()].map(run => run.taskName);

/** Each of three workers runs a task of a job, the last one the smallest; at `overdueAtMs`, the work of a second pool begins to wait. */
async function startOverdueRuns(firstJob: JobInput): Promise<{ harness: SchedulerHarness; fixture: RebalancerFixture }> {
    const harness = createSchedulerHarness({ workers: workerIds.length });
    const { state } = harness.scheduler;
    const queues = new Map([...state.policy.queues, ["urgent", {
        ...state.policy.queues.get("queue")!,
        name: "urgent",
        poolName: "other",
    }]]);
    const pools = new Map([...state.policy.pools, ["other", { name: "other", isStandby: false }]]);
    state.policy = { ...state.policy, queues, pools };
    const using = (cpuMillicores: number): JobInput => ({ request: { cpuMillicores, memoryMb: 100, accelerators: 0 } });
    workerIds.forEach(workerId => harness.list(workerId, {}));
    harness.submit("job1", { ...using(14_000), ...firstJob });
    harness.submit("job2", using(13_000));
    harness.submit("job3", using(12_000));
    harness.answerStarts(commandOutcomes.accepted);
    for (let waitedMs = 0; waitedMs < overdueAtMs; waitedMs += 1_000) {
        harness.advance(1_000);
        workerIds.forEach(workerId => harness.list(workerId, { running: tasksOn(harness, workerId) }));
    }
    harness.submit("urgent", { queueName: "urgent", taskCount: 64 });
    return { harness, fixture: await startRebalancer(harness, vms) };
}

const cordonedWorkers = ({ scheduler }: SchedulerHarness): string[] =>
    [...scheduler.state.workers.values()].filter(worker => worker.isCordoned).map(worker => worker.entry.workerId);

describe("VMs with overdue tasks", () => {
    it("should get no new tasks while work in time waits elsewhere, and move as soon as they are empty", async () => {
        const { harness, fixture } = await startOverdueRuns({});
        await requestMoves(fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(harness), ["w2", "w3"]);
        assert.deepEqual(fixture.orders, []);

        harness.list("w3", { ended: tasksOn(harness, "w3").map(taskName => ({ taskName, end: runEnds.done })) });
        await requestMoves(fixture.rebalancer);
        assert.deepEqual(fixture.orders, ["vm3 to other"]);
    });

    it("should get tasks again when the other work no longer waits, or no move may be ordered", async () => {
        const { harness, fixture } = await startOverdueRuns({});
        await requestMoves(fixture.rebalancer);
        fixture.setMayOrder(false);
        await requestMoves(fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(harness), []);

        fixture.setMayOrder(true);
        await requestMoves(fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(harness), ["w2", "w3"]);
        harness.scheduler.cancelJob("urgent", harness.nowMs());
        await requestMoves(fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(harness), []);
    });

    it("should not be drained while they run long-running tasks or tasks in time", async () => {
        const longRunning = await startOverdueRuns({ isLongRunning: true });
        await requestMoves(longRunning.fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(longRunning.harness), ["w3"]);

        const inTime = await startOverdueRuns({ estimatedDurationMs: 60_000 });
        await requestMoves(inTime.fixture.rebalancer);
        assert.deepEqual(cordonedWorkers(inTime.harness), ["w3"]);
    });
});
