/** Checks that the session with a worker lists it as often as the policy of listings says. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

describe("listings of a worker", () => {
    it("should wait longer for a worker without runs, and pause after ended runs while this process is late", async context => {
        const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
        const { scheduler } = harness;
        const timers = createManualTimerService();
        const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 1_000 };
        const waits: number[] = [];
        let answer: (listing: object) => void = () => undefined;
        const client = {
            list: ({ waitMs }: { waitMs: number }) => {
                waits.push(waitMs);
                return new Promise(resolve =>
                    answer = listing => resolve({ ...accepted, listing: { bornWallMs: 0, running: [], ended: [], ...listing } })
                );
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        let latenessMs = 0;
        const session = createWorkerSession({
            client,
            scheduler,
            timers,
            ...sessionDefaults,
            latenessMs: () => latenessMs,
        });
        context.after(() => session.close());
        answer({});
        await settle();
        harness.submit("job", { taskCount: 2, formerWorkerIds: ["w1"] });
        const run = { taskName: "job.0.0.0", runId: 15_000_001 };
        answer({ running: [run] });
        await settle();
        assert.deepEqual(waits, [0, 1_700, 1_000], "the second was sent before the run was known");
        latenessMs = 1_000;
        answer({ ended: [{ endNumber: 1, taskName: run.taskName, runId: run.runId, end: "done", checkpoint: "" }] });
        await settle();
        timers.advance(200);
        await settle();
        assert.equal(waits.length, 3, "ends are collected");
        timers.advance(100);
        await settle();
        assert.equal(waits.length, 4);
    });
});
