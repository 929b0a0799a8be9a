/**
 * Measures how the control-plane overhead of a gateway scales with the number of gateways in its availability zone: bytes
 * sent to peers, CPU time, memory and store calls, for 2 to 64 gateways, idle and under load.
 * Usage: `node dist/bench/zoneMesh.js [sizes]`.
 */
import { request } from "undici";
import { openCallerPool } from "../harness/callService.js";
import { startFleet } from "../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../harness/smallFleet.js";
import { startSteadyLoad } from "../harness/steadyLoad.js";
import { describeFit, fitLine } from "./fit.js";

const argumentSizes = process.argv.slice(2).map(Number);
const sizes = argumentSizes.length > 0 ? argumentSizes : [2, 4, 8, 16, 32, 64];
const addressPrefix = "127.70";
const settleMs = 4_000;
const windowMs = 10_000;
const stewardAddress = `${addressPrefix}.1.11:7004`;
const serversCount = 4;
const slotsPerServer = 64;
const openPerGateway = 2;
const limits = { vik: 200, selfoss: 256 };

type Reading = Record<string, number>;

async function readMetrics(address: string): Promise<Reading> {
    const response = await request(`http://${address}/metrics`);
    const text = await response.body.text();
    const sums: Reading = {};
    text.split("\n").filter(line => line.startsWith("nutmegjunction")).forEach(line => {
        const name = line.split(/[{ ]/)[0]!;
        const labels = /\{(.*)\}/.exec(line)?.[1] ?? "";
        const key = name.includes("peer_bytes") ? `${name} ${labels}` : name;
        sums[key] = (sums[key] ?? 0) + Number(line.split(" ").pop());
    });
    return sums;
}

const pause = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Returns averages over the processes at `addresses`; counters are converted to rates per second. */
async function measureWindow(addresses: string[]): Promise<Record<string, number>> {
    const before = await Promise.all(addresses.map(readMetrics));
    await pause(windowMs);
    const after = await Promise.all(addresses.map(readMetrics));
    const mean = (key: string): number =>
        after.reduce((sum, reading, index) => sum + (reading[key] ?? 0) - (before[index]![key] ?? 0), 0) / addresses.length;
    const seconds = windowMs / 1000;
    return {
        sentBytesPerS: mean('nutmegjunction_peer_bytes_total direction="sent"') / seconds,
        cpuPart: mean("nutmegjunction_process_cpu_seconds") / seconds,
        storeCallsPerS: mean("nutmegjunction_store_calls_total") / seconds,
        residentMb: after.reduce((sum, reading) => sum + reading.nutmegjunction_process_memory_bytes!, 0) / addresses.length / 2 ** 20,
    };
}

async function measureSize(gatewaysCount: number): Promise<Record<string, Record<string, number>>> {
    const document = makeSmallFleet({
        addressPrefix,
        zones: ["az-1"],
        serversPerZone: serversCount,
        slotsPerServer,
        limits,
        expectedRunMs: 100,
    });
    const fleet = await startFleet({
        document,
        addressPrefix,
        gatewaysPerZone: gatewaysCount,
        environment: { NUTMEGJUNCTION_LOG_LEVEL: "warn" },
    });
    const { key } = await fleet.createKey("vik");
    const addresses = fleet.gateways.map(gateway => gateway.adminAddress);
    await pause(settleMs);
    const [idle, steward] = await Promise.all([measureWindow(addresses), measureWindow([stewardAddress])]);
    const load = startSteadyLoad({
        callers: fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress)),
        openCount: gatewaysCount * openPerGateway,
        makeCall: number => ({ service: atMostOnceService, kind: "default", token: `m${number}`, key, runMs: 100 }),
    });
    await pause(settleMs);
    const loaded = await measureWindow(addresses);
    await load.end();
    await fleet.stop();
    return { idle, loaded, steward: steward! };
}

const rows: Record<string, Record<string, string>> = {};
const points: Record<string, { x: number; y: number }[]> = {};
for (const size of sizes) {
    const measured = await measureSize(size);
    Object.entries(measured).forEach(([state, values]) => {
        rows[`${size} gateways, ${state === "steward" ? "steward of the zone" : state}`] = Object.fromEntries(
            Object.entries(values).map(([name, value]) => [name, value.toPrecision(3)]),
        );
        Object.entries(values).forEach(([name, y]) => (points[`${state} ${name}`] ??= []).push({ x: size, y }));
    });
    console.log(size, JSON.stringify(measured));
}
console.table(rows);
Object.entries(points).forEach(([name, values]) => console.log(describeFit(name, "per gateway of the zone", fitLine(values))));
process.exit(0);
