/**
 * Callers' view of graceful and abrupt gateway shutdown. Uses real processes; results are checked against the backend
 * servers' journals.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { openCallerPool } from "../../harness/callService.js";
import { checkResults, hasNoViolations } from "../../harness/checkResults.js";
import { type Fleet, startFleet, waitForStatus } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../../harness/smallFleet.js";
import { startSteadyLoad, type SteadyLoad } from "../../harness/steadyLoad.js";
import { monotonicNowMs } from "../../stand-ins/backendServer.js";

const addressPrefix = "127.41";
const limits = { vik: 24 };
const openCount = 30;
const resultsBetweenSteps = 300;

describe("gateway shutdown", () => {
    let fleet: Fleet;
    let key: string;

    before(async () => {
        const document = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 3, slotsPerServer: 8, limits });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 2, environment: { NUTMEGJUNCTION_STOP_NOTICE_MS: "1500" } });
        key = (await fleet.createKey("vik")).key;
    });
    after(() => fleet.stop());

    const startLoad = (name: string, gatewayIndexes: number[]): SteadyLoad =>
        startSteadyLoad({
            callers: gatewayIndexes.map(index => openCallerPool(fleet.gateways[index]!.callerAddress)),
            openCount,
            makeCall: number => ({ service: atMostOnceService, kind: "default", token: `${name}-${number}`, key, runMs: 10 }),
        });

    it("should abort no request on SIGTERM when callers switch to another gateway once it is not ready", async () => {
        const leaving = fleet.gateways[1]!;
        const onLeaving = startLoad("term-leaving", [1]);
        const onStaying = startLoad("term-staying", [0]);
        await onLeaving.waitForMoreResults(resultsBetweenSteps);
        leaving.child.kill("SIGTERM");
        // Simulates a load balancer that stops routing to a gateway that is not ready.
        await waitForStatus(`http://${leaving.callerAddress}/readyz`, 503);
        const left = await onLeaving.end();
        assert.equal(await leaving.child.exited, 0);
        await onStaying.waitForMoreResults(resultsBetweenSteps);
        const results = [...left, ...await onStaying.end()];
        assert.deepEqual(results.filter(result => result.outcome !== "done"), []);
        const verdict = checkResults(results, await fleet.journal(), limits, () => false);
        assert.ok(hasNoViolations(verdict), JSON.stringify(verdict));
        fleet.gateways[1] = await fleet.startGateway("az-1", 1);
    });

    it("should abort no request during a rolling restart of all gateways", async () => {
        await Promise.all(fleet.gateways.map(gateway => waitForStatus(`http://${gateway.callerAddress}/readyz`, 200)));
        // Simulates a load balancer: requests go to the gateways that are ready.
        const ready = fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress));
        const load = startSteadyLoad({
            callers: ready,
            openCount,
            makeCall: number => ({ service: atMostOnceService, kind: "default", token: `roll-${number}`, key, runMs: 10 }),
        });
        for (const index of fleet.gateways.keys()) {
            const leaving = fleet.gateways[index]!;
            await load.waitForMoreResults(resultsBetweenSteps);
            leaving.child.kill("SIGTERM");
            await waitForStatus(`http://${leaving.callerAddress}/readyz`, 503);
            ready.shift();
            assert.equal(await leaving.child.exited, 0);
            fleet.gateways[index] = await fleet.startGateway("az-1", index);
            await waitForStatus(`http://${leaving.callerAddress}/readyz`, 200);
            ready.push(openCallerPool(leaving.callerAddress));
        }
        await load.waitForMoreResults(resultsBetweenSteps);
        const results = await load.end();
        assert.deepEqual(results.filter(result => result.outcome !== "done"), []);
        const verdict = checkResults(results, await fleet.journal(), limits, () => false);
        assert.ok(hasNoViolations(verdict), JSON.stringify(verdict));
    });

    it("should lose only the requests in flight on SIGKILL, and run none twice", async () => {
        const killed = fleet.gateways[1]!;
        await waitForStatus(`http://${killed.callerAddress}/readyz`, 200);
        const onKilled = startLoad("kill-killed", [1]);
        const onStaying = startLoad("kill-staying", [0]);
        await onKilled.waitForMoreResults(resultsBetweenSteps);
        killed.child.kill("SIGKILL");
        await killed.child.exited;
        const exitedAtMs = monotonicNowMs();
        const lost = await onKilled.end();
        await onStaying.waitForMoreResults(resultsBetweenSteps);
        const kept = await onStaying.end();
        const unknown = lost.filter(result => result.outcome === "unknown");
        assert.deepEqual(
            unknown.filter(result => result.endedAtMs - result.latencyMs > exitedAtMs),
            [],
            "unknown, although sent after the gateway exited",
        );
        assert.deepEqual(kept.filter(result => result.outcome !== "done"), []);
        const verdict = checkResults([...lost, ...kept], await fleet.journal(), limits, () => false);
        assert.ok(hasNoViolations(verdict), JSON.stringify(verdict));
    });
});
