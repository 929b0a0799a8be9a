/** A server with limits: guards against requests and bytes that are lost or reordered by the limits, and answers that are lost. */
import assert from "node:assert/strict";
import { once } from "node:events";
import type http from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createTimerService } from "../../src/common/timerService.js";
import { createLimitedServer } from "../../src/listening/limitedServer.js";

const maxPendingRequests = 4;
const requestOf = (path: string): string => `GET /${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

describe("a server with limits", () => {
    const reported: string[] = [];
    let server: http.Server;
    let serve: http.RequestListener;
    let sockets: net.Socket[];

    beforeEach(async () => {
        reported.length = 0;
        sockets = [];
        server = createLimitedServer({
            limits: { maxConnections: 8, maxPendingRequests },
            report: limit => void reported.push(limit),
            timers: createTimerService(),
            serverOptions: { highWaterMark: 512 },
        }, (request, response) => serve(request, response));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.closeAllConnections();
        server.close();
    });
    const connect = (): net.Socket => {
        const socket = net.connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined).setEncoding("utf8");
        sockets.push(socket);
        return socket;
    };
    /** What the server sends until it closes the connection, or until `isWhole`. */
    const receive = async (socket: net.Socket, isWhole: (text: string) => boolean = () => false): Promise<string> => {
        let text = "";
        await new Promise<void>(resolve => {
            socket.on("data", (part: string) => {
                text += part;
                if (isWhole(text)) {
                    resolve();
                }
            });
            socket.once("close", () => resolve());
        });
        return text;
    };

    it("should answer as many pipelined requests as it allows, in order", async () => {
        serve = (request, response) => void setTimeout(() => response.end(`answer ${request.url}`), 5);
        const socket = connect();
        socket.write(["1", "2", "3", "4"].map(requestOf).join(""));
        const text = await receive(socket, received => received.includes("answer /4"));
        assert.deepEqual(text.match(/answer \/\d/g), ["answer /1", "answer /2", "answer /3", "answer /4"]);
        assert.deepEqual(reported, []);
    });

    it("should refuse one request too many after it has answered those before, and not handle those after", async () => {
        const handled: string[] = [];
        serve = (request, response) => {
            handled.push(request.url!);
            setTimeout(() => response.end("answer"), 5);
        };
        const socket = connect();
        socket.write(["1", "2", "3", "4", "5", "6", "7"].map(requestOf).join(""));
        const text = await receive(socket);
        assert.deepEqual(text.match(/HTTP\/1.1 \d+/g), [...Array<string>(maxPendingRequests).fill("HTTP/1.1 200"), "HTTP/1.1 429"]);
        assert.match(text, /retry-after: 1/);
        assert.match(text, /nothing was run/);
        assert.deepEqual(handled, ["/1", "/2", "/3", "/4"]);
    });

    it("should lose no byte of a body that is read late", async () => {
        const body = Array.from({ length: 20_000 }, (_, index) => String.fromCharCode(97 + index % 26)).join("");
        serve = (request, response) =>
            void setTimeout(async () => {
                let text = "";
                for await (const part of request) {
                    text += String(part);
                    await new Promise(resolve => setImmediate(resolve));
                }
                response.end(text === body ? "same" : "other");
            }, 50);
        const socket = connect();
        const chunks = Array.from({ length: 2_000 }, (_, index) => `a\r\n${body.slice(index * 10, index * 10 + 10)}\r\n`).join("");
        socket.write(`POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
        assert.match(await receive(socket, received => /same|other/.test(received)), /same/);
    });

    it("should answer 503 on connections beyond its limit while the others are in use", async () => {
        serve = () => undefined;
        for (let index = 0; index < 8; index++) {
            connect().write(requestOf("held"));
        }
        while (await new Promise<number>(resolve => server.getConnections((_, count) => resolve(count))) < 8) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const socket = connect();
        socket.write(requestOf("surplus"));
        const text = await receive(socket);
        assert.match(text, /^HTTP\/1.1 503/);
        assert.match(text, /nothing was run/);
    });

    // Guards against requests that the HTTP server answers by itself, which no limit counts.
    for (
        const [what, request, status] of [
            ["without a Host header", "GET / HTTP/1.1\r\n\r\n", 400],
            ["with an expectation that is not known", "GET / HTTP/1.1\r\nhost: a\r\nexpect: a\r\n\r\n", 417],
        ] as const
    ) {
        it(`should refuse a request ${what}, and not answer those after it`, async () => {
            serve = () => assert.fail("it was handled");
            const answersTo = async (requestsCount: number): Promise<string[]> => {
                const socket = connect();
                socket.write(request.repeat(requestsCount));
                return (await receive(socket)).match(/HTTP\/1.1 \d+/g) ?? [];
            };
            assert.deepEqual(await answersTo(6), [`HTTP/1.1 ${status}`]);
            // A connection with many more is closed, which may discard the answer.
            const answers = await answersTo(10_000);
            assert.ok(answers.length <= 1, `${answers.length} answers`);
        });
    }
});
