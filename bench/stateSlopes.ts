/**
 * Measures how document size, memory and CPU time of one process scale with fleet size: parsing and applying a
 * configuration version, planning allotments, and selecting servers and teams.
 * Usage: `node --expose-gc dist/bench/stateSlopes.js`.
 */
import { createSeededRandom } from "../harness/random.js";
import { createManualTimerService } from "../src/common/timerService.js";
import { type AllotmentDocument, planHolderStep, setLimits } from "../src/decisions/allotments.js";
import { chooseServer, type ServerLoad } from "../src/decisions/chooseServer.js";
import { chooseTeam } from "../src/decisions/chooseTeam.js";
import { findGoneMembers } from "../src/decisions/membership.js";
import { createSilentLogger } from "../src/process/logger.js";
import { createServerTable } from "../src/process/serverTable.js";
import { applyVersion, type FleetVersion, parseVersion } from "../src/version/fleetVersion.js";
import { describeFit, fitLine } from "./fit.js";

const seed = 20261204;
const random = createSeededRandom(seed);
const zonesCount = 8;
const teamsCount = 73;
const poolsCount = 220;

/** Returns the median time per call in milliseconds. Each sample repeats the call to exceed the resolution of the clock. */
function timeMs(call: () => void): number {
    const samples = Array.from({ length: 7 }, () => {
        const startedMs = performance.now();
        let rounds = 0;
        do {
            call();
            rounds++;
        }
        while (performance.now() - startedMs < 20);
        return (performance.now() - startedMs) / rounds;
    });
    return samples.sort((a, b) => a - b)[3]!;
}

function heapMb(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / 2 ** 20;
}

function makeVersion(serversCount: number): FleetVersion {
    const names = (prefix: string, count: number): string[] => Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
    const pools = names("pool", Math.min(poolsCount, serversCount));
    const overlays = Object.fromEntries(
        names("az", zonesCount).map((zone, zoneIndex) => {
            const indexes = Array.from({ length: serversCount / zonesCount }, (_, index) => index);
            const servers = indexes.map(index => [`${zone}-s${index}`, {
                pool: pools[(zoneIndex * indexes.length + index) % pools.length],
                rack: `${zone}-r${Math.floor(index / 4)}`,
                vmId: `${zone}-vm${index}`,
                address: `10.${zoneIndex}.${Math.floor(index / 250)}.${index % 250}:8080`,
                slotsCount: 8,
                connectionsCount: 64,
            }]);
            return [zone, { backendServers: Object.fromEntries(servers) }];
        }),
    );
    const kind = { worth: 1, priority: "urgent", expectedRunMs: 100 };
    const base = {
        formatVersion: 1,
        pools: Object.fromEntries(
            pools.map(pool => [pool, { availabilityBudget: { minimumAvailableCount: 0, maximumDisruptedCount: 4 } }]),
        ),
        services: Object.fromEntries(
            pools.map(
                pool => [`service-${pool}`, {
                    pool,
                    requestTimeoutMs: 4000,
                    longestRunMs: 6000,
                    queueCapacityCount: 100,
                    requestKinds: { default: kind },
                }],
            ),
        ),
        teams: Object.fromEntries(names("team", teamsCount).map(team => [team, { shareWeight: 1, limitSlots: serversCount * 8 }])),
    };
    return { version: 1, changeId: "bench", operator: "bench", changedAtMs: 0, document: { base, overlays }, keys: [], drains: [] };
}

type Point = { x: number; y: number };

function report(name: string, unit: string, points: Point[]): void {
    console.log(describeFit(name, unit, fitLine(points)), "at", points.map(point => `${point.x}: ${point.y.toPrecision(3)}`).join(", "));
}

