/**
 * Measures how much of a team's limit is usable when one availability zone receives all requests, and how fast allotments
 * move there, compared with a fixed equal split. Reports the peak concurrency per time window since the load started.
 * Usage: `node dist/bench/limitUnderSkew.js`.
 */
import { openCallerPool } from "../harness/callService.js";
import { peakConcurrencyByTeam } from "../harness/checkResults.js";
import { startFleet } from "../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../harness/smallFleet.js";
import { setStoreFaults } from "../harness/standIns.js";
import { startSteadyLoad } from "../harness/steadyLoad.js";
import { monotonicNowMs } from "../stand-ins/backendServer.js";

const addressPrefix = "127.63";
const zones = ["az-1", "az-2", "az-3", "az-4"];
const gatewaysPerZone = 2;
const limits = { vik: 64, selfoss: 320 };
const runMs = 40;
const openCount = 120;
const windowEndsMs = [100, 200, 300, 500, 1_000, 2_000, 4_000];

const document = makeSmallFleet({ addressPrefix, zones, serversPerZone: 2, slotsPerServer: 48, limits, expectedRunMs: runMs });
const fleet = await startFleet({ document, addressPrefix, gatewaysPerZone });
const { key } = await fleet.createKey("vik");

async function measure(name: string, zoneIndexes: number[]): Promise<Record<string, number>> {
    const gateways = fleet.gateways.filter(gateway => zoneIndexes.includes(zones.indexOf(gateway.availabilityZone)));
    const startedMs = monotonicNowMs();
    const load = startSteadyLoad({
        callers: gateways.map(gateway => openCallerPool(gateway.callerAddress)),
        openCount,
        makeCall: number => ({ service: atMostOnceService, kind: "default", token: `${name}${number}`, key, runMs }),
    });
    await new Promise(resolve => setTimeout(resolve, windowEndsMs.at(-1)));
    await load.end();
    const journal = (await fleet.journal()).filter(entry => entry.startMs >= startedMs);
    const row: Record<string, number> = {};
    windowEndsMs.forEach((endMs, index) => {
        const fromMs = startedMs + (windowEndsMs[index - 1] ?? 0);
        const inWindow = journal.filter(entry => entry.startMs < startedMs + endMs && (entry.endMs ?? Number.POSITIVE_INFINITY) > fromMs);
        row[`to ${endMs} ms`] = peakConcurrencyByTeam(inWindow).vik ?? 0;
    });
    return row;
}

const fixedSplitSlots = Math.floor(limits.vik / (zones.length * gatewaysPerZone)) * gatewaysPerZone;
console.log(`limit ${limits.vik}; a fixed equal split lets one zone of ${zones.length} run ${fixedSplitSlots}`);
const table: Record<string, Record<string, number>> = {};
table["demand begins in zone 1"] = await measure("a", [0]);
table["demand moves to zone 2"] = await measure("b", [1]);
await setStoreFaults(fleet.store, { isDown: true });
table["demand moves to zone 3, store down"] = await measure("c", [2]);
await setStoreFaults(fleet.store, { isDown: false });
table["demand is everywhere"] = await measure("d", [0, 1, 2, 3]);
console.table(table);
await fleet.stop();
process.exit(0);
