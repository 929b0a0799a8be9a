/** A link to another process that passes on calls: what it tells the process, and when it gives an answer up. */
import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type WebSocket, WebSocketServer } from "ws";
import { createTimerService, delay } from "../../src/common/timerService.js";
import { type CallRelayLink, openCallRelayLink } from "../../src/connection/callRelay.js";
import { decodeRelayRequest, encodeRelayMessage, type RelayRequest } from "../../src/connection/callRelayMessages.js";
import type { JsonRequest, JsonRequestResult } from "../../src/connection/serviceCalls.js";

const timers = createTimerService();
const timeoutMs = 200;
const call: JsonRequest = { method: "GET", path: "/api/kv-range?prefix=a", timeoutMs };
const answer: JsonRequestResult = { hasResponse: true, response: { status: 200, body: { items: [] } } };

describe("a link to a process that passes on calls", () => {
    const requests: RelayRequest[] = [];
    let server: WebSocketServer;
    let link: CallRelayLink;
    let respond: (socket: WebSocket, callId: number) => void;

    beforeEach(async () => {
        requests.length = 0;
        server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
        server.on("connection", socket =>
            socket.on("message", data => {
                const request = decodeRelayRequest(data as Buffer).unwrap();
                requests.push(request);
                respond(socket, request.callId);
            }));
        await once(server, "listening");
        link = openCallRelayLink({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, timers, onClosed: () => undefined });
    });
    afterEach(() => {
        link.close();
        server.close();
    });

    it("should tell the process for how long a response may keep arriving", async () => {
        respond = (socket, callId) => socket.send(encodeRelayMessage({ callId, result: answer }));
        assert.deepEqual(await link.call({ ...call, transferTimeoutMs: 777 }), answer);
        assert.deepEqual(requests.map(request => request.transferTimeoutMs), [777]);
    });

    it("should give up an answer while something arrives for longer than is allowed", async context => {
        respond = socket => timers.every(20, context.signal, () => socket.ping());
        const startedAtMs = timers.nowMs();
        const result = await Promise.race([link.call({ ...call, transferTimeoutMs: 2 * timeoutMs }), delay(timers, 10 * timeoutMs)]);
        assert.ok(result, "the call has no outcome");
        assert.equal(!result.hasResponse && result.failure.wasNeverSent, false);
        const tookMs = timers.nowMs() - startedAtMs;
        assert.ok(tookMs >= 3 * timeoutMs, `${tookMs} ms`);
    });

    it("should read an answer that arrived in time while the process was busy beyond the timeout", async () => {
        respond = (socket, callId) =>
            socket.send(encodeRelayMessage({ callId, result: answer }), () => {
                const untilMs = timers.nowMs() + 3 * timeoutMs;
                while (timers.nowMs() < untilMs) {
                    // Wait.
                }
            });
        assert.deepEqual(await link.call(call), answer);
    });
});
