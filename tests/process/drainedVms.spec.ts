/** Checks that VMs which run only overdue tasks are drained and moved while another pool's work in time waits, and no others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type JobInput, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";
import { type RebalancerFixture, startRebalancer } from "./rebalancerFixture.js";

const vms = [describeVm({ vmId: "vm1", workerId: "w1" }), describeVm({ vmId: "vm2", workerId: "w2" })];
/** Long after the jobs of one task of a second could be in time. */
const overdueAtMs = 9_000;

const tasksOn = ({ scheduler }: SchedulerHarness, workerId: string): string[] =>
    [...scheduler.state.workers.get(workerId)!.runs.values()].map(run => run.taskName);

/** Each of two workers runs a task of a job; at `overdueAtMs`, the work of a second pool begins to wait. */
async function startOverdueRuns(firstJob: JobInput): Promise<{ harness: SchedulerHarness; fixture: RebalancerFixture }> {
    const harness = createSchedulerHarness({ workers: 2 });
    const { state } = harness.scheduler;
    const queues = new Map([...state.policy.queues, ["urgent", {
        ...state.policy.queues.get("queue")!,
        name: "urgent",
        poolName: "other",
    }]]);
    const pools = new Map([...state.policy.pools, ["other", { name: "other", isStandby: false }]]);
    state.policy = { ...state.policy, queues, pools };
    const fill = { request: { cpuMillicores: 12_000, memoryMb: 100, accelerators: 0 } };
    harness.list("w1", {});
    harness.list("w2", {});
    harness.submit("job1", { ...fill, ...firstJob });
    harness.submit("job2", fill);
    harness.answerStarts(commandOutcomes.accepted);
    for (let waitedMs = 0; waitedMs < overdueAtMs; waitedMs += 1_000) {
        harness.advance(1_000);
        ["w1", "w2"].forEach(workerId => harness.list(workerId, { running: tasksOn(harness, workerId) }));
    }
    harness.submit("job3", { queueName: "urgent", taskCount: 64 });
    return { harness, fixture: await startRebalancer(harness, vms) };
}

const cordonedWorkers = ({ scheduler }: SchedulerHarness): string[] =>
    [...scheduler.state.workers.values()].filter(worker => worker.isCordoned).map(worker => worker.entry.workerId);

describe("VMs with overdue tasks", () => {
    it("should get no new tasks while work in time waits elsewhere, and move as soon as they are empty", async () => {
        const { harness, fixture } = await startOverdueRuns({});
        await fixture.rebalancer.advance();
        assert.deepEqual(cordonedWorkers(harness), ["w1", "w2"]);
        assert.deepEqual(fixture.orders, []);

        harness.list("w1", { ended: tasksOn(harness, "w1").map(taskName => ({ taskName, end: runEnds.done })) });
        await fixture.rebalancer.advance();
        assert.deepEqual(fixture.orders, ["vm1 to other"]);
    });

    it("should get tasks again when the other work no longer waits, or no move may be ordered", async () => {
        const { harness, fixture } = await startOverdueRuns({});
        await fixture.rebalancer.advance();
        fixture.setMayOrder(false);
        await fixture.rebalancer.advance();
        assert.deepEqual(cordonedWorkers(harness), []);

        fixture.setMayOrder(true);
        await fixture.rebalancer.advance();
        assert.deepEqual(cordonedWorkers(harness), ["w1", "w2"]);
        harness.scheduler.cancelJob("job3", harness.nowMs());
        await fixture.rebalancer.advance();
        assert.deepEqual(cordonedWorkers(harness), []);
    });

    it("should not be drained while they run long-running tasks or tasks in time", async () => {
        const longRunning = await startOverdueRuns({ isLongRunning: true });
        await longRunning.fixture.rebalancer.advance();
        assert.equal(cordonedWorkers(longRunning.harness).length, 1);

        const inTime = await startOverdueRuns({ estimatedDurationMs: 60_000 });
        await inTime.fixture.rebalancer.advance();
        assert.equal(cordonedWorkers(inTime.harness).length, 1);
    });
});
