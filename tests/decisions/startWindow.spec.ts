/** Checks how the number of starts without a response follows the owner's lateness. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStartWindow, maxUnansweredStarts, type OwnerLoad } from "../../src/decisions/startWindow.js";

const tickMs = 100;

/** The owner's load at this time, if so many of the ten calls in each tick have been starts. */
function loadAt(nowMs: number, latenessMs: number, startsPerTick = 10): OwnerLoad {
    const ticks = nowMs / tickMs + 1;
    return { latenessMs, startsCount: startsPerTick * ticks, callsCount: 10 * ticks };
}

describe("window of starts", () => {
    it("should shrink while the owner is late, never to nothing, and grow again once it keeps up", () => {
        const window = createStartWindow();
        const sizes = (latenessMs: number, fromMs: number): number[] =>
            Array.from({ length: 60 }, (_, index) => fromMs + index * tickMs)
                .map(nowMs => window.furtherStarts(0, loadAt(nowMs, latenessMs), nowMs));
        const late = sizes(500, 0);
        assert.ok(late.at(-1)! > 0 && late.at(-1)! < late[0]! / 4, late.join());
        const inTime = sizes(5, 60 * tickMs);
        assert.ok(inTime.at(-1)! > 1_000, inTime.join());
    });

    it("should change once in the time in which a change shows, however many passes there are", () => {
        const window = createStartWindow();
        const first = window.furtherStarts(0, loadAt(0, 500), 0);
        assert.deepEqual([1, 20, 99].map(nowMs => window.furtherStarts(0, loadAt(nowMs, 500), nowMs)), [first, first, first]);
    });

    it("should leave what is not taken by starts without a response, and nothing once they exceed it", () => {
        const window = createStartWindow();
        const load = loadAt(0, 0);
        const size = window.furtherStarts(0, load, 0);
        assert.deepEqual([1, size, size + 1].map(count => window.furtherStarts(count, load, 0)), [size - 1, 0, 0]);
    });

    it("should give a worker few starts at first and by a late owner, and many by one that keeps up", () => {
        const window = createStartWindow();
        const first = window.startsPerWorker(0);
        Array.from({ length: 60 }, (_, index) => index * tickMs).forEach(nowMs => window.furtherStarts(0, loadAt(nowMs, 0), nowMs));
        assert.ok(first <= 4, `${first} at first`);
        assert.equal(window.startsPerWorker(5), maxUnansweredStarts);
        // Half of the timeout of a start, in turns of 100 ms with two connections.
        assert.equal(window.startsPerWorker(100), 5);
        assert.equal(window.startsPerWorker(5_000), 2);
    });

    it("should not collapse while an owner is late because of listings", () => {
        const sizeAfterOneSecond = (startsPerTick: number): number => {
            const window = createStartWindow();
            const ticks = Array.from({ length: 10 }, (_, index) => index * tickMs);
            return ticks.map(nowMs => window.furtherStarts(0, loadAt(nowMs, 115, startsPerTick), nowMs)).at(-1)!;
        };
        const first = createStartWindow().furtherStarts(0, loadAt(0, 0), 0);
        assert.ok(sizeAfterOneSecond(1) > first / 2, "one call of ten is a start");
        assert.ok(sizeAfterOneSecond(10) < first / 8, "all calls are starts");
    });
});
