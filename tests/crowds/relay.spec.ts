/**
 * Crowds of hostile links against the listener of a platform process that makes calls for other processes. They guard against messages
 * that take far more memory than their size, and against calls and answers that many links hold at the same time.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createTimerService } from "../../src/common/timerService.js";
import { openCallRelayLink } from "../../src/connection/callRelay.js";
import { encodeRelayMessage } from "../../src/connection/callRelayMessages.js";
import { type PlatformCrowdTarget, startPlatformCrowdTarget } from "../platform/crowdTarget.js";
import { readCall, rejectedWriteCall, type StoreCall, watchCall, writeCall } from "../platform/relayedStoreCalls.js";
import { checkCrowd } from "./checkCrowd.js";
import { arrayHead, arrayOfEmptyMaps, binaryFrame, openLinkCrowd } from "./linkCrowd.js";

/** An idle process has some 100 MB. */
const limits = { memoryMb: 180, maxFds: 4_100 };
const heapMb = 80;
const largeBytes = 1_900_000;
const storedBytes = 200_000;
const timeoutMs = 10_000;

const callFrame = (callId: number, call: StoreCall): Buffer => binaryFrame(encodeRelayMessage({ callId, ...call, timeoutMs }));
const watchCalls = Array.from({ length: 8 }, (_, callId) => callFrame(callId, watchCall(timeoutMs)));
const largeCall = callFrame(100, rejectedWriteCall("x".repeat(largeBytes)));

describe("a listener for calls of other processes under hostile links", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({ addressPrefix: "127.95.1", limits, heapMb });
    });
    afterEach(() => target.stop());

    const checkLinks = (linksCount: number, pieces: readonly Buffer[], pauseMs?: number): Promise<void> =>
        checkCrowd(target, () => [openLinkCrowd({ address: target.addresses.peers, linksCount, pieces, pauseMs })]);

    it("should outlive a message that announces far more elements than it has", () => checkLinks(1, [binaryFrame(arrayHead(30_000_000))]));

    it("should outlive messages of many small values", () => checkLinks(8, [binaryFrame(arrayOfEmptyMaps(largeBytes))]));

    it("should outlive large messages that do not arrive whole", () =>
        checkLinks(100, [binaryFrame(Buffer.alloc(largeBytes)).subarray(0, largeBytes)]));

    it("should outlive large calls that wait for others", () =>
        checkCrowd(target, () => [
            openLinkCrowd({ address: target.addresses.peers, linksCount: 6, pieces: watchCalls }),
            openLinkCrowd({ address: target.addresses.peers, linksCount: 50, pieces: [largeCall] }),
        ]));

    it("should outlive answers that are not read", async () => {
        const timers = createTimerService();
        const link = openCallRelayLink({ address: target.addresses.peers, timers, onClosed: () => undefined });
        const item = { key: "~large", value: "x".repeat(storedBytes) };
        const written = await link.call({ ...writeCall(item), timeoutMs });
        assert.ok(written.hasResponse && written.response.status === 200, JSON.stringify(written));
        const read = callFrame(1, readCall(item.key));
        await checkLinks(40, Array.from({ length: 60 }, () => read), 150);
        link.close();
    });
});
