/** Guards against listings of workers and lists of VMs that contain malformed entries. */
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { createVmServiceClient } from "../../platform/vmServiceClient.js";
import { connectWorker } from "../../platform/workerHttpClient.js";
import { vmStates } from "../../src/connection/vmService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { jsonResponse, type RawServer, startRawServer } from "./rawServer.js";

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
        worker = connectWorker({
            workerId: "w1",
            bornWallMs: 1,
            address: server.address,
            poolName: "pool",
            zone: "zone",
            rack: "rack",
            labels: [],
            capacity: { cpuMillicores: 1_000, memoryMb: 1_000, accelerators: 0 },
            isDraining: false,
        });
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
});
