/** Which connections give way when a listener is full: guards against requests that arrive without end, and against closing ordinary ones. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ConnectionState, rankForClosing } from "../../src/decisions/listenerLimits.js";

const receiving: ConnectionState = {
    silentMs: 0,
    unreadMs: 0,
    hasOpenRequest: true,
    isRequestIncomplete: true,
    requestMs: 0,
    requestBytes: 0,
    isUpgraded: false,
};

describe("a full listener", () => {
    it("should close a request that arrives byte by byte", () => {
        const trickled: ConnectionState = { ...receiving, requestMs: 5_000, requestBytes: 5 * 25 * 6 };
        assert.ok(rankForClosing(trickled) > 0);
        assert.ok(rankForClosing({ ...trickled, hasOpenRequest: false }) > 0, "also one whose response was sent");
    });

    it("should keep a slow sender that its client still waits for", () => {
        for (let requestMs = 0; requestMs <= 4_000; requestMs += 500) {
            assert.equal(rankForClosing({ ...receiving, silentMs: 400, requestMs, requestBytes: requestMs / 20 }), 0);
        }
    });

    it("should keep the longest body on a link of 2 Mbit/s that 25 others share", () => {
        const bytesPerS = 2_000_000 / 8 / 26;
        for (let requestMs = 500; requestMs * bytesPerS / 1_000 < 262_144; requestMs += 500) {
            assert.equal(rankForClosing({ ...receiving, silentMs: 200, requestMs, requestBytes: requestMs * bytesPerS / 1_000 }), 0);
        }
    });
});
