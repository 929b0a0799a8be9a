/** A server that closes still answers the requests that have arrived and were not read yet. */
import assert from "node:assert/strict";
import { once } from "node:events";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { closeServer } from "../../platform/closeServer.js";
import { createTimerService } from "../../src/common/timerService.js";

const requestText = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const maxCloseMs = 2_000;

describe("a server that closes", () => {
    let server: http.Server;
    let port: number;
    let socket: net.Socket | undefined;
    let isClosing: boolean;

    beforeEach(async () => {
        isClosing = false;
        server = http.createServer((_, response) => {
            response.writeHead(200, isClosing ? { connection: "close" } : {}).end("answer");
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        port = (server.address() as AddressInfo).port;
    });
    afterEach(() => {
        socket?.destroy();
        server.closeAllConnections();
        server.close();
    });
    const close = (): Promise<void> => {
        isClosing = true;
        return closeServer(server, createTimerService(), maxCloseMs);
    };
    const openConnection = async (): Promise<net.Socket> => {
        socket = net.connect(port, "127.0.0.1");
        socket.on("error", () => undefined).setEncoding("utf8");
        socket.write(requestText);
        await once(socket, "data");
        return socket;
    };

    it("should answer a request that has arrived on an open connection and was not read yet", async () => {
        const connection = await openConnection();
        let received = "";
        connection.on("data", (text: string) => received += text);
        connection.write(requestText);
        await Promise.all([close(), once(connection, "close")]);
        assert.match(received, /^HTTP\/1\.1 200/);
    });

    it("should answer a request on a connection that was not accepted yet", async () => {
        socket = net.connect(port, "127.0.0.1").on("error", () => undefined).setEncoding("utf8");
        let received = "";
        socket.on("data", (text: string) => received += text);
        socket.write(requestText);
        // The call that connects is made in the next tick, before the event loop accepts the connection.
        await new Promise(resolve => process.nextTick(resolve));
        await Promise.all([close(), once(socket, "close")]);
        assert.match(received, /^HTTP\/1\.1 200/);
    });

    it("should end connections on which nothing was sent", async () => {
        const connection = await openConnection();
        const startedAtMs = performance.now();
        await Promise.all([close(), once(connection, "close")]);
        assert.ok(performance.now() - startedAtMs < maxCloseMs / 2);
    });

    it("should give up waiting for a request that goes on for too long", async () => {
        server.removeAllListeners("request").on("request", () => undefined);
        socket = net.connect(port, "127.0.0.1").on("error", () => undefined);
        socket.write(requestText);
        await once(server, "request");
        const startedAtMs = performance.now();
        await closeServer(server, createTimerService(), maxCloseMs / 10);
        assert.ok(performance.now() - startedAtMs < maxCloseMs);
    });
});
