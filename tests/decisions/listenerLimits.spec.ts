/** Which connections give way when a listener is full: guards against requests that arrive without end, and against closing ordinary ones. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ConnectionState, heapBytesOfRequest, maxHeldHeapBytes, rankForClosing } from "../../src/decisions/listenerLimits.js";

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

describe("the heap that requests may hold", () => {
    const bytesPerMb = 1_048_576;
    const heapLimitBytes = 160 * bytesPerMb;
    const ordinaryHeaders = [
        "host",
        "queues.example",
        "credential",
        "k".repeat(40),
        "content-type",
        "application/json",
        "content-length",
        "900",
    ];

    it("should shrink with what the process itself holds", () => {
        const roomBeside = (liveMb: number): number => maxHeldHeapBytes({ heapLimitBytes, liveBytes: liveMb * bytesPerMb, heldBytes: 0 });
        assert.ok(roomBeside(100) > roomBeside(105));
        assert.ok(roomBeside(105) + 105 * bytesPerMb < heapLimitBytes);
    });

    it("should count what requests hold already as theirs", () => {
        const heldBytes = 10 * bytesPerMb;
        assert.equal(
            maxHeldHeapBytes({ heapLimitBytes, liveBytes: 100 * bytesPerMb + heldBytes, heldBytes }),
            maxHeldHeapBytes({ heapLimitBytes, liveBytes: 100 * bytesPerMb, heldBytes: 0 }),
        );
    });

    it("should have room for hundreds of ordinary requests in progress beside any process", () => {
        const leastBytes = maxHeldHeapBytes({ heapLimitBytes, liveBytes: heapLimitBytes, heldBytes: 0 });
        assert.ok(leastBytes > 400 * heapBytesOfRequest(ordinaryHeaders));
    });
});
