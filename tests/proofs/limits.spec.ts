/**
 * No team exceeds its upper limit of concurrent requests under failures of gateways, the store and zones. Uses real
 * processes; results are checked against the backend servers' journals. The limit is below the number of slots, so that
 * the limit and not the capacity is the constraint.
 */
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { openCallerPool } from "../../harness/callService.js";
import { checkResults, peakConcurrencyByTeam } from "../../harness/checkResults.js";
import { type Fleet, startFleet, waitForStatus } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../../harness/smallFleet.js";
import { setRelayMode, setStoreFaults, type StandIn, startRelayTo } from "../../harness/standIns.js";
import { startSteadyLoad, type SteadyLoad } from "../../harness/steadyLoad.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { monotonicNowMs } from "../../stand-ins/backendServer.js";

const addressPrefix = "127.42";
/** `selfoss` is idle. It only reserves its share of the slots, since a limit must be at least the team's share. */
const limits = { vik: 12, selfoss: 40 };
const loweredLimit = 5;
const openCount = 40;
const resultsBetweenSteps = 200;
/** Exceeds the longest run and every lease in the fleet. */
const longPauseMs = 4_000;

const documentWith = (limitSlots: number) =>
    makeSmallFleet({
        addressPrefix,
        zones: ["az-1", "az-2"],
        serversPerZone: 2,
        slotsPerServer: 8,
        limits: { ...limits, vik: limitSlots },
        requestTimeoutMs: 1_500,
        longestRunMs: 1_500,
    });

describe("upper limits", () => {
    let fleet: Fleet;
    let storeRelay: StandIn;
    let key: string;
    let load: SteadyLoad;
    let testNumber = 0;

    before(async () => {
        // Zone az-2 reaches the store through a relay that can partition it.
        storeRelay = await startRelayTo(`${addressPrefix}.0.2:2379`, `${addressPrefix}.0.9:2379`);
        fleet = await startFleet({
            document: documentWith(limits.vik),
            addressPrefix,
            gatewaysPerZone: 2,
            storeAddressOf: zone => zone === "az-2" ? storeRelay.address : `${addressPrefix}.0.2:2379`,
            environment: { NUTMEGJUNCTION_STORE_TIMEOUT_MS: "500", NUTMEGJUNCTION_DUTY_LEASE_S: "2" },
        });
        key = (await fleet.createKey("vik")).key;
    });
    after(async () => {
        await fleet.stop();
        storeRelay.child.kill("SIGKILL");
    });

    beforeEach(async () => {
        testNumber++;
        const name = `limit-${testNumber}`;
        load = startSteadyLoad({
            callers: fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress)),
            openCount,
            makeCall: number => ({
                service: atMostOnceService,
                kind: "default",
                token: `${name}-${number}`,
                key,
                runMs: 20,
                timeoutMs: 1_500,
            }),
        });
        await load.waitForMoreResults(resultsBetweenSteps);
    });
    afterEach(async () => {
        const results = await load.end();
        const verdict = checkResults(results, await fleet.journal(), limits, () => false);
        assert.deepEqual(verdict, { wrongAnswers: [], falseNotRun: [], falseDone: [], doubleRuns: [], overLimit: {} });
    });

    const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, longPauseMs));

    it("should hold while gateways acquire and release slots under load, and let most of the limit be used", async () => {
        await load.waitForMoreResults(resultsBetweenSteps * 2);
        const highest = peakConcurrencyByTeam(await fleet.journal()).vik ?? 0;
        assert.ok(highest >= limits.vik - 2, `at most ${highest} of ${limits.vik} ran at once`);
    });

    it("should hold when a gateway is killed and replaced at the same address", async () => {
        fleet.gateways[1]!.child.kill("SIGKILL");
        await fleet.gateways[1]!.child.exited;
        fleet.gateways[1] = await fleet.startGateway("az-1", 1);
        await waitForStatus(`http://${fleet.gateways[1].callerAddress}/readyz`, 200);
        await waitUntil("the killed gateway's record is gone", async () => {
            const status = await fleet.callAdmin("GET", "/admin/v1/status");
            const members = status.body.members as { callerAddress: string }[];
            return members.filter(member => member.callerAddress === fleet.gateways[1]!.callerAddress).length === 1;
        });
        await load.waitForMoreResults(resultsBetweenSteps);
    });

    it("should hold when a gateway is paused for longer than any lease and resumed", async () => {
        fleet.gateways[1]!.child.kill("SIGSTOP");
        await pause();
        fleet.gateways[1]!.child.kill("SIGCONT");
        await load.waitForMoreResults(resultsBetweenSteps);
    });

    it("should hold, and requests should continue, while the store is down", async () => {
        await setStoreFaults(fleet.store, { isDown: true });
        await load.waitForMoreResults(resultsBetweenSteps);
        await pause();
        await load.waitForMoreResults(resultsBetweenSteps);
        await setStoreFaults(fleet.store, { isDown: false });
        await load.waitForMoreResults(resultsBetweenSteps);
    });

    it("should hold when the store's responses are lost after the write took effect", async () => {
        for (let round = 0; round < 5; round++) {
            await setStoreFaults(fleet.store, { lostAnswers: 3 });
            await load.waitForMoreResults(resultsBetweenSteps / 2);
        }
    });

    it("should hold, and both sides should serve, while a zone is partitioned from the store", async () => {
        await setRelayMode(storeRelay, "blackhole");
        await load.waitForMoreResults(resultsBetweenSteps);
        await pause();
        const before = load.results.length;
        await load.waitForMoreResults(resultsBetweenSteps);
        const served = load.results.slice(before).filter(result => result.outcome === "done").length;
        assert.ok(served > 0, "no request succeeded during the partition");
        await setRelayMode(storeRelay, "forward");
        await load.waitForMoreResults(resultsBetweenSteps);
    });

    it("should accept a lowered limit only once concurrency can no longer exceed it", async () => {
        const lowered = await fleet.callAdmin("PUT", "/admin/v1/configuration", documentWith(loweredLimit), { "if-match": "*" });
        const version = lowered.body.version as number;
        assert.equal(typeof version, "number", `the change was answered ${lowered.statusCode}: ${JSON.stringify(lowered.body)}`);
        let status = lowered.body;
        await waitUntil("the lowered limit is accepted", async () => {
            status = (await fleet.callAdmin("GET", "/admin/v1/configuration")).body;
            return status.version === version && status.isAccepted === true;
        }).catch((error: unknown) => assert.fail(`${String(error)}; version ${version}, last status ${JSON.stringify(status)}`));
        const acceptedAtMs = monotonicNowMs();
        await load.waitForMoreResults(resultsBetweenSteps);
        const journal = await fleet.journal();
        const since = journal.filter(entry => (entry.endMs ?? Number.POSITIVE_INFINITY) > acceptedAtMs);
        assert.ok((peakConcurrencyByTeam(since).vik ?? 0) <= loweredLimit, `${peakConcurrencyByTeam(since).vik} ran at once`);
    });
});
