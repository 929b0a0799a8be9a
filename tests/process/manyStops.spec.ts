/** Guards against an owner that ends by its memory when a job of many running tasks is cancelled, because all stops are open at once. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { OrderResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults } from "./sessionDefaults.js";

const tasksCount = 500;
const mostOpenStops = 64;
const request = { cpuMillicores: 1, memoryMb: 1, accelerators: 0 };

/** Cancels a job with many running tasks, and passes its stops to a session whose client answers when the test says so. */
function createFixture(context: TestContext) {
    const harness = createSchedulerHarness({ workers: 1 });
    const { scheduler } = harness;
    harness.list("w1", { sentAtMs: 0 });
    harness.submit("job", { taskCount: tasksCount, request });
    while (harness.startedTasks().length < tasksCount) {
        harness.answerStarts(commandOutcomes.accepted);
    }
    harness.answerStarts(commandOutcomes.accepted);
    const stoppedTasks: string[] = [];
    const answers: (() => void)[] = [];
    const client = {
        list: () => new Promise(() => undefined),
        stop: ({ taskName }: { taskName: string }): Promise<OrderResponse> => {
            stoppedTasks.push(taskName);
            return new Promise(resolve => answers.push(() => resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false })));
        },
        close: () => undefined,
    } as unknown as WorkerClient;
    const session = createWorkerSession({
        client,
        scheduler,
        timers: createManualTimerService(),
        ...sessionDefaults,
    });
    context.after(() => session.close());
    scheduler.takeCommands();
    scheduler.cancelJob("job", 0);
    scheduler.takeCommands().forEach(command => command.kind === commandKinds.stop && session.execute(command));
    const answerAll = async (): Promise<void> => {
        answers.splice(0).forEach(answer => answer());
        await new Promise(resolve => setImmediate(resolve));
    };
    return { scheduler, session, stoppedTasks, answerAll };
}

describe("the stops of many runs on a worker", () => {
    it("should be open in a bounded number, and all be sent as they are answered", async context => {
        const { stoppedTasks, answerAll } = createFixture(context);
        assert.equal(stoppedTasks.length, mostOpenStops);
        for (let round = 0; round < Math.ceil(tasksCount / mostOpenStops); round++) {
            await answerAll();
        }
        assert.equal(new Set(stoppedTasks).size, tasksCount);
        assert.equal(stoppedTasks.length, tasksCount);
    });

    it("should be repeated through the next session if they wait when the session is closed", async context => {
        const { scheduler, session, stoppedTasks, answerAll } = createFixture(context);
        session.close();
        await answerAll();
        const repeated = scheduler.takeCommands().flatMap(command => command.kind === commandKinds.stop ? [command.run.taskName] : []);
        assert.equal(stoppedTasks.length, mostOpenStops, "nothing is sent after the end of the session");
        assert.equal(new Set(repeated).size, tasksCount);
    });
});
