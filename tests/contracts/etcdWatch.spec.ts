/** Guards against a read of the store that is answered late: it must not undo what the watch has delivered since it was sent. */
import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { Agent } from "undici";
import { waitUntil } from "../../harness/waitUntil.js";
import { Ok } from "../../src/common/results.js";
import { createTimerService } from "../../src/common/timerService.js";
import { encodeText } from "../../src/connection/etcdMessages.js";
import { type PrefixSnapshot, watchEtcdPrefix } from "../../src/connection/etcdWatch.js";
import type { StoredValue } from "../../src/connection/platformStore.js";

const key = "/watched/a";

interface WatchedStore {
    /** Sends an event of the watch that sets the key. */
    sendEvent(value: string, revision: number): void;
    /** The open reads, in the order in which they were sent; each is answered by calling it. */
    reads: ((snapshot: PrefixSnapshot) => void)[];
    seen(): StoredValue[];
}

const snapshotOf = (value: string, revision: number): PrefixSnapshot => ({ values: [{ key, value, revision }], revision });

async function startWatch(context: TestContext): Promise<WatchedStore> {
    const streams: http.ServerResponse[] = [];
    const server = http.createServer((request, response) => {
        request.resume();
        response.write(`${JSON.stringify({ result: { created: true, events: [] } })}\n`);
        streams.push(response);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const lifetime = new AbortController();
    const dispatcher = new Agent();
    context.after(async () => {
        lifetime.abort();
        await dispatcher.destroy();
        server.closeAllConnections();
        server.close();
    });
    let seen: StoredValue[] = [];
    const reads: WatchedStore["reads"] = [];
    watchEtcdPrefix({
        prefix: "/watched/",
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        dispatcher,
        timers: createTimerService(),
        signal: lifetime.signal,
        readSnapshot: () => new Promise(resolve => reads.push(snapshot => resolve(Ok(snapshot)))),
        onChange: values => seen = values,
        countCall: () => undefined,
        onRestart: () => undefined,
    });
    return {
        sendEvent: (value, revision) => {
            const kv = { key: encodeText(key), value: encodeText(value), mod_revision: String(revision) };
            streams.at(-1)!.write(`${JSON.stringify({ result: { events: [{ type: "PUT", kv }] } })}\n`);
        },
        reads,
        seen: () => seen,
    };
}

describe("watch of a key prefix", () => {
    it("should keep a delivered change when a read that was sent before is answered after it", async context => {
        const { sendEvent, reads, seen } = await startWatch(context);
        await waitUntil("the first read is sent", () => reads.length === 1);
        sendEvent("new", 7);
        await waitUntil("the change is seen", () => seen().some(({ value }) => value === "new"));
        reads[0]!(snapshotOf("old", 5));
        await waitUntil("the values are read again", () => reads.length === 2);
        assert.deepEqual(seen().map(({ value }) => value), ["new"]);
        reads[1]!(snapshotOf("newest", 9));
        await waitUntil("a newer read is seen", () => seen().some(({ value }) => value === "newest"));
    });
});
