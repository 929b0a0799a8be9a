/** Guards against a VM list that arrives after a later one and takes back what that one has told. */
import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { waitUntil } from "../../harness/waitUntil.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createVmListPoller } from "../../src/process/vmListPoller.js";

/** The list is requested at this interval, whether the last request was answered or not. */
const pollIntervalMs = 1_000;

describe("the poller of the VM list", () => {
    const lifetime = new AbortController();
    const waiting: http.ServerResponse[] = [];
    const server = http.createServer((_, response) => void waiting.push(response));
    after(() => {
        lifetime.abort();
        server.closeAllConnections();
        server.close();
    });
    const answer = (request: number, state: string): void =>
        void waiting[request]!.writeHead(200, { "content-type": "application/json" })
            .end(JSON.stringify({ vms: [{ vmId: "vm", availabilityZone: "zone", state }] }));

    it("should drop a list if one that was requested later has arrived before", async () => {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const timers = createManualTimerService();
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const poller = createVmListPoller({ address, timers, logger: createSilentLogger(), signal: lifetime.signal });
        let updatesCount = 0;
        poller.onUpdate(() => updatesCount += 1);
        await waitUntil("the first list is requested", () => waiting.length === 1);
        timers.advance(pollIntervalMs);
        await waitUntil("the second list is requested", () => waiting.length === 2);
        answer(1, "gone");
        await waitUntil("the second list has arrived", () => updatesCount === 1);
        assert.deepEqual([...poller.goneVmIds()], ["vm"]);
        answer(0, "live");
        timers.advance(pollIntervalMs);
        await waitUntil("the third list is requested", () => waiting.length === 3);
        assert.deepEqual([...poller.goneVmIds()], ["vm"]);
        answer(2, "leaving");
        await waitUntil("the third list has arrived", () => poller.goneVmIds().size === 0);
        assert.ok(poller.isLeaving("vm"));
        assert.equal(updatesCount, 2);
    });
});
