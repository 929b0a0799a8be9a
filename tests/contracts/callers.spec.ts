/** Contract of the callers' API: requests with their expected status, outcome and problem. Uses real processes. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { type Fleet, startFleet } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet, openService } from "../../harness/smallFleet.js";

const addressPrefix = "127.49";
const limits = { vik: 16, selfoss: 16 };

interface Case {
    title: string;
    method?: "GET" | "POST" | "PUT";
    path: string;
    headers?: Record<string, string>;
    /** Team whose API key is sent. No key if omitted. */
    team?: keyof typeof limits;
    body?: string;
    statusCode: number;
    outcome: string;
    problem?: string;
}

const once = `/v1/services/${atMostOnceService}/item`;
const cases: Case[] = [
    { title: "a team's request", path: once, team: "vik", statusCode: 200, outcome: "done" },
    {
        title: "a request with a body and a query",
        method: "POST",
        path: `${once}?page=2`,
        team: "vik",
        body: "x".repeat(1000),
        statusCode: 200,
        outcome: "done",
    },
    { title: "an open service without a key", path: `/v1/services/${openService}`, statusCode: 200, outcome: "done" },
    { title: "an open service with a team's key", path: `/v1/services/${openService}/x`, team: "vik", statusCode: 200, outcome: "done" },
    {
        title: "an open service with an unknown key",
        path: `/v1/services/${openService}/x`,
        headers: { authorization: "Bearer nj_00_00" },
        statusCode: 401,
        outcome: "not-run",
        problem: "unauthorized",
    },
    { title: "no key", path: once, statusCode: 401, outcome: "not-run", problem: "unauthorized" },
    {
        title: "no key, with an idempotency key that may have been used",
        path: once,
        headers: { "idempotency-key": "k" },
        statusCode: 401,
        outcome: "unknown",
        problem: "unauthorized",
    },
    {
        title: "a service that does not exist",
        path: "/v1/services/nothing/x",
        team: "vik",
        statusCode: 404,
        outcome: "not-run",
        problem: "no-such-service",
    },
    {
        title: "a service named like an inherited object property",
        path: "/v1/services/constructor/x",
        team: "vik",
        statusCode: 404,
        outcome: "not-run",
        problem: "no-such-service",
    },
    { title: "an unknown path", path: "/v2/x", team: "vik", statusCode: 404, outcome: "not-run", problem: "no-such-path" },
    {
        title: "a request kind that does not exist",
        path: once,
        team: "vik",
        headers: { "request-kind": "constructor" },
        statusCode: 400,
        outcome: "not-run",
        problem: "bad-request",
    },
    {
        title: "a timeout that is not a number",
        path: once,
        team: "vik",
        headers: { "request-timeout-ms": "soon" },
        statusCode: 400,
        outcome: "not-run",
        problem: "bad-request",
    },
    {
        title: "an idempotency key that is too long",
        path: once,
        team: "vik",
        headers: { "idempotency-key": "k".repeat(513) },
        statusCode: 400,
        outcome: "not-run",
        problem: "bad-request",
    },
    {
        title: "a ticket that was never issued",
        path: once,
        team: "vik",
        headers: { "idempotency-key": "njt~gone~zzzzzzzz~vik~n~s" },
        statusCode: 503,
        outcome: "unknown",
        problem: "owner-unreachable",
    },
    {
        title: "a ticket of another team",
        path: once,
        team: "vik",
        headers: { "idempotency-key": "njt~gone~zzzzzzzz~selfoss~n~s" },
        statusCode: 403,
        outcome: "not-run",
        problem: "ticket-of-other-team",
    },
];

describe("callers' API", () => {
    let fleet: Fleet;
    const keys: Record<string, string> = {};

    before(async () => {
        const document = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 1, slotsPerServer: 16, limits });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 1 });
        keys.vik = (await fleet.createKey("vik")).key;
    });
    after(() => fleet.stop());

    cases.forEach(each => {
        it(`should answer ${each.title} with ${each.statusCode} and '${each.outcome}'`, async () => {
            const authorization = each.team === undefined ? undefined : `Bearer ${keys[each.team]}`;
            const answer = await request(`http://${fleet.gateways[0]!.callerAddress}${each.path}`, {
                method: each.method ?? "GET",
                headers: { ...(authorization === undefined ? {} : { authorization }), "x-token": "t", ...each.headers },
                body: each.body,
            });
            const text = await answer.body.text();
            assert.equal(answer.statusCode, each.statusCode, text);
            assert.equal(answer.headers["nutmegjunction-outcome"], each.outcome);
            if (each.problem !== undefined) {
                assert.equal((JSON.parse(text) as { type: string }).type, `urn:nutmegjunction:problem:${each.problem}`);
            }
        });
    });

    it("should accept a ticket only for the request that it was first used with", async () => {
        const call = async (path: string, ticket: string) => {
            const answer = await request(`http://${fleet.gateways[0]!.callerAddress}${path}`, {
                method: "POST",
                headers: { "authorization": `Bearer ${keys.vik}`, "idempotency-key": ticket, "x-token": "ticket" },
            });
            await answer.body.dump();
            return answer.statusCode;
        };
        const minted = await request(`http://${fleet.gateways[0]!.callerAddress}/v1/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${keys.vik}` },
            body: JSON.stringify({ count: 2 }),
        });
        const { tickets } = await minted.body.json() as { tickets: string[] };
        assert.equal(tickets.length, 2);
        assert.deepEqual([
            await call(once, tickets[0]!),
            await call(`${once}/other`, tickets[0]!),
            await call(`${once}/other`, tickets[1]!),
        ], [200, 422, 200]);
    });
});
