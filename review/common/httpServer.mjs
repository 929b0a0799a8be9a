/** A small JSON server on a loopback address, whose connections a case can drop or leave without an answer. */
import http from "node:http";

/** Loopback address of this run, so that two runs at a time do not meet at a port. */
export const loopbackAddress = `127.${1 + process.pid % 250}.${Math.floor(process.pid / 250) % 250}.1`;

/** Returned by a handler for a call that shall get no answer. */
export const noAnswer = Symbol("noAnswer");

export async function readText(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Starts a server at a free port, or at the given one. `handle` returns `[status, body]` or `noAnswer`. */
export async function startJsonServer(handle, port = 0) {
    const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
        response.on("error", () => undefined);
        void (async () => {
            const text = await readText(request);
            const url = new URL(request.url, "http://stand-in");
            const result = await handle({
                method: request.method,
                url,
                headers: request.headers,
                body: text === "" ? {} : JSON.parse(text),
            });
            if (result === noAnswer || response.destroyed) {
                return;
            }
            const [status, body] = result;
            const payload = JSON.stringify(body);
            response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(payload) });
            response.end(payload);
        })().catch(() => response.destroy());
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, loopbackAddress, resolve);
    });
    return {
        port: server.address().port,
        address: `${loopbackAddress}:${server.address().port}`,
        /** Drops all connections; the port then refuses new ones. */
        stop: () =>
            new Promise(resolve => {
                server.close(resolve);
                server.closeAllConnections();
            }),
    };
}

/** Returns a port that is free now. */
export async function findFreePort() {
    const server = await startJsonServer(() => [404, {}]);
    await server.stop();
    return server.port;
}
