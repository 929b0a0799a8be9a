/** Guards against orders that wait for a connection, or in a paused process, and are sent after the sender's permission has ended. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createJsonHttpClient } from "../../platform/jsonHttpClient.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { JsonRequestResult } from "../../src/connection/serviceCalls.js";
import { jsonResponse, type RawServer, startRawServer } from "./rawServer.js";

const timers = createTimerService();

describe("a request with a permission", () => {
    let server: RawServer;

    before(async () => {
        server = await startRawServer();
    });
    after(() => server.close());

    it("should not be sent once the permission has ended while it waited for a connection", async () => {
        let answer: () => void = () => undefined;
        server.respond = socket => answer = () => socket.write(jsonResponse("{}"));
        const client = createJsonHttpClient(server.address, 1);
        let isAllowed = true;
        const order = (path: string): Promise<JsonRequestResult> =>
            client.call({ method: "POST", path, body: {}, timeoutMs: 5_000, mayStillSend: () => isAllowed });
        const first = order("/first");
        const second = order("/second");
        while (server.requests.length === 0) {
            await delay(timers, 5);
        }
        isAllowed = false;
        answer();
        assert.equal((await first).hasResponse, true);
        const dropped = await second;
        assert.ok(!dropped.hasResponse);
        assert.equal(dropped.failure.wasNeverSent, true);
        isAllowed = true;
        const third = order("/third");
        while (server.requests.length < 2) {
            await delay(timers, 5);
        }
        answer();
        assert.equal((await third).hasResponse, true);
        client.close();
        assert.deepEqual(server.requests.map(({ head }) => head.split(" ")[1]), ["/first", "/third"]);
    });
});
