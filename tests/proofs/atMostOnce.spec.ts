/**
 * Non-repeatable requests run at most once, and "not-run" is only reported for requests that have not run. Covers
 * duplicates sent to several gateways, retries after "unknown", killed gateways, lost store responses and unresponsive
 * servers. Results are checked against the backend servers' journals.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { type Pool, request } from "undici";
import { type CallResult, callService } from "../../harness/callService.js";
import { openCallerPool } from "../../harness/callService.js";
import { checkResults, hasNoViolations } from "../../harness/checkResults.js";
import { type Fleet, startFleet, waitForStatus } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet, repeatableService } from "../../harness/smallFleet.js";
import { setServerFaults, setStoreFaults } from "../../harness/standIns.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { type ServerFaultMode, serverFaultModes } from "../../stand-ins/backendServer.js";

const addressPrefix = "127.43";
const limits = { vik: 32, selfoss: 32 };
const timeoutMs = 600;

describe("non-repeatable requests", () => {
    let fleet: Fleet;
    let key: string;
    let callers: Pool[];
    const results: CallResult[] = [];
    let nextToken = 0;

    before(async () => {
        const document = makeSmallFleet({
            addressPrefix,
            zones: ["az-1"],
            serversPerZone: 2,
            slotsPerServer: 16,
            limits,
            requestTimeoutMs: 2_000,
            longestRunMs: 2_000,
        });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 3, environment: { NUTMEGJUNCTION_STORE_TIMEOUT_MS: "500" } });
        key = (await fleet.createKey("vik")).key;
        callers = fleet.gateways.map(gateway => openCallerPool(gateway.callerAddress));
    });
    after(async () => {
        await fleet.stop();
    });

    const newToken = (name: string): string => `${name}-${nextToken++}`;

    const call = async (
        gatewayIndex: number,
        token: string,
        idempotencyKey: string | undefined,
        runMs = 10,
        service = atMostOnceService,
    ): Promise<CallResult> => {
        const result = await callService(callers[gatewayIndex]!, {
            service,
            kind: "default",
            token,
            key,
            runMs,
            timeoutMs,
            idempotencyKey,
        });
        results.push(result);
        return result;
    };

    const createTicket = async (gatewayIndex: number): Promise<string> => {
        const address = fleet.gateways[gatewayIndex]!.callerAddress;
        const answer = await request(`http://${address}/v1/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}` },
            body: "{}",
        });
        return (await answer.body.json() as { tickets: string[] }).tickets[0]!;
    };

    const setServers = (mode: ServerFaultMode): Promise<unknown> =>
        Promise.all([...fleet.servers.values()].map(server => setServerFaults(server, { mode })));

    const assertClean = async (): Promise<void> => {
        const verdict = checkResults(results, await fleet.journal(), limits, token => token.startsWith("repeat"));
        assert.ok(hasNoViolations(verdict), JSON.stringify(verdict));
    };

    const runsOf = async (token: string): Promise<number> => (await fleet.journal()).filter(entry => entry.token === token).length;

    it("should run a request with a ticket once and replay its response at every gateway", async () => {
        const ticket = await createTicket(0);
        const token = newToken("ticket");
        const answers = await Promise.all([0, 1, 2, 0, 1, 2].map(index => call(index, token, ticket)));
        assert.deepEqual(answers.map(answer => answer.outcome), Array(6).fill("done"));
        assert.equal(await runsOf(token), 1);
        assert.equal((await call(1, token, ticket)).outcome, "done");
        await assertClean();
    });

    it("should run a request once when its caller-chosen idempotency key is sent to all gateways concurrently", async () => {
        const token = newToken("own");
        const answers = await Promise.all([0, 1, 2, 0, 1, 2].map(index => call(index, token, `own-${token}`)));
        assert.deepEqual(answers.map(answer => answer.outcome), Array(6).fill("done"));
        assert.equal(await runsOf(token), 1);
        await assertClean();
    });

    it("should run a request once when the store's responses to its key claim are lost", async () => {
        for (let round = 0; round < 5; round++) {
            const token = newToken("lost");
            await setStoreFaults(fleet.store, { lostAnswers: 1 });
            await Promise.all([0, 1, 2].map(index => call(index, token, `own-${token}`)));
            assert.ok(await runsOf(token) <= 1);
            assert.equal((await call(round % 3, token, `own-${token}`)).outcome, "done");
            assert.equal(await runsOf(token), 1);
        }
        await setStoreFaults(fleet.store, { lostAnswers: 0 });
        await assertClean();
    });

    it("should not answer 'not-run' for a key that cannot be checked while the store is down, and still run tickets", async () => {
        const token = newToken("outage");
        const ticketToken = newToken("outage-ticket");
        await call(0, token, "outage-key");
        const ticket = await createTicket(1);
        await setStoreFaults(fleet.store, { isDown: true });
        const retried = await call(2, token, "outage-key");
        const replayed = await call(0, token, "outage-key");
        const ticketAnswer = await call(2, ticketToken, ticket);
        await setStoreFaults(fleet.store, { isDown: false });
        assert.equal(retried.outcome, "unknown");
        assert.equal(replayed.outcome, "done");
        assert.equal(ticketAnswer.outcome, "done");
        await assertClean();
    });

    const faults: { mode: ServerFaultMode; outcome: string }[] = [
        { mode: serverFaultModes.silent, outcome: "unknown" },
        { mode: serverFaultModes.late, outcome: "unknown" },
        { mode: serverFaultModes.crossed, outcome: "unknown" },
        { mode: serverFaultModes.short, outcome: "unknown" },
        { mode: serverFaultModes.unterminated, outcome: "unknown" },
        { mode: serverFaultModes.refuses, outcome: "not-run" },
    ];
    faults.forEach(({ mode, outcome }) => {
        it(`should answer '${outcome}' without a second run while servers are in fault mode '${mode}'`, async () => {
            await setServers(mode);
            const plain = newToken(`plain-${mode}`);
            const keyed = newToken(`keyed-${mode}`);
            const ticket = await createTicket(0);
            const answers = [await call(0, plain, undefined), await call(1, keyed, ticket), await call(2, keyed, ticket)];
            await setServers(serverFaultModes.none);
            // A response that has started is aborted, which the client reports as unknown.
            assert.deepEqual(answers.map(answer => answer.outcome), Array(3).fill(outcome));
            const after = await call(1, keyed, ticket);
            assert.equal(after.outcome, outcome === "not-run" ? "done" : "unknown");
            await assertClean();
        });
    });

    it("should retry a repeatable request when a server fails before responding", async () => {
        const [first] = [...fleet.servers.values()];
        await setServerFaults(first!, { mode: serverFaultModes.crossed });
        const answers = await Promise.all(Array.from({ length: 6 }, () => call(0, newToken("repeat"), undefined, 10, repeatableService)));
        await setServerFaults(first!, { mode: serverFaultModes.none });
        assert.deepEqual(answers.map(answer => answer.outcome), Array(6).fill("done"));
        await assertClean();
    });

    it("should answer 'unknown' without a second run for keys whose owner was killed", async () => {
        const ticket = await createTicket(2);
        const ticketToken = newToken("killed-ticket");
        const ownToken = newToken("killed-own");
        const running = [call(2, ticketToken, ticket, 400), call(2, ownToken, "killed-key", 400)];
        await waitUntil("both requests are running", async () => await runsOf(ticketToken) + await runsOf(ownToken) === 2);
        fleet.gateways[2]!.child.kill("SIGKILL");
        await Promise.all(running);
        fleet.gateways[2] = await fleet.startGateway("az-1", 2);
        await waitForStatus(`http://${fleet.gateways[2].callerAddress}/readyz`, 200);
        const retries = await Promise.all(
            [0, 1, 2].flatMap(index => [call(index, ticketToken, ticket), call(index, ownToken, "killed-key")]),
        );
        assert.deepEqual(retries.map(answer => answer.outcome), Array(6).fill("unknown"));
        await assertClean();
    });
});
