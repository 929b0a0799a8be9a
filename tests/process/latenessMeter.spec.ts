/** How late a process counts as, by which the owner paces its listings. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService, type TimerService } from "../../src/common/timerService.js";
import { createLatenessMeter } from "../../src/process/latenessMeter.js";

const tickMs = 100;

/** Timers that fire when the test says so, like those of a process that is late. */
function createLateTimers() {
    let nowMs = 0;
    let callbacks: ((nowMs: number) => void)[] = [];
    const timers: TimerService = {
        ...createManualTimerService(),
        nowMs: () => nowMs,
        every: (_, signal, callback) => {
            callbacks.push(callback);
            signal.addEventListener("abort", () => callbacks = callbacks.filter(each => each !== callback));
        },
    };
    const fireAfter = (durationMs: number): void => {
        nowMs += durationMs;
        callbacks.forEach(callback => callback(nowMs));
    };
    return { timers, fireAfter };
}

describe("lateness of a process", () => {
    it("should rise at once and fall over some ticks", () => {
        const { timers, fireAfter } = createLateTimers();
        const meter = createLatenessMeter(timers);
        meter.start(new AbortController().signal);
        [tickMs, tickMs + 40, tickMs].forEach(fireAfter);
        assert.ok(meter.latenessMs() > 20 && meter.latenessMs() < 40);
        Array.from({ length: 20 }, () => fireAfter(tickMs));
        assert.ok(meter.latenessMs() < 1);
    });

    it("should not count the time between two terms of a process", () => {
        const { timers, fireAfter } = createLateTimers();
        const meter = createLatenessMeter(timers);
        const firstTerm = new AbortController();
        meter.start(firstTerm.signal);
        fireAfter(tickMs + 40);
        firstTerm.abort();
        fireAfter(60_000);
        meter.start(new AbortController().signal);
        assert.equal(meter.latenessMs(), 0);
        fireAfter(tickMs);
        assert.equal(meter.latenessMs(), 0);
    });
});
