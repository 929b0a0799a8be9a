/** Checks what a call reports when the server answers, is slow, breaks off, or cannot be reached. */
import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { createJsonHttpClient, type JsonHttpClient } from "../../platform/jsonHttpClient.js";

const host = "127.62.8.1";

describe("JSON client of the platform", () => {
    let server: Server;
    let client: JsonHttpClient;
    let answer: (request: IncomingMessage, response: ServerResponse) => void;
    let address = "";
    before(async () => {
        server = createServer((request, response) => answer(request, response));
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        address = `${host}:${(server.address() as AddressInfo).port}`;
        client = createJsonHttpClient(address, 1);
    });
    after(() => {
        client.close();
        server.closeAllConnections();
        server.close();
    });

    it("should send the body and headers, and return status, headers and body of the response", async () => {
        answer = (request, response) => {
            let text = "";
            request.on("data", chunk => text += String(chunk)).on("end", () => {
                response.writeHead(409, { "x-answer": "yes" });
                // The first part ends within a character.
                const bytes = Buffer.from(JSON.stringify({ got: JSON.parse(text), header: request.headers["x-sent"], word: "Señal" }));
                const middle = bytes.indexOf("ñ") + 1;
                response.write(bytes.subarray(0, middle), () => response.end(bytes.subarray(middle)));
            });
        };
        const result = await client.call({ method: "POST", path: "/a", headers: { "x-sent": "1" }, body: { b: 2 }, timeoutMs: 2_000 });
        assert.ok(result.hasResponse);
        assert.equal(result.response.status, 409);
        assert.equal(result.response.headers["x-answer"], "yes");
        assert.deepEqual(result.response.body, { got: { b: 2 }, header: "1", word: "Señal" });
    });

    it("should report a slow response as sent, and a call that waited for its connection too", async () => {
        answer = () => undefined;
        const calls = [1, 2].map(() => client.call({ method: "GET", path: "/slow", timeoutMs: 50 }));
        for (const result of await Promise.all(calls)) {
            assert.ok(!result.hasResponse);
            assert.equal(result.failure.wasNeverSent, false);
            assert.match(result.failure.reason, /no response within 50 ms/);
        }
    });

    it("should report a response that breaks off or is no JSON object", async () => {
        const call = () => client.call({ method: "GET", path: "/broken", timeoutMs: 2_000 });
        answer = (_, response) => {
            response.writeHead(200, { "content-length": 100 });
            response.write("{", () => response.destroy());
        };
        const brokenOff = await call();
        assert.ok(!brokenOff.hasResponse && !brokenOff.failure.wasNeverSent);
        answer = (_, response) => void response.end("[");
        const unreadable = await call();
        assert.ok(!unreadable.hasResponse && !unreadable.failure.wasNeverSent);
        answer = (_, response) => void response.end();
        const empty = await call();
        assert.ok(empty.hasResponse);
        assert.deepEqual(empty.response.body, {});
    });

    it("should report a refused connection as never sent, and a call after closing as failed", async () => {
        const unreachable = createJsonHttpClient(`${host}:1`, 1);
        const refused = await unreachable.call({ method: "GET", path: "/", timeoutMs: 2_000 });
        assert.ok(!refused.hasResponse && refused.failure.wasNeverSent);
        unreachable.close();
        const closed = await unreachable.call({ method: "GET", path: "/", timeoutMs: 2_000 });
        assert.ok(!closed.hasResponse);
    });
});
