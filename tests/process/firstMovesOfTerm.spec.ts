/** Checks that the moves that a surge needs are requested from the first plan of a term on. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";
import { requestMoves, startRebalancer } from "./rebalancerFixture.js";

const workerIds = ["w1", "w2", "w3"];
const vms = workerIds.map((workerId, index) => describeVm({ vmId: `vm${index + 1}`, workerId }));

/** A scheduler with a queue whose pool has no VMs, and workers in another pool. */
function createTerm(): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: workerIds.length });
    const { state } = harness.scheduler;
    const queues = new Map([...state.policy.queues, ["surging", {
        ...state.policy.queues.get("queue")!,
        name: "surging",
        poolName: "other",
    }]]);
    const pools = new Map([...state.policy.pools, ["other", { name: "other", isStandby: false }]]);
    state.policy = { ...state.policy, queues, pools };
    return harness;
}

const submitSurge = (harness: SchedulerHarness): void => harness.submit("surge", { queueName: "surging", taskCount: 24 });

describe("first moves of a term", () => {
    it("should take VMs that the first listings of the term show to be empty", async () => {
        const harness = createTerm();
        workerIds.forEach(workerId => harness.list(workerId, {}));
        submitSurge(harness);
        const { rebalancer, orders } = await startRebalancer(harness, vms);
        await requestMoves(rebalancer);
        assert.deepEqual(orders, ["vm1 to other", "vm2 to other"]);
    });

    it("should leave a VM in its pool at first whose task has just ended", async () => {
        const harness = createTerm();
        workerIds.forEach(workerId => harness.list(workerId, {}));
        harness.submit("job", { taskCount: 3, request: { cpuMillicores: 12_000, memoryMb: 100, accelerators: 0 } });
        harness.answerStarts(commandOutcomes.accepted);
        const { rebalancer, orders } = await startRebalancer(harness, vms);
        await requestMoves(rebalancer);
        for (const worker of [...harness.scheduler.state.workers.values()]) {
            const ended = [...worker.runs.values()].map(({ taskName }) => ({ taskName, end: runEnds.done }));
            harness.list(worker.entry.workerId, { ended });
        }
        submitSurge(harness);
        await requestMoves(rebalancer);
        assert.deepEqual(orders, []);
        harness.advance(300);
        await requestMoves(rebalancer);
        // Waiting work that has grown since the last plan is expected to go on growing.
        assert.deepEqual(orders, ["vm1 to other", "vm2 to other", "vm3 to other"]);
    });
});
