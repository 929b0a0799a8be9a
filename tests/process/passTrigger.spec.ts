/** Checks that a stream of events causes few passes of the scheduler, and that none of them waits for long. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import { createPassTrigger, minPassIntervalMs } from "../../src/process/passTrigger.js";

/** Lets all callbacks of the current turn of the event loop run. */
const nextTurn = (): Promise<void> => new Promise(resolve => void setImmediate(resolve));

describe("trigger of the scheduler's passes", () => {
    it("should handle an event after a quiet time at once, and one pass handle all events of a turn", async () => {
        const timers = createManualTimerService();
        let passesCount = 0;
        const trigger = createPassTrigger(timers, () => passesCount += 1);
        trigger.request();
        trigger.request();
        await nextTurn();
        assert.equal(passesCount, 1);
        timers.advance(1_000);
        assert.equal(passesCount, 1, "no pass without an event");
        trigger.request();
        await nextTurn();
        assert.equal(passesCount, 2);
    });

    it("should bound the passes under a stream of events, and handle each within the interval", async () => {
        const timers = createManualTimerService();
        let passesCount = 0;
        let oldestEventAtMs: number | undefined;
        let longestWaitMs = 0;
        const trigger = createPassTrigger(timers, () => {
            passesCount += 1;
            longestWaitMs = Math.max(longestWaitMs, timers.nowMs() - (oldestEventAtMs ?? timers.nowMs()));
            oldestEventAtMs = undefined;
        });
        const durationMs = 1_000;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
            timers.advance(1);
            oldestEventAtMs ??= timers.nowMs();
            trigger.request();
            await nextTurn();
        }
        assert.ok(passesCount <= durationMs / minPassIntervalMs + 1, `${passesCount} passes`);
        assert.ok(longestWaitMs <= minPassIntervalMs, `${longestWaitMs} ms`);
        timers.advance(minPassIntervalMs);
        assert.equal(oldestEventAtMs, undefined, "the last event was handled");
    });
});
