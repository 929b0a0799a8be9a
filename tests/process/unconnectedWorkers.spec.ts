/** Guards against an owner that starts nothing at all because the connection to one of its workers cannot be created. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSessions } from "../../src/process/workerSessions.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults } from "./sessionDefaults.js";

describe("a worker that cannot be connected", () => {
    it("should be reported once, left alone until its address changes, and not hold up the others", () => {
        const { scheduler, nowMs } = createSchedulerHarness({ workers: 3 });
        const connected: string[] = [];
        const failed: string[] = [];
        const sessions = createWorkerSessions({
            connectWorker: ({ workerId, address }) => {
                if (workerId === "w1" && address !== "10.0.0.1:80") {
                    throw new Error("invalid address");
                }
                connected.push(workerId);
                return { list: () => new Promise(() => undefined), close: () => undefined } as unknown as WorkerClient;
            },
            timers: createManualTimerService(),
            ...sessionDefaults,
            onFailed: workerId => failed.push(workerId),
        });
        for (let pass = 0; pass < 5; pass++) {
            sessions.sync(scheduler);
        }
        assert.deepEqual([connected, failed], [["w2", "w3"], ["w1"]]);
        const { entry } = scheduler.state.workers.get("w1")!;
        scheduler.registerWorker({ ...entry, address: "10.0.0.1:80" }, { nowMs: nowMs(), wallMs: nowMs() });
        sessions.sync(scheduler);
        assert.deepEqual([connected, failed], [["w2", "w3", "w1"], ["w1"]]);
        sessions.close();
    });
});