function measureVersions(): void {
    const sizes = [40, 400, 4_000, 28_000];
    const bytes: Point[] = [];
    const parse: Point[] = [];
    const apply: Point[] = [];
    const reapply: Point[] = [];
    const memory: Point[] = [];
    sizes.forEach(size => {
        const text = JSON.stringify(makeVersion(size));
        const before = heapMb();
        const record = parseVersion(text).unwrap();
        const applied = applyVersion(record).unwrap();
        const servers = createServerTable({
            timers: createManualTimerService(),
            logger: createSilentLogger(),
            signal: new AbortController().signal,
        });
        servers.apply(applied);
        memory.push({ x: size, y: heapMb() - before });
        bytes.push({ x: size, y: text.length / 1000 });
        parse.push({ x: size, y: timeMs(() => void parseVersion(text)) });
        apply.push({ x: size, y: timeMs(() => void applyVersion(record)) });
        const again = parseVersion(text).unwrap();
        reapply.push({ x: size, y: timeMs(() => void applyVersion(again, applied)) });
        void servers.all().length;
    });
    report("version document, KB", "KB a server", bytes);
    report("reading a version, ms", "ms a server", parse);
    report("applying a version, ms", "ms a server", apply);
    report("applying a version of other keys or drains, ms", "ms a server", reapply);
    report("version and server table in memory, MB", "MB a server", memory);
}

function makeAllotments(holdersCount: number): AllotmentDocument {
    const limits = new Map(Array.from({ length: teamsCount }, (_, index) => [`team-${index}`, holdersCount * 10]));
    const document = setLimits({ changeId: "bench", teams: {} }, limits, 1);
    const holders = Object.fromEntries(
        Array.from(
            { length: holdersCount },
            (_, index) => [`holder${String(index).padStart(10, "0")}`, { grantedSlots: 10, wantedSlots: random.between(0, 20) }],
        ),
    );
    return { ...document, teams: Object.fromEntries(Object.entries(document.teams).map(([team, state]) => [team, { ...state, holders }])) };
}

function measureAllotments(): void {
    const sizes = [8, 16, 64, 256];
    const bytes: Point[] = [];
    const step: Point[] = [];
    sizes.forEach(size => {
        const document = makeAllotments(size);
        bytes.push({ x: size, y: JSON.stringify(document).length / 1000 });
        const plan = (): void =>
            Object.values(document.teams).forEach(team => void planHolderStep(team, "holder0000000000", { usedSlots: 5, wantedSlots: 12 }));
        step.push({ x: size, y: timeMs(plan) });
    });
    report(`allotments of ${teamsCount} teams, KB`, "KB a holder", bytes);
    report(`planning a step for ${teamsCount} teams, ms`, "ms a holder", step);
}

function measureChoices(): void {
    const server: Point[] = [];
    const team: Point[] = [];
    const gone: Point[] = [];
    [8, 32, 128, 512].forEach(size => {
        const servers: ServerLoad[] = Array.from({ length: size }, (_, index) => ({
            serverId: `s${index}`,
            availabilityZone: "az-0",
            slotsCount: 8,
            outstandingCount: random.between(0, 8),
            isRoutable: true,
        }));
        server.push({
            x: size,
            y: 1000 * timeMs(() => void chooseServer(servers, "az-0", new Set(), bound => random.between(0, bound - 1))),
        });
        const backlogs = Array.from(
            { length: size },
            (_, index) => ({ team: `t${index}`, shareWeight: 1, recentUsageMs: random.between(0, 1000) }),
        );
        team.push({ x: size, y: 1000 * timeMs(() => void chooseTeam(backlogs)) });
        const members = Array.from({ length: size }, (_, index) => ({ memberId: `m${index}`, vmId: `v${index}`, replacedMemberIds: [] }));
        gone.push({ x: size, y: 1000 * timeMs(() => void findGoneMembers(members, new Set(["v1"]))) });
    });
    report("choosing a server, us", "us a server of the pool", server);
    report("choosing a team, us", "us a waiting team", team);
    report("finding gone members, us", "us a member", gone);
}

measureVersions();
measureAllotments();
measureChoices();
