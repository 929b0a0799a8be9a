/** An accepted configuration is in force in every process and never reverts to an older version. Uses real processes. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { callService, openCallerPool } from "../../harness/callService.js";
import { callAdminAt, type Fleet, startFleet, waitForStatus } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../../harness/smallFleet.js";
import { backUpStore, restoreStore, setRelayMode, setStoreFaults, type StandIn, startRelayTo } from "../../harness/standIns.js";
import { waitUntil } from "../../harness/waitUntil.js";

const addressPrefix = "127.44";
const limits = { vik: 16, selfoss: 16 };
const longPauseMs = 2_500;

describe("configuration", () => {
    let fleet: Fleet;
    let storeRelay: StandIn;

    const documentWith = (queueCapacityCount: number) => {
        const document = makeSmallFleet({ addressPrefix, zones: ["az-1", "az-2"], serversPerZone: 1, slotsPerServer: 16, limits });
        const services = document.base.services as Record<string, Record<string, unknown>>;
        services[atMostOnceService]!.queueCapacityCount = queueCapacityCount;
        return document;
    };

    before(async () => {
        storeRelay = await startRelayTo(`${addressPrefix}.0.2:2379`, `${addressPrefix}.0.9:2379`);
        fleet = await startFleet({
            document: documentWith(100),
            addressPrefix,
            gatewaysPerZone: 2,
            storeAddressOf: zone => zone === "az-2" ? storeRelay.address : `${addressPrefix}.0.2:2379`,
            environment: { NUTMEGJUNCTION_STORE_TIMEOUT_MS: "400" },
        });
    });
    after(async () => {
        await fleet.stop();
        storeRelay.child.kill("SIGKILL");
    });

    const putConfiguration = (queueCapacityCount: number, ifMatch: string) =>
        fleet.callAdmin("PUT", "/admin/v1/configuration", documentWith(queueCapacityCount), { "if-match": ifMatch });
    const versionsInForce = async (): Promise<number[]> =>
        Promise.all(fleet.gateways.map(async gateway => {
            const answer = await callAdminAt(gateway.adminAddress, "GET", "/admin/v1/configuration");
            return answer.body.version as number;
        }));
    const currentVersion = async (): Promise<number> => (await versionsInForce())[0]!;
    const isAccepted = async (version: number): Promise<boolean> => {
        const { body } = await fleet.callAdmin("GET", "/admin/v1/configuration");
        return body.version === version && body.isAccepted === true;
    };
    const callWithKey = (key: string, gatewayIndex: number) => {
        const caller = openCallerPool(fleet.gateways[gatewayIndex]!.callerAddress);
        return callService(caller, { service: atMostOnceService, kind: "default", token: `key-${gatewayIndex}`, key });
    };

    it("should apply an accepted version in every live process", async () => {
        const answer = await putConfiguration(101, "*");
        assert.equal(answer.statusCode, 200);
        assert.deepEqual(await versionsInForce(), Array(4).fill(answer.body.version));
    });

    it("should accept one of two concurrent writes and report the differences to the other", async () => {
        const from = `"${await currentVersion()}"`;
        const answers = await Promise.all([putConfiguration(102, from), putConfiguration(103, from)]);
        assert.deepEqual(answers.map(answer => answer.statusCode).sort(), [200, 412]);
        const lost = answers.find(answer => answer.statusCode === 412)!;
        assert.match(JSON.stringify(lost.body.differences), /queueCapacityCount/);
    });

    it("should report all findings of an invalid document together, with their paths", async () => {
        const document = documentWith(0);
        (document.overlays["az-2"] as Record<string, unknown>).surprise = true;
        const answer = await fleet.callAdmin("PUT", "/admin/v1/configuration", document, { "if-match": "*" });
        assert.equal(answer.statusCode, 422);
        const paths = (answer.body.findings as { path: string; source: string }[]).map(finding => `${finding.source} ${finding.path}`)
            .sort();
        assert.deepEqual(paths, ["az-2 surprise", `base services.${atMostOnceService}.queueCapacityCount`]);
    });

    it("should determine whether a write took effect when the store's response was lost", async () => {
        await setStoreFaults(fleet.store, { lostAnswers: 1 });
        const before = await currentVersion();
        const answer = await putConfiguration(104, "*");
        await setStoreFaults(fleet.store, { lostAnswers: 0 });
        assert.equal(answer.statusCode, 200);
        assert.ok((answer.body.version as number) > before);
    });

    it("should reject a withdrawn key everywhere once the withdrawal is accepted", async () => {
        const minted = await fleet.createKey("vik");
        assert.equal((await callWithKey(minted.key, 3)).outcome, "done");
        const withdrawn = await fleet.callAdmin("DELETE", `/admin/v1/keys/${minted.keyId}`);
        assert.equal(withdrawn.statusCode, 200);
        const answers = await Promise.all([0, 1, 2, 3].map(index => callWithKey(minted.key, index)));
        assert.deepEqual(answers.map(answer => answer.problem), Array(4).fill("unauthorized"));
    });

    it("should report a partitioned zone, accept no change without it, and converge once it reconnects", async () => {
        const minted = await fleet.createKey("vik");
        await setRelayMode(storeRelay, "blackhole");
        const withdrawn = await fleet.callAdmin("DELETE", `/admin/v1/keys/${minted.keyId}`);
        assert.equal(withdrawn.statusCode, 202);
        assert.deepEqual(withdrawn.body.zonesMissing, ["az-2"]);
        assert.equal((await callWithKey(minted.key, 0)).problem, "unauthorized");
        assert.equal((await callWithKey(minted.key, 3)).outcome, "done", "the partitioned zone keeps serving");
        await setRelayMode(storeRelay, "forward");
        await waitUntil("the withdrawal is accepted", () => isAccepted(withdrawn.body.version as number));
        assert.equal((await callWithKey(minted.key, 3)).problem, "unauthorized");
    });

    it("should not revert to an older version when the store is restored from a backup", async () => {
        await backUpStore(fleet.store);
        const answer = await putConfiguration(105, "*");
        await restoreStore(fleet.store);
        const version = answer.body.version as number;
        await waitUntil("the newer version is written back and accepted", () => isAccepted(version));
        assert.deepEqual(await versionsInForce(), Array(4).fill(version));
        const next = await putConfiguration(106, "*");
        assert.ok((next.body.version as number) > version);
    });

    it("should start a joining gateway with its peers' version while the store is down", async () => {
        const version = await currentVersion();
        fleet.gateways[1]!.child.kill("SIGKILL");
        await fleet.gateways[1]!.child.exited;
        await setStoreFaults(fleet.store, { isDown: true });
        const seeds = `${addressPrefix}.1.11:7003`;
        fleet.gateways[1] = await fleet.startGateway("az-1", 1, { NUTMEGJUNCTION_PEER_SEEDS: seeds });
        await waitForStatus(`http://${fleet.gateways[1].callerAddress}/readyz`, 200);
        assert.equal((await versionsInForce())[1], version);
        await setStoreFaults(fleet.store, { isDown: false });
    });

    it("should never serve with an outdated configuration after a pause", async () => {
        const minted = await fleet.createKey("vik");
        const paused = fleet.gateways[3]!;
        // Open connections before the pause: the resumed process reads them first.
        const callers = Array.from({ length: 20 }, () => openCallerPool(paused.callerAddress));
        const callAll = () =>
            Promise.all(
                callers.map(caller =>
                    callService(caller, { service: atMostOnceService, kind: "default", token: "paused", key: minted.key })
                ),
            );
        assert.deepEqual((await callAll()).map(answer => answer.outcome), Array(20).fill("done"));
        paused.child.kill("SIGSTOP");
        const withdrawn = await fleet.callAdmin("DELETE", `/admin/v1/keys/${minted.keyId}`);
        assert.equal(withdrawn.statusCode, 202);
        const answers = callAll();
        await new Promise(resolve => setTimeout(resolve, longPauseMs));
        paused.child.kill("SIGCONT");
        assert.deepEqual((await answers).filter(answer => answer.outcome === "done"), []);
        await waitUntil("the withdrawal is accepted", () => isAccepted(withdrawn.body.version as number));
    });
});
