/** Checks how the number of starts without a response follows the owner's lateness. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStartWindow } from "../../src/decisions/startWindow.js";

const tickMs = 100;

describe("window of starts", () => {
    it("should shrink while the owner is late, never to nothing, and grow again once it keeps up", () => {
        const window = createStartWindow();
        const sizes = (latenessMs: number, fromMs: number): number[] =>
            Array.from({ length: 60 }, (_, index) => window.furtherStarts(0, latenessMs, fromMs + index * tickMs));
        const late = sizes(500, 0);
        assert.ok(late.at(-1)! > 0 && late.at(-1)! < late[0]! / 4, late.join());
        const inTime = sizes(5, 60 * tickMs);
        assert.ok(inTime.at(-1)! > 1_000, inTime.join());
    });

    it("should change once in the time in which a change shows, however many passes there are", () => {
        const window = createStartWindow();
        const first = window.furtherStarts(0, 500, 0);
        assert.deepEqual([1, 20, 99].map(nowMs => window.furtherStarts(0, 500, nowMs)), [first, first, first]);
    });

    it("should leave what is not taken by starts without a response, and nothing once they exceed it", () => {
        const window = createStartWindow();
        const size = window.furtherStarts(0, 0, 0);
        assert.deepEqual([1, size, size + 1].map(count => window.furtherStarts(count, 0, 0)), [size - 1, 0, 0]);
    });
});
