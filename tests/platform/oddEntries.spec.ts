/**
 * Guards against an entry of another writer among those of the workers that ends the processes, or keeps the owner of the scheduling
 * and each next one from starting anything. Whole processes on a store stand-in, with two usable workers.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { after, before, describe, it } from "node:test";
import { type Child, startChild } from "../../harness/childProcess.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { createJsonHttpClient } from "../../platform/jsonHttpClient.js";
import { platformKeys } from "../../platform/platformKeys.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import { logEvents } from "../../src/process/logEvents.js";
import { type PlatformWorkerStandIn, startPlatformWorkerStandIn } from "./platformWorkerStandIn.js";
import { startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

const usable = {
    service: "pool",
    zone: "zone",
    version: 1,
    slots: 8,
    state: "ready",
    capacity: { cpu: 16_000, memMb: 64_000 },
    labels: ["kind", "rack"],
    seq: 1,
    born: Date.now(),
};
const configuration = {
    version: 1,
    routes: [{ name: "queue", host: "a.example", prefix: "/q/", service: "pool", public: true, maxAttempts: 3 }],
    services: [{ name: "pool" }],
    limits: {},
};

/** Nothing listens there. */
const address = "127.0.0.1:9";
const nesting = 200_000;

/** Entries that name no worker to use, each under its own key. */
const oddEntries: Record<string, string | Uint8Array> = {
    "port-too-large": JSON.stringify({ ...usable, address: "127.0.0.1:99999" }),
    "octet-too-large": JSON.stringify({ ...usable, address: "999.1.1.1:80" }),
    "port-0": JSON.stringify({ ...usable, address: "127.0.0.1:0" }),
    "negative-capacity": JSON.stringify({ ...usable, address, capacity: { cpu: -1, memMb: 1 } }),
    "capacity-too-large": JSON.stringify({ ...usable, address, capacity: { cpu: 16_000, memMb: 1e300 } }),
    "infinite-capacity": JSON.stringify({ ...usable, address }).replace('"cpu":16000', '"cpu":1e400'),
    "start-in-the-future": JSON.stringify({ ...usable, address, born: 9e15 }),
    "unknown-state": JSON.stringify({ ...usable, address, state: "resting" }),
    "nested-lists": JSON.stringify({ ...usable, address, extra: 0 }).replace(
        '"extra":0',
        `"extra":${"[".repeat(nesting)}${"]".repeat(nesting)}`,
    ),
    "opening-brackets": "[".repeat(5 * nesting),
    "proto-keys": '{"__proto__":{"service":"pool"},"constructor":{"prototype":1}}',
    "invalid-utf8": Uint8Array.from([0xff, 0xfe, 0x00, 0xc3, 0x28]),
    "lone-surrogate": '{"service":"\\ud800"}',
    "empty": "",
    "without-fields": JSON.stringify({ ...usable, address, version: undefined, slots: undefined, labels: undefined, seq: undefined }),
    "one-megabyte": JSON.stringify({ ...usable, address, labels: Array.from({ length: 100_000 }, () => "0123456") }),
};

/** Entries that can be read; nothing responds at their address, and no queue uses the service of the second. */
const unusedEntries = { unreachable: { ...usable, address }, "unknown-service": { ...usable, address, service: "nowhere" } };

interface PlatformProcess {
    child: Child;
    submit(jobId: string): Promise<void>;
    events(id: number): Record<string, unknown>[];
}

