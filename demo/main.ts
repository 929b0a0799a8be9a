/**
 * Demo that runs two example deployments in turn on the stand-ins. The gateways, two in each availability zone, serve a
 * mixed load of several teams while one backend server is drained. Exits with 1 if a response was wrong, a non-repeatable
 * request ran twice, a team exceeded its limit, the drained server still started requests after the grace period, or no
 * request succeeded.
 */
import { openCallerPool } from "../harness/callService.js";
import { checkResults, hasNoViolations, peakConcurrencyByTeam, slotTimeMsByTeam } from "../harness/checkResults.js";
import { type Fleet, startFleet } from "../harness/fleet.js";
import type { SiteConfiguration } from "../src/version/fleetDocument.js";
import { loadFleetFiles } from "../src/version/loadFleetFiles.js";
import { resolveFleet } from "../src/version/resolveFleet.js";
import { type JournalEntry, monotonicNowMs } from "../stand-ins/backendServer.js";
import { isRepeatableToken, runMixedLoad, type TeamResult } from "./mixedLoad.js";

interface Deployment {
    name: string;
    folder: string;
    addressPrefix: string;
}

const deployments: Deployment[] = [
    { name: "Sturtubót Samvinnufélag", folder: "examples/sturtubot", addressPrefix: "127.20" },
    { name: "Fiesta Austral Animaciones S.A.", folder: "examples/fiesta-austral", addressPrefix: "127.30" },
];
const gatewaysPerZone = 2;
const concurrencyPerTeam = 100;
const loadDurationMs = 6_000;
const drainAfterMs = 2_000;
/** Time after the response to the drain call during which the drained server may still start requests. */
const drainGraceMs = 3_000;
const seed = 20261204;

function percentile(sorted: readonly number[], part: number): string {
    return sorted.length === 0 ? "-" : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))]!.toFixed(0);
}

function tableRows(results: readonly TeamResult[], journal: readonly JournalEntry[], site: SiteConfiguration): Record<string, object> {
    const slotTimes = slotTimeMsByTeam(journal);
    const highest = peakConcurrencyByTeam(journal);
    const teams = Object.entries(site.teams);
    const totalTime = teams.reduce((sum, [team]) => sum + (slotTimes[team] ?? 0), 0);
    const totalWeight = teams.reduce((sum, [, team]) => sum + team.shareWeight, 0);
    return Object.fromEntries(teams.map(([team, configured]) => {
        const own = results.filter(result => result.team === team);
        const latencies = own.filter(result => result.outcome === "done").map(result => result.latencyMs).sort((a, b) => a - b);
        const count = (outcome: string): number => own.filter(result => result.outcome === outcome).length;
        return [team, {
            "done": count("done"),
            "not run": count("not-run"),
            "unknown": count("unknown"),
            "p50 ms": percentile(latencies, 0.5),
            "p99 ms": percentile(latencies, 0.99),
            "share %": (100 * (slotTimes[team] ?? 0) / totalTime).toFixed(1),
            "target %": (100 * configured.shareWeight / totalWeight).toFixed(1),
            "most at once": highest[team] ?? 0,
            "limit": configured.limitSlots,
        }];
    }));
}

/** Runs one deployment and returns whether all checks passed. */
async function runDeployment(deployment: Deployment): Promise<boolean> {
    const { document } = loadFleetFiles(deployment.folder).unwrap();
    const zonesCount = Object.keys(document.overlays).length;
    const site = Object.values(resolveFleet(document).unwrap().sites)[0]!;
    console.log(`\n${deployment.name}: starting ${zonesCount} zones with ${gatewaysPerZone} gateways each`);
    const fleet = await startFleet({ document, addressPrefix: deployment.addressPrefix, gatewaysPerZone });
    try {
        return await serveLoad(fleet, site);
    }
    finally {
        await fleet.stop();
    }
}

async function serveLoad(fleet: Fleet, site: SiteConfiguration): Promise<boolean> {
    const teams = [];
    for (const team of Object.keys(site.teams)) {
        teams.push({ team, key: (await fleet.createKey(team)).key });
    }
    const callers = fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress));
    const drainedId = [...fleet.servers.keys()][0]!;
    const load = runMixedLoad({ site, teams, callers, concurrencyPerTeam, durationMs: loadDurationMs, seed });
    await new Promise(resolve => setTimeout(resolve, drainAfterMs));
    const drained = await fleet.callAdmin("POST", "/admin/v1/drains", { serverId: drainedId, reason: "demo" });
    const drainedAtMs = monotonicNowMs();
    console.log(`draining ${drainedId} (status ${drained.statusCode})`);

    const results = await load;
    await Promise.all(callers.map(caller => caller.close()));
    const journal = await fleet.journal();
    const limits = Object.fromEntries(Object.entries(site.teams).map(([team, configured]) => [team, configured.limitSlots]));
    const verdict = checkResults(results, journal, limits, token => isRepeatableToken(site, token));
    const lateStarts = journal.filter(entry => entry.serverId === drainedId && entry.startMs > drainedAtMs + drainGraceMs).length;
    console.table(tableRows(results, journal, site));
    const isGood = hasNoViolations(verdict) && lateStarts === 0 && results.some(result => result.outcome === "done");
    console.log(
        isGood ?
            "all responses were complete and matched their requests; no non-repeatable request ran twice; no team exceeded its limit" :
            "FAILED",
    );
    if (!isGood) {
        console.log(JSON.stringify({ verdict, lateStarts }));
    }
    return isGood;
}

let isAllGood = true;
for (const deployment of deployments) {
    isAllGood = await runDeployment(deployment) && isAllGood;
}
process.exitCode = isAllGood ? 0 : 1;
