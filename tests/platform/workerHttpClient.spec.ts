/** Guards against listings of workers and lists of VMs that contain malformed entries. */
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { createVmServiceClient } from "../../platform/vmServiceClient.js";
import { connectWorker } from "../../platform/workerHttpClient.js";
import { vmStates } from "../../src/connection/vmService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { jsonResponse, type RawServer, startRawServer } from "./rawServer.js";

const entry: WorkerEntry = {
    workerId: "w1",
    bornWallMs: 1,
    address: "",
    poolName: "pool",
    zone: "zone",
    rack: "rack",
    labels: [],
    capacity: { cpuMillicores: 1_000, memoryMb: 1_000, accelerators: 0 },
    isDraining: false,
};

describe("a list with a malformed entry", () => {
    let server: RawServer;
    let worker: WorkerClient | undefined;

    before(async () => {
        server = await startRawServer();
    });
    afterEach(() => {
        worker?.close();
        server.reset();
    });
    after(() => server.close());

    const list = (body: object) => {
        server.respond = socket => socket.write(jsonResponse(JSON.stringify(body)));
        worker = connectWorker({ ...entry, address: server.address });
        return worker.list({ token: 1, acknowledgedEndNumber: 0, leaseUntilClockMs: undefined, waitMs: 0 });
    };
    const listing = { born: 1, clockMs: 5, running: [["a.0.0.0", 1, "", 40]], endedRuns: [[1, "a.0.0.1", 1, "done", ""]] };

    it("should be read as a whole if it is well-formed", async () => {
        const { listing: read } = await list(listing);
        assert.deepEqual(read?.running.map(run => run.taskName), ["a.0.0.0"]);
        assert.deepEqual(read?.ended.map(run => run.taskName), ["a.0.0.1"]);
    });

    const malformed: [string, object, RegExp][] = [
        ["a run without an id", { running: [...listing.running, ["b.0.0.0"]] }, /running\[1\]/],
        ["a run that is no list", { running: [7] }, /running\[0\]/],
        ["runs that are no list", { running: "none" }, /running is not a list/],
        ["an end whose number is text", { endedRuns: [["1", "a.0.0.1", 1, "done", ""]] }, /endedRuns\[0\]/],
        ["no time of the start", { born: "today" }, /born is today/],
        ["no clock", { clockMs: "now" }, /clockMs is now/],
    ];
    for (const [name, changed, place] of malformed) {
        it(`should be rejected with the place: ${name}`, async () => {
            await assert.rejects(list({ ...listing, ...changed }), place);
        });
    }

    const nested = "[".repeat(200_000) + "]".repeat(200_000);
    const nonsense = [
        { name: "an object that cannot be converted to text", text: '{"reason":{"toString":1,"valueOf":1}}' },
        { name: "a reason that is nested deeply", text: `{"reason":${nested}}` },
        { name: "a list", text: "[1]" },
    ];
    for (const { name, text } of nonsense) {
        it(`should not be needed to settle a rejected start: ${name}`, async () => {
            server.respond = socket => socket.write(jsonResponse(text, "409 Conflict"));
            worker = connectWorker({ ...entry, address: server.address });
            const order = {
                taskName: "a.0.0.0",
                runId: 1,
                token: 1,
                payload: "",
                checkpoint: "",
                validUntilClockMs: 1,
                mayStillSend: () => true,
            };
            const { outcome, isFenced } = await worker.start(order);
            assert.deepEqual([outcome, isFenced], [commandOutcomes.refused, false]);
        });
    }

    it("should be rejected with the place: rows that are nested deeply", async () => {
        server.respond = socket =>
            socket.write(jsonResponse(JSON.stringify({ ...listing, running: 0 }).replace('"running":0', `"running":[${nested}]`)));
        worker = connectWorker({ ...entry, address: server.address });
        await assert.rejects(worker.list({ token: 1, acknowledgedEndNumber: 0, leaseUntilClockMs: undefined, waitMs: 0 }), /running\[0\]/);
    });

    it("should keep a VM of which only the id can be read, and leave out one without an id", async () => {
        const places: string[] = [];
        const client = createVmServiceClient(server.address, place => places.push(place));
        const vm = { machineId: "vm1", pool: "pool", state: "up", zone: "zone", labels: [], capacity: { cpu: 1, memMb: 1 }, id: "w1" };
        server.respond = socket => socket.write(jsonResponse(JSON.stringify({ machines: [vm, { ...vm, machineId: "vm2", pool: 7 }, 7] })));
        const listed = await client.list();
        assert.ok(listed.ok);
        assert.deepEqual(listed.val.map(({ vmId, state }) => [vmId, state]), [["vm1", vmStates.up], ["vm2", vmStates.down]]);
        assert.deepEqual(places, ["machines[1]", "machines[2]"]);
    });

    // Guards against a wave that ends since its VMs are missing from a response that is no list.
    it("should not take a response without VMs for an empty list", async () => {
        const client = createVmServiceClient(server.address, assert.fail);
        for (const body of ["{}", '{"machines":null}', '{"machines":{}}']) {
            server.respond = socket => socket.write(jsonResponse(body));
            const listed = await client.list();
            assert.equal(listed.ok, false, body);
        }
        server.respond = socket => socket.write(jsonResponse(JSON.stringify({ machines: [] })));
        assert.deepEqual((await client.list()).val, []);
    });
});
