/** Guards against a response that is too long for its timeout and looks like a service that does not respond at all. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createJsonHttpClient } from "../../platform/jsonHttpClient.js";
import { jsonResponse, type RawServer, startRawServer } from "./rawServer.js";

describe("a response that is received in part", () => {
    let server: RawServer;

    before(async () => {
        server = await startRawServer();
    });
    after(() => {
        server.reset();
        server.close();
    });

    for (const [name, timeoutMs, isCut] of [["the timeout", 100, false], ["the connection is cut", 5_000, true]] as const) {
        it(`should be reported with the size of the part that arrived before ${name}`, async () => {
            const partial = jsonResponse('{"key":"value"}').slice(0, -4);
            server.respond = socket => isCut ? socket.end(partial) : socket.write(partial);
            const client = createJsonHttpClient(server.address, 1);
            const result = await client.call({ method: "GET", path: "/", timeoutMs });
            client.close();
            assert.equal(!result.hasResponse && result.failure.receivedBytes, 11);
        });
    }
});
