/** Leaving servers get no new requests, and unresponsive connections do not block new requests. Uses real processes. */
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { type CallResult, openCallerPool } from "../../harness/callService.js";
import { checkResults, hasNoViolations } from "../../harness/checkResults.js";
import { type Fleet, startFleet } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet, smallFleetServerAddress } from "../../harness/smallFleet.js";
import { setRelayMode, setServerFaults, setStoreFaults, setVms, type StandIn, startRelayTo } from "../../harness/standIns.js";
import { startSteadyLoad, type SteadyLoad } from "../../harness/steadyLoad.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { monotonicNowMs } from "../../stand-ins/backendServer.js";

const addressPrefix = "127.45";
const limits = { vik: 24, selfoss: 24 };
const openCount = 10;
const resultsBetweenSteps = 200;
/** Time within which a leaving server may still get requests. Covers a VM list that lags 200 ms and is polled every second. */
const leavingGraceMs = 3_000;
const relayedServer = "az-1-s3";

describe("leaving and unresponsive backend servers", () => {
    let fleet: Fleet;
    let relay: StandIn;
    let key: string;
    let load: SteadyLoad;
    let testNumber = 0;

    before(async () => {
        const relayAddress = `${addressPrefix}.0.9:8080`;
        relay = await startRelayTo(smallFleetServerAddress(addressPrefix, 0, 2), relayAddress);
        const document = makeSmallFleet({
            addressPrefix,
            zones: ["az-1"],
            serversPerZone: 3,
            slotsPerServer: 8,
            limits,
            requestTimeoutMs: 1_000,
            longestRunMs: 1_000,
            serverAddress: (serverId, ownAddress) => serverId === relayedServer ? relayAddress : ownAddress,
        });
        // The servers listen on their own addresses; only the configuration points to the relay.
        const directDocument = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 3, slotsPerServer: 8, limits });
        fleet = await startFleet({ document, serverDocument: directDocument, addressPrefix, gatewaysPerZone: 2 });
        key = (await fleet.createKey("vik")).key;
    });
    after(async () => {
        await fleet.stop();
        relay.child.kill("SIGKILL");
    });
    beforeEach(async () => {
        const name = `leave-${testNumber++}`;
        load = startSteadyLoad({
            callers: fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress)),
            openCount,
            makeCall: number => ({ service: atMostOnceService, kind: "default", token: `${name}-${number}`, key, runMs: 10 }),
        });
        await load.waitForMoreResults(resultsBetweenSteps);
    });
    afterEach(async () => {
        const verdict = checkResults(await load.end(), await fleet.journal(), limits, () => false);
        assert.ok(hasNoViolations(verdict), JSON.stringify(verdict));
    });

    const startsSince = async (serverId: string, sinceMs: number): Promise<number> =>
        (await fleet.journal()).filter(entry => entry.serverId === serverId && entry.startMs > sinceMs).length;

    /** Waits for the grace period to end, then asserts that the server gets no requests while the load continues. */
    const assertGetsNoWork = async (serverId: string, sinceMs: number): Promise<void> => {
        await waitUntil("the grace period has ended", () => monotonicNowMs() > sinceMs + leavingGraceMs);
        await load.waitForMoreResults(resultsBetweenSteps);
        assert.equal(await startsSince(serverId, sinceMs + leavingGraceMs), 0);
    };
    const assertGetsWork = (serverId: string, sinceMs: number): Promise<void> =>
        waitUntil(`${serverId} gets requests`, async () => await startsSince(serverId, sinceMs) > 0);

    const leaveSignals: { name: string; leave(): Promise<unknown>; withdraw(): Promise<unknown> }[] = [
        {
            name: "an operator drains it",
            leave: () => fleet.callAdmin("POST", "/admin/v1/drains", { serverId: "az-1-s1" }),
            withdraw: () => fleet.callAdmin("DELETE", "/admin/v1/drains/az-1-s1"),
        },
        {
            name: "it announces that it is leaving while the store is down",
            leave: async () => {
                await setStoreFaults(fleet.store, { isDown: true });
                await setServerFaults(fleet.servers.get("az-1-s1")!, { isLeaving: true });
            },
            withdraw: async () => {
                await setStoreFaults(fleet.store, { isDown: false });
                await setServerFaults(fleet.servers.get("az-1-s1")!, { isLeaving: false });
            },
        },
        {
            name: "the VM list reports it as leaving while the store is down",
            leave: async () => {
                await setStoreFaults(fleet.store, { isDown: true });
                await setVms(fleet.vmList, [{ vmId: "az-1-s1", availabilityZone: "az-1", state: "leaving" }]);
            },
            withdraw: async () => {
                await setStoreFaults(fleet.store, { isDown: false });
                await setVms(fleet.vmList, [{ vmId: "az-1-s1", availabilityZone: "az-1", state: "live" }]);
            },
        },
    ];
    leaveSignals.forEach(({ name, leave, withdraw }) => {
        it(`should send no new requests to a leaving server when ${name}`, async () => {
            await leave();
            await assertGetsNoWork("az-1-s1", monotonicNowMs());
            const cameAtMs = monotonicNowMs();
            await withdraw();
            await assertGetsWork("az-1-s1", cameAtMs);
        });
    });

    it("should keep serving, and use the server again, after its open connections became unresponsive", async () => {
        await assertGetsWork(relayedServer, monotonicNowMs());
        const cutAtMs = monotonicNowMs();
        await setRelayMode(relay, "silent");
        await load.waitForMoreResults(resultsBetweenSteps);
        await assertGetsWork(relayedServer, cutAtMs + 1);
        await load.waitForMoreResults(resultsBetweenSteps);
        const unknown = (results: CallResult[]): number => results.filter(result => result.outcome === "unknown").length;
        assert.ok(unknown(load.results) <= 2 * openCount, `${unknown(load.results)} unknown`);
    });

    it("should eject a server that fails every request immediately, and use it again once it recovers", async () => {
        const server = fleet.servers.get("az-1-s2")!;
        const servers = async () =>
            (await fleet.callAdmin("GET", "/admin/v1/status")).body.servers as { serverId: string; isEjected: boolean }[];
        const isEjected = async (): Promise<boolean> => (await servers()).some(each => each.serverId === "az-1-s2" && each.isEjected);
        await setServerFaults(server, { mode: "failsEverything" });
        await waitUntil("it is ejected", isEjected);
        await setServerFaults(server, { mode: "none" });
        await waitUntil("it is used again", async () => !await isEjected());
    });
});
