/** Guards against a call that begins again and again because its response takes longer than its timeout to arrive. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createJsonHttpClient } from "../../platform/jsonHttpClient.js";
import { createTimerService } from "../../src/common/timerService.js";
import type { JsonRequestResult } from "../../src/connection/serviceCalls.js";
import { jsonResponse, type RawServer, startRawServer } from "./rawServer.js";

const timers = createTimerService();
const timeoutMs = 100;
const ampleTransferMs = 5_000;
const text = JSON.stringify({ text: "x".repeat(60) });

describe("a response that arrives slowly", () => {
    let server: RawServer;

    before(async () => {
        server = await startRawServer();
    });
    after(() => {
        server.reset();
        server.close();
    });

    const call = async (transferTimeoutMs: number): Promise<{ result: JsonRequestResult; tookMs: number }> => {
        const client = createJsonHttpClient(server.address, 1);
        const startedAtMs = timers.nowMs();
        const result = await client.call({ method: "GET", path: "/", timeoutMs, transferTimeoutMs });
        client.close();
        return { result, tookMs: timers.nowMs() - startedAtMs };
    };
    const assertTimedOut = (result: JsonRequestResult): void =>
        assert.match(result.hasResponse ? "responded" : result.failure.reason, /Timeout/);
    /** Sends a byte each 10 ms, up to the given length. */
    const respondSlowly = (length: number, signal: AbortSignal): void => {
        server.respond = socket => {
            socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n`);
            let sentCount = 0;
            timers.every(10, signal, () => {
                if (sentCount < length) {
                    socket.write(text[sentCount++]!);
                }
            });
        };
    };

    it("should be read beyond the timeout while it keeps arriving", async context => {
        respondSlowly(text.length, context.signal);
        const { result } = await call(ampleTransferMs);
        assert.deepEqual(result.hasResponse && result.response.body, JSON.parse(text));
    });

    it("should time out when it stops arriving", async context => {
        respondSlowly(20, context.signal);
        const { result, tookMs } = await call(ampleTransferMs);
        assertTimedOut(result);
        assert.ok(tookMs < ampleTransferMs / 2, `${tookMs} ms`);
    });

    it("should time out when it arrives for longer than is allowed", async context => {
        respondSlowly(text.length, context.signal);
        assertTimedOut((await call(2 * timeoutMs)).result);
    });

    for (const [name, partTimeoutMs, isCut] of [["the timeout", timeoutMs, false], ["the connection is cut", 5_000, true]] as const) {
        it(`should be reported with the size of the part that arrived before ${name}`, async () => {
            const partial = jsonResponse('{"key":"value"}').slice(0, -4);
            server.respond = socket => isCut ? socket.end(partial) : socket.write(partial);
            const client = createJsonHttpClient(server.address, 1);
            const result = await client.call({ method: "GET", path: "/", timeoutMs: partTimeoutMs });
            client.close();
            assert.equal(!result.hasResponse && result.failure.receivedBytes, 11);
        });
    }

    it("should time out at once when nothing arrives", async () => {
        server.respond = () => undefined;
        const { result, tookMs } = await call(ampleTransferMs);
        assertTimedOut(result);
        assert.ok(tookMs < 3 * timeoutMs, `${tookMs} ms`);
    });
});
