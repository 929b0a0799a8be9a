/** Orders of a process that may no longer give them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";

describe("a session with a worker", () => {
    it("should not send a start that was decided before the ownership was lost", async () => {
        const driven = createSchedulerHarness({ workers: 1 });
        const { scheduler } = driven;
        driven.list("w1", { sentAtMs: 0 });
        const timers = createTimerService();
        let mayGiveOrders = true;
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
        let noteListed: () => void = () => undefined;
        const listed = new Promise<void>(resolve => noteListed = resolve);
        const session = createWorkerSession({
            workerId: "w1",
            client,
            scheduler,
            timers,
            leaseMs: 6_000,
            maySendOrders: () => mayGiveOrders,
            isLeaseValid: () => true,
            onFenced: () => undefined,
            onSchedulerChanged: () => noteListed(),
        });
        await listed;
        driven.submit("job", { taskCount: 1 });
        const [run] = driven.commands(commandKinds.start);
        mayGiveOrders = false;
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await Promise.resolve();
        assert.deepEqual(sent, []);
        assert.equal(scheduler.state.workers.get("w1")?.runs.size, 0, "the task does not wait for another start");
        session.close();
    });
});
