/** Guards against starts sent by a process that lost the ownership between the decision and the call. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";

describe("worker session", () => {
    it("should not send a start that was decided before the ownership was lost", async () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        const timers = createTimerService();
        let maySendOrders = true;
        const sent: string[] = [];
        const client = {
            list: async () => {
                await delay(timers, 20);
                return {
                    outcome: commandOutcomes.accepted,
                    reason: "",
                    isFenced: false,
                    clockMs: 1_000,
                    listing: { bornWallMs: 0, running: [], ended: [] },
                };
            },
            start: (order: { taskName: string }) => {
                sent.push(order.taskName);
                return Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false });
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        let signalListed: () => void = () => undefined;
        const listed = new Promise<void>(resolve => signalListed = resolve);
        const session = createWorkerSession({
            workerId: "w1",
            client,
            scheduler,
            timers,
            leaseMs: 6_000,
            maySendOrders: () => maySendOrders,
            isLeaseValid: () => true,
            onFenced: () => undefined,
            onSchedulerChanged: () => signalListed(),
        });
        await listed;
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        maySendOrders = false;
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await Promise.resolve();
        assert.deepEqual(sent, []);
        assert.equal(scheduler.state.workers.get("w1")?.runs.size, 0, "the run was removed from the worker");
        session.close();
    });
});