describe("odd entries among those of the workers", () => {
    const folder = mkdtempSync(path.join(tmpdir(), "odd-entries-"));
    const processes: PlatformProcess[] = [];
    let store: StoreStandIn;
    const workers = new Map<string, PlatformWorkerStandIn>();

    const put = async (key: string, value: string | Uint8Array): Promise<void> => {
        const client = createJsonHttpClient(store.address, 1);
        const writes = [{ key, value: Buffer.from(value).toString("base64") }];
        const result = await client.call({
            method: "POST",
            path: "/api/kv-txn",
            body: { expectedRev: [], writes, deletes: [] },
            timeoutMs: 5_000,
        });
        client.close();
        assert.ok(result.hasResponse && result.response.status === 200, JSON.stringify(result));
    };

    const startProcess = async (host: string): Promise<PlatformProcess> => {
        const file = path.join(folder, `${host}.json`);
        writeFileSync(
            file,
            JSON.stringify({
                nodeName: host,
                zone: "zone",
                ip: host,
                portRange: [7_000, 7_010],
                listenAddrs: { front: `${host}:7001`, readiness: `${host}:7002` },
                limits: { memoryMb: 160 },
                heartbeatMs: 1_000,
                bounds: { graceS: 1, maxHoldMs: 6_000, stopMs: 900, revokeMs: 3_000, status_s: 60 },
                platform: { address: store.address, minTtlMs: 500 },
            }),
        );
        const child = startChild({
            script: "platform/main.js",
            args: [],
            environment: { NUTMEGJUNCTION_SETTINGS: file },
            keepsLines: true,
        });
        const readiness = createJsonHttpClient(`${host}:7002`, 1);
        await waitUntil(`${host} is ready`, async () => {
            const result = await readiness.call({ method: "GET", path: "/api/ready", timeoutMs: 500 });
            return result.hasResponse && result.response.status === 200;
        });
        readiness.close();
        const started: PlatformProcess = {
            child,
            submit: async jobId => {
                const client = createJsonHttpClient(`${host}:7001`, 1);
                const body = { spec: "", steps: [{ count: 1, cpu: 100, memMb: 10, estDurationMs: 30 }] };
                const headers = { host: "a.example" };
                const result = await client.call({ method: "POST", path: `/q/${jobId}`, headers, body, timeoutMs: 3_000 });
                client.close();
                assert.ok(result.hasResponse && result.response.status === 200, JSON.stringify(result));
            },
            events: id => child.lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line["event"] === id),
        };
        processes.push(started);
        return started;
    };
    const startsOf = (jobId: string): string[] =>
        [...workers].flatMap(([workerId, { startedTasks }]) => startedTasks.filter(task => task === `${jobId}.0.0.0`).map(() => workerId));
    const waitForStart = (jobId: string): Promise<void> =>
        waitUntil(`a task of job ${jobId} has started`, () => startsOf(jobId).length > 0);
    const putUsable = (workerId: string, changed?: object): Promise<void> => {
        const { address: workerAddress, bornWallMs } = workers.get(workerId)!;
        const entry = { ...usable, address: workerAddress, born: bornWallMs, ...changed };
        return put(platformKeys.workerPrefix + workerId, JSON.stringify(entry));
    };

    before(async () => {
        store = await startStoreStandIn();
        await put(platformKeys.configuration, JSON.stringify(configuration));
        for (const workerId of ["usable-1", "usable-2"]) {
            workers.set(workerId, await startPlatformWorkerStandIn());
            await putUsable(workerId);
        }
        for (const [name, value] of Object.entries(oddEntries)) {
            await put(platformKeys.workerPrefix + name, value);
        }
        for (const [name, value] of Object.entries(unusedEntries)) {
            await put(platformKeys.workerPrefix + name, JSON.stringify(value));
        }
    });
    after(async () => {
        processes.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(processes.map(({ child }) => child.exited));
        workers.forEach(worker => worker.close());
        store.close();
        rmSync(folder, { recursive: true });
    });

    it("should leave the owner and the next owner able to start tasks on the usable workers", async () => {
        const first = await startProcess("127.62.0.1");
        await first.submit("000000000000000a");
        await waitForStart("000000000000000a");
        const second = await startProcess("127.62.0.2");
        first.child.kill("SIGTERM");
        await first.child.exited;
        await second.submit("000000000000000b");
        await waitForStart("000000000000000b");
        for (const each of [first, second]) {
            assert.deepEqual(each.events(logEvents.unexpectedError.id), []);
            const unreadable = each.events(logEvents.documentUnreadable.id).map(({ key }) => String(key));
            assert.deepEqual(unreadable.sort(), Object.keys(oddEntries).map(name => platformKeys.workerPrefix + name).sort());
            assert.equal(each.child.stderrText(), "");
        }
    });

    it("should neither end nor start again what runs on a worker whose own entry is overwritten", async () => {
        const { submit, events } = processes.at(-1)!;
        workers.forEach(worker => worker.keepsRunning = true);
        await submit("000000000000000c");
        await waitForStart("000000000000000c");
        // The owner has seen the run in a listing.
        await delay(createTimerService(), 500);
        const [workerId] = startsOf("000000000000000c");
        const worker = workers.get(workerId!)!;
        for (let seq = 0; seq < 16; seq++) {
            await putUsable(workerId!, { born: 9e15, seq });
            await delay(createTimerService(), 500);
        }
        for (let seq = 0; seq < 8; seq++) {
            await putUsable(workerId!, { born: Date.now(), version: undefined, slots: undefined });
            await delay(createTimerService(), 500);
        }
        assert.deepEqual(startsOf("000000000000000c"), [workerId]);
        assert.ok(worker.leaseUntilMs() > performance.now(), "the leases are extended");
        await submit("000000000000000d");
        await waitForStart("000000000000000d");
        assert.notDeepEqual(startsOf("000000000000000d"), [workerId]);
        const logged = events(logEvents.documentUnreadable.id).filter(({ key }) => key === platformKeys.workerPrefix + workerId);
        assert.equal(logged.length, 1);
        await putUsable(workerId!);
        await putUsable([...workers.keys()].find(each => each !== workerId)!, { state: "draining" });
        await delay(createTimerService(), 300);
        await submit("000000000000000e");
        await waitForStart("000000000000000e");
        assert.deepEqual(startsOf("000000000000000e"), [workerId]);
    });
});
