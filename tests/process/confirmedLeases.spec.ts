/** Guards against a lease that counts as held for longer than its worker grants it, because a listing was read late. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

describe("the time until which a lease is held", () => {
    for (const lateMs of [100, 450, 1_500]) {
        it(`should not be later than the worker grants if a listing is read ${lateMs} ms after it was written`, async context => {
            const { scheduler } = createSchedulerHarness({ workers: 1 });
            const timers = createManualTimerService();
            const grantedMs: number[] = [];
            const answers: (() => void)[] = [];
            const list = ({ leaseUntilClockMs }: ListOrder): Promise<ListResponse> =>
                new Promise(resolve => {
                    grantedMs.push(leaseUntilClockMs ?? Number.NEGATIVE_INFINITY);
                    // The worker's clock is that of this process.
                    const clockMs = timers.nowMs();
                    const listing = { bornWallMs: 0, running: [], ended: [] };
                    answers.push(() => resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs, listing }));
                });
            const client = { list, close: () => undefined } as unknown as WorkerClient;
            const session = createWorkerSession({
                client,
                scheduler,
                timers,
                ...sessionDefaults,
            });
            context.after(() => session.close());
            for (const answerAfterMs of [lateMs, 0]) {
                await settle();
                timers.advance(answerAfterMs);
                answers.shift()!();
                await settle();
            }
            // The first request extends nothing, and the second one was the last to be answered.
            const { leaseHeldUntilMs } = scheduler.state.workers.get("w1")!;
            assert.ok(leaseHeldUntilMs <= grantedMs[1]!, `taken for held until ${leaseHeldUntilMs}, granted until ${grantedMs[1]}`);
        });
    }
});
