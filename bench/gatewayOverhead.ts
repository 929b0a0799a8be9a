/**
 * Compares the gateway with a bare forwarder: requests per second and per CPU second, latency and memory.
 *
 * With `NUTMEGJUNCTION_LOG_LEVEL=warn` the gateway does not log routing decisions, so the difference between the two log
 * levels is the cost of that log. Usage: `node dist/bench/gatewayOverhead.js [requests]`.
 */
import { build as buildHistogram } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { Pool } from "undici";
import { callService } from "../harness/callService.js";
import { type Child, killAllChildren, startChild } from "../harness/childProcess.js";
import { startFleet } from "../harness/fleet.js";
import { makeSmallFleet, repeatableService } from "../harness/smallFleet.js";

const addressPrefix = "127.60";
const slotsPerServer = 32;
const limits = { vik: 96, selfoss: 96 };
const requestsCount = Number(process.argv[2] ?? 20_000);
const maxConcurrency = 48;
const clockTicksPerSecond = 100;
const rounds = 3;

interface Measurement {
    requestsPerS: number;
    requestsPerCpuS: number;
    p50Ms: number;
    p99Ms: number;
    residentMb: number;
}

/** Returns the user and system CPU time of a process, in seconds. */
function cpuSecondsOf(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

function residentMbOf(pid: number): number {
    const line = readFileSync(`/proc/${pid}/status`, "utf8").split("\n").find(each => each.startsWith("VmRSS"))!;
    return Number(line.replace(/\D/g, "")) / 1024;
}

/** Sends requests with a fixed concurrency, at `ratePerS` if given, otherwise as fast as possible. */
async function measure(
    child: Child,
    address: string,
    key: string | undefined,
    concurrency: number,
    ratePerS?: number,
): Promise<Measurement> {
    const caller = new Pool(`http://${address}`, { connections: concurrency });
    const histogram = buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    const cpuBefore = cpuSecondsOf(child.pid);
    const startedMs = performance.now();
    let next = 0;
    let failedCount = 0;
    const runLoop = async (): Promise<void> => {
        while (next < requestsCount) {
            const number = next++;
            const dueMs = startedMs + (ratePerS === undefined ? 0 : number * 1000 / ratePerS);
            if (performance.now() < dueMs) {
                await new Promise(resolve => setTimeout(resolve, dueMs - performance.now()));
            }
            const result = await callService(caller, {
                service: repeatableService,
                kind: "default",
                token: `t${number}`,
                key,
                runMs: 1,
                method: "GET",
            });
            failedCount += result.statusCode === 200 && !result.isWrong || key === undefined ? 0 : 1;
            histogram.recordValue(result.latencyMs * 1000);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runLoop));
    const seconds = (performance.now() - startedMs) / 1000;
    const cpuSeconds = cpuSecondsOf(child.pid) - cpuBefore;
    await caller.close();
    if (failedCount > 0) {
        console.error(`${failedCount} requests failed at ${address}`);
    }
    return {
        requestsPerS: requestsCount / seconds,
        requestsPerCpuS: requestsCount / cpuSeconds,
        p50Ms: histogram.getValueAtPercentile(50) / 1000,
        p99Ms: histogram.getValueAtPercentile(99) / 1000,
        residentMb: residentMbOf(child.pid),
    };
}

function formatMeasurement(measured: Measurement): Record<string, string> {
    return Object.fromEntries(Object.entries(measured).map(([name, value]) => [name, (value as number).toFixed(2)]));
}

const document = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 3, slotsPerServer, limits, expectedRunMs: 1 });
const fleet = await startFleet({
    document,
    addressPrefix,
    gatewaysPerZone: 1,
    environment: { NUTMEGJUNCTION_LOG_LEVEL: process.env.NUTMEGJUNCTION_LOG_LEVEL ?? "info" },
});
const { key } = await fleet.createKey("vik");
const [gateway] = fleet.gateways;
const forwarderAddress = `${addressPrefix}.0.20:7001`;
const forwarder = startChild({
    script: "bench/bareForwarder.js",
    args: [forwarderAddress, ...[...fleet.servers.values()].map(server => server.address)],
});
await forwarder.waitForLine(line => line.includes("listening"));

const table: Record<string, Record<string, string>> = {};
for (let number = 1; number <= rounds; number++) {
    const bare = await measure(forwarder, forwarderAddress, undefined, maxConcurrency);
    const full = await measure(gateway!.child, gateway!.callerAddress, key, maxConcurrency);
    const halfRate = full.requestsPerS / 2;
    table[`${number} bare forwarder, full`] = formatMeasurement(bare);
    table[`${number} gateway, full`] = formatMeasurement(full);
    table[`${number} bare forwarder, half the gateway's rate`] = formatMeasurement(
        await measure(forwarder, forwarderAddress, undefined, maxConcurrency, halfRate),
    );
    table[`${number} gateway, half its rate`] = formatMeasurement(
        await measure(gateway!.child, gateway!.callerAddress, key, maxConcurrency, halfRate),
    );
}
console.table(table);
killAllChildren();
process.exit(0);
