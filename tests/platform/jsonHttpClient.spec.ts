/** The HTTP client of the platform's services: what it returns for answers, failures and timeouts, and which connections it reuses. */
import assert from "node:assert/strict";
import { once } from "node:events";
import net, { type AddressInfo } from "node:net";
import { after, afterEach, before, describe, it } from "node:test";
import { createJsonHttpClient, type JsonHttpClient } from "../../platform/jsonHttpClient.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { JsonRequestResult } from "../../src/connection/serviceCalls.js";
import { jsonResponse, type RawServer, respondThenBlock, startRawServer } from "./rawServer.js";

const timers = createTimerService();
const shortTimeoutMs = 100;
const ampleTimeoutMs = 5_000;

describe("the HTTP client", () => {
    let server: RawServer;
    const clients: JsonHttpClient[] = [];
    const strayErrors: unknown[] = [];
    const noteStrayError = (error: unknown): void => void strayErrors.push(error);
    const openClient = (maxConnections: number): JsonHttpClient => {
        const client = createJsonHttpClient(server.address, maxConnections);
        clients.push(client);
        return client;
    };
    const get = (client: JsonHttpClient, path = "/", timeoutMs = ampleTimeoutMs): Promise<JsonRequestResult> =>
        client.call({ method: "GET", path, timeoutMs });
    const assertAnswered = (result: JsonRequestResult): Record<string, unknown> => {
        assert.ok(result.hasResponse, JSON.stringify(result));
        return result.response.body;
    };
    const assertFailed = (result: JsonRequestResult): { reason: string; wasNeverSent: boolean } => {
        assert.ok(!result.hasResponse, JSON.stringify(result));
        assert.notEqual(result.failure.reason, "");
        return result.failure;
    };

    before(async () => {
        process.on("unhandledRejection", noteStrayError);
        process.on("uncaughtException", noteStrayError);
        server = await startRawServer();
    });
    afterEach(async () => {
        clients.splice(0).forEach(client => client.close());
        server.reset();
        await delay(timers, 20);
        server.connectionsCount = 0;
        assert.deepEqual(strayErrors.splice(0), []);
    });
    after(() => {
        server.close();
        process.off("unhandledRejection", noteStrayError);
        process.off("uncaughtException", noteStrayError);
    });

    it("should send method, path, headers and body, and return status and body", async () => {
        server.respond = socket => socket.write(jsonResponse('{"reason":"þjónusta"}', "409 Conflict"));
        const client = openClient(1);
        const result = await client.call({
            method: "POST",
            path: "/api/hold?x=1",
            headers: { "expect-instance": "w-1" },
            body: { waitMs: 5, text: "ñandú" },
            timeoutMs: ampleTimeoutMs,
        });
        assert.ok(result.hasResponse);
        assert.equal(result.response.status, 409);
        assert.deepEqual(result.response.body, { reason: "þjónusta" });
        const [request] = server.requests;
        assert.match(request!.head, /^POST \/api\/hold\?x=1 HTTP\/1.1\r\n/);
        assert.match(request!.head, /\r\nexpect-instance: w-1(\r\n|$)/);
        assert.match(request!.head, /\r\ncontent-type: application\/json(\r\n|$)/);
        assert.deepEqual(JSON.parse(Buffer.from(request!.body, "latin1").toString()), { waitMs: 5, text: "ñandú" });
    });

    it("should send no body and no content type with a GET", async () => {
        server.respond = socket => socket.write(jsonResponse("{}"));
        assert.deepEqual(assertAnswered(await get(openClient(1), "/api/machines")), {});
        assert.doesNotMatch(server.requests[0]!.head, /content-/);
    });

    it("should return an empty object for an empty body", async () => {
        server.respond = socket => socket.write("HTTP/1.1 204 No Content\r\n\r\n");
        const result = await openClient(1).call({ method: "DELETE", path: "/", timeoutMs: ampleTimeoutMs });
        assert.ok(result.hasResponse);
        assert.equal(result.response.status, 204);
        assert.deepEqual(result.response.body, {});
    });

    it("should join a body that arrives in pieces, within a character as well", async () => {
        const bytes = Buffer.from(jsonResponse(JSON.stringify({ text: "þ".repeat(40_000) })));
        const cut = bytes.length - 1_001;
        server.respond = socket => {
            socket.write(bytes.subarray(0, cut));
            timers.after(20, () => socket.write(bytes.subarray(cut)));
        };
        assert.deepEqual(assertAnswered(await get(openClient(1))), { text: "þ".repeat(40_000) });
    });

    it("should read a chunked body", async () => {
        server.respond = socket => socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{"a":\r\n2\r\n1}\r\n0\r\n\r\n');
        assert.deepEqual(assertAnswered(await get(openClient(1))), { a: 1 });
    });

    it("should reuse the connection of an answered call", async () => {
        server.respond = socket => socket.write(jsonResponse("{}"));
        const client = openClient(1);
        for (let number = 0; number < 5; number++) {
            assertAnswered(await get(client));
        }
        assert.equal(server.connectionsCount, 1);
    });

    it("should ignore interim responses", async () => {
        server.respond = socket => socket.write(`HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${jsonResponse('{"a":1}')}`);
        const result = await get(openClient(1));
        assert.deepEqual(assertAnswered(result), { a: 1 });
        assert.equal(result.hasResponse && result.response.status, 200);
    });

    for (
        const { name, response } of [
            { name: "is not JSON", response: jsonResponse("<html>") },
            { name: "is cut JSON", response: jsonResponse('{"a":') },
            { name: "is a number", response: jsonResponse("17") },
            { name: "is null", response: jsonResponse("null") },
            { name: "switches protocols", response: "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" },
            { name: "is an unasked 100", response: "HTTP/1.1 100 Continue\r\n\r\n" },
            { name: "is not HTTP", response: "hello\r\n\r\n" },
        ]
    ) {
        it(`should report a failure of a sent call when the response ${name}, and go on`, async () => {
            server.respond = socket => socket.write(response);
            const client = openClient(1);
            assert.equal(assertFailed(await get(client)).wasNeverSent, false);
            server.respond = socket => socket.write(jsonResponse('{"a":1}'));
            assert.deepEqual(assertAnswered(await get(client)), { a: 1 });
        });
    }

    for (
        const { name, response } of [
            { name: "before the headers", response: "" },
            { name: "within the headers", response: "HTTP/1.1 200 OK\r\ncontent-le" },
            { name: "after the headers", response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n" },
            { name: "within the body", response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{}" },
            {
                name: "within the body of a closing response",
                response: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 20\r\n\r\n{}",
            },
            { name: "within a chunked body", response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n" },
        ]
    ) {
        for (const ending of ["end", "resetAndDestroy"] as const) {
            it(`should never return a response that stops ${name} (${ending})`, async () => {
                server.respond = socket => {
                    socket.write(response);
                    timers.after(20, () => socket[ending]());
                };
                const client = openClient(1);
                const result = await client.call({ method: "POST", path: "/", body: {}, timeoutMs: ampleTimeoutMs });
                assert.equal(assertFailed(result).wasNeverSent, false);
                assert.equal(server.requests.length, 1, "the request must not be sent again");
                server.respond = socket => socket.write(jsonResponse('{"a":1}'));
                assert.deepEqual(assertAnswered(await get(client)), { a: 1 });
            });
        }
    }

    for (
        const { name, response } of [
            { name: "is silent", response: "" },
            { name: "is silent after the headers", response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n" },
            { name: "is silent within the body", response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{}" },
        ]
    ) {
        it(`should time out when the server ${name}, and use a new connection afterwards`, async () => {
            server.respond = socket => socket.write(response);
            const client = openClient(1);
            const startedMs = timers.nowMs();
            const failure = assertFailed(await get(client, "/", shortTimeoutMs));
            assert.match(failure.reason, /Timeout/);
            assert.equal(failure.wasNeverSent, false);
            assert.ok(timers.nowMs() - startedMs >= shortTimeoutMs - 5);
            server.respond = socket => socket.write(jsonResponse('{"a":1}'));
            assert.deepEqual(assertAnswered(await get(client)), { a: 1 });
            assert.equal(server.connectionsCount, 2);
        });
    }

    it("should read a response that arrived in time while the process was busy beyond the timeout", async () => {
        server.respond = respondThenBlock(jsonResponse('{"a":1}'), 2 * shortTimeoutMs);
        assert.deepEqual(assertAnswered(await get(openClient(1), "/", shortTimeoutMs)), { a: 1 });
    });

    it("should time out when the body trickles in", async () => {
        const lifetime = new AbortController();
        server.respond = socket => {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
            timers.every(10, lifetime.signal, () => socket.write(" "));
        };
        assert.match(assertFailed(await get(openClient(1), "/", shortTimeoutMs)).reason, /Timeout/);
        lifetime.abort();
    });

    it("should report a refused connection as never sent", async () => {
        const closed = net.createServer().listen(0, "127.0.0.1");
        await once(closed, "listening");
        const { port } = closed.address() as AddressInfo;
        closed.close();
        await once(closed, "close");
        const client = createJsonHttpClient(`127.0.0.1:${port}`, 1);
        clients.push(client);
        for (let number = 0; number < 3; number++) {
            const failure = assertFailed(await client.call({ method: "POST", path: "/", body: {}, timeoutMs: ampleTimeoutMs }));
            assert.match(failure.reason, /ECONNREFUSED/);
            assert.equal(failure.wasNeverSent, true);
        }
    });

    it("should answer many calls over few connections while one is silent", async () => {
        server.respond = (socket, { head }) => {
            if (!head.startsWith("GET /silent")) {
                socket.write(jsonResponse(JSON.stringify({ path: head.split(" ")[1] })));
            }
        };
        const client = openClient(3);
        const silent = get(client, "/silent", shortTimeoutMs);
        const paths = Array.from({ length: 200 }, (_, index) => `/${index}`);
        const bodies = (await Promise.all(paths.map(path => get(client, path)))).map(assertAnswered);
        assert.deepEqual(bodies.map(body => body["path"]), paths);
        assert.match(assertFailed(await silent).reason, /Timeout/);
        assert.ok(server.connectionsCount <= 4, `${server.connectionsCount} connections`);
    });

    it("should not send a call whose time ended while it waited for a connection", async () => {
        server.respond = (socket, { head }) => {
            if (head.startsWith("GET /slow")) {
                timers.after(3 * shortTimeoutMs, () => socket.write(jsonResponse("{}")));
            }
            else {
                socket.write(jsonResponse("{}"));
            }
        };
        const client = openClient(1);
        const slow = get(client, "/slow");
        const late = await get(client, "/late", shortTimeoutMs);
        assert.match(assertFailed(late).reason, /Timeout/);
        assertAnswered(await slow);
        assertAnswered(await get(client, "/next"));
        assert.deepEqual(server.requests.map(({ head }) => head.split(" ")[1]), ["/slow", "/next"]);
    });

    it("should report a timeout while waiting for a connection at once and as never sent, and keep the connection", async () => {
        server.respond = (socket, { head }) => {
            if (head.startsWith("GET /slow")) {
                timers.after(4 * shortTimeoutMs, () => socket.write(jsonResponse("{}")));
            }
            else {
                socket.write(jsonResponse("{}"));
            }
        };
        const client = openClient(1);
        let isSlowAnswered = false;
        const slow = get(client, "/slow").then(result => {
            isSlowAnswered = true;
            return result;
        });
        const failure = assertFailed(await get(client, "/late", shortTimeoutMs));
        assert.equal(isSlowAnswered, false);
        assert.equal(failure.wasNeverSent, true);
        assertAnswered(await slow);
        assertAnswered(await get(client, "/next"));
        assert.equal(server.connectionsCount, 1);
    });

    it("should fail open, waiting and later calls when it is closed", async () => {
        server.respond = () => undefined;
        const client = openClient(1);
        const open = get(client);
        const waiting = [get(client), get(client)];
        await delay(timers, 30);
        client.close();
        assert.equal(assertFailed(await open).wasNeverSent, false);
        (await Promise.all(waiting)).forEach(assertFailed);
        assertFailed(await get(client));
    });

    it("should report a request that cannot be sent, and leave no later call without an outcome", async () => {
        server.respond = socket => socket.write(jsonResponse("{}"));
        const client = openClient(1);
        const circular: Record<string, unknown> = {};
        circular["self"] = circular;
        assertFailed(await client.call({ method: "POST", path: "/", body: circular, timeoutMs: ampleTimeoutMs }));
        assertAnswered(await get(client));
        assertFailed(await get(client, "no slash"));
        assertFailed(await client.call({ method: "GET", path: "/", headers: { "a b": "c" }, timeoutMs: shortTimeoutMs }));
        const later = await Promise.race([get(client, "/", shortTimeoutMs), delay(timers, 20 * shortTimeoutMs)]);
        assert.ok(later, "the call has no outcome");
    });
});
