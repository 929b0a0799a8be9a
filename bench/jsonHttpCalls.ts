/**
 * Measures the processor time of the HTTP client's calls, in this process only; the server is a child process.
 *
 * Usage: `node dist/bench/jsonHttpCalls.js [calls]`.
 */
import { killAllChildren, startChild } from "../harness/childProcess.js";
import { createJsonHttpClient, type JsonHttpClient } from "../platform/jsonHttpClient.js";

interface Form {
    name: string;
    /** Runs in each listing; one has about 45 bytes. */
    runsCount: number;
    waitMs: number;
    openCallsPerClient: number;
}

const callsCount = Number(process.argv[2] ?? 40_000);
const clientsCount = 200;
const connectionsPerClient = 3;
const callTimeoutMs = 5_000;
const warmUpCallsCount = 4_000;
const forms: Form[] = [
    { name: "small listing", runsCount: 2, waitMs: 0, openCallsPerClient: 1 },
    { name: "listing of 10 KB", runsCount: 250, waitMs: 0, openCallsPerClient: 1 },
    { name: "small listing after 100 ms", runsCount: 2, waitMs: 100, openCallsPerClient: 1 },
];

async function makeCalls(clients: JsonHttpClient[], form: Form, count: number): Promise<number> {
    let next = 0;
    let failedCount = 0;
    const runLoop = async (client: JsonHttpClient): Promise<void> => {
        while (next < count) {
            next++;
            const result = await client.call({
                method: "POST",
                path: `/${form.runsCount}`,
                headers: { "expect-instance": "worker-17-a1b2c3" },
                body: { fencingToken: 41, lastSeen: next, waitMs: form.waitMs, deadlineMs: 123_456 + next },
                timeoutMs: callTimeoutMs,
            });
            failedCount += result.hasResponse && Array.isArray(result.response.body["running"]) ? 0 : 1;
        }
    };
    await Promise.all(clients.flatMap(client => Array.from({ length: form.openCallsPerClient }, () => runLoop(client))));
    return failedCount;
}

const server = startChild({ script: "bench/listingServer.js", args: [] });
const line = await server.waitForLine(each => each.includes("listening"));
const clients = Array.from({ length: clientsCount }, () => createJsonHttpClient(`127.0.0.1:${line.split(" ")[1]!}`, connectionsPerClient));
const table: Record<string, Record<string, string>> = {};
for (const form of forms) {
    await makeCalls(clients, form, warmUpCallsCount);
    const startedMs = performance.now();
    const startedCpu = process.cpuUsage();
    const failedCount = await makeCalls(clients, form, callsCount);
    const { user, system } = process.cpuUsage(startedCpu);
    table[form.name] = {
        "user µs": (user / callsCount).toFixed(1),
        "system µs": (system / callsCount).toFixed(1),
        "processor µs per call": ((user + system) / callsCount).toFixed(1),
        "calls/s": (callsCount / (performance.now() - startedMs) * 1000).toFixed(0),
        failed: String(failedCount),
    };
}
console.table(table);
clients.forEach(client => client.close());
killAllChildren();
process.exit(0);
