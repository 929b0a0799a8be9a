/**
 * Response integrity: large bodies are streamed with bounded memory, and slow or disconnected callers do not affect
 * others. Uses real processes.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { type Pool, request } from "undici";
import { callService, openCallerPool } from "../../harness/callService.js";
import { type Fleet, startFleet } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../../harness/smallFleet.js";
import { waitUntil } from "../../harness/waitUntil.js";

const addressPrefix = "127.47";
const limits = { vik: 16, selfoss: 16 };
const megabyte = 2 ** 20;
const longBodyBytes = 256 * megabyte;
/** A gateway that buffered a whole body would grow by twice this amount. */
const allowedGrowthBytes = longBodyBytes / 2;

describe("response integrity", () => {
    let fleet: Fleet;
    let key: string;
    let caller: Pool;

    before(async () => {
        const document = makeSmallFleet({
            addressPrefix,
            zones: ["az-1"],
            serversPerZone: 1,
            slotsPerServer: 16,
            limits,
            requestTimeoutMs: 30_000,
            longestRunMs: 30_000,
        });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 1 });
        key = (await fleet.createKey("vik")).key;
        caller = openCallerPool(fleet.gateways[0]!.callerAddress);
    });
    after(() => fleet.stop());

    const memoryBytes = async (): Promise<number> => {
        // The gateway closes a kept connection after 5 s without a request, which this process notices late while it checks a long body.
        const response = await request(`http://${fleet.gateways[0]!.adminAddress}/metrics`, { reset: true });
        return Number(/^nutmegjunction_process_memory_bytes (\S+)/m.exec(await response.body.text())![1]);
    };
    const call = (token: string, answerBytes: number) =>
        callService(caller, { service: atMostOnceService, kind: "default", token, key, answerBytes, timeoutMs: 30_000 });
    /** A call with a long body, on a connection of its own. */
    const callAlone = async (token: string, answerBytes: number, body?: string) => {
        const ownPool = openCallerPool(fleet.gateways[0]!.callerAddress);
        try {
            return await callService(ownPool, {
                service: atMostOnceService,
                kind: "default",
                token,
                key,
                answerBytes,
                body,
                timeoutMs: 30_000,
            });
        }
        finally {
            await ownPool.close();
        }
    };
    const usedSlots = async (): Promise<number> => {
        const { body } = await fleet.callAdmin("GET", "/admin/v1/status");
        return (body.allotments as Record<string, { usedSlots: number }>).vik?.usedSlots ?? 0;
    };

    it("should stream a long answer with bounded memory", async () => {
        const before = await memoryBytes();
        const answer = await callAlone("long-answer", longBodyBytes);
        assert.equal(answer.outcome, "done");
        assert.equal(answer.isWrong, false);
        assert.ok(await memoryBytes() - before < allowedGrowthBytes);
    });

    it("should stream a long request with bounded memory", async () => {
        const before = await memoryBytes();
        const answer = await callAlone("long-request", 64, "x".repeat(longBodyBytes));
        assert.equal(answer.outcome, "done", JSON.stringify(answer));
        assert.ok(await memoryBytes() - before < allowedGrowthBytes);
    });

    it("should not let a stalled reader block other callers or exhaust memory", async () => {
        const before = await memoryBytes();
        const slow = await request(`http://${fleet.gateways[0]!.callerAddress}/v1/services/${atMostOnceService}/item`, {
            headers: { "authorization": `Bearer ${key}`, "x-token": "slow", "x-answer-bytes": String(longBodyBytes), "x-run-time-ms": "1" },
        });
        const others = await Promise.all(Array.from({ length: 50 }, (_, index) => call(`beside-${index}`, 4096)));
        assert.ok(others.every(answer => answer.outcome === "done" && !answer.isWrong));
        assert.ok(await memoryBytes() - before < allowedGrowthBytes);
        slow.body.destroy();
        await waitUntil("the slot is free again", async () => await usedSlots() === 0);
    });

    it("should give every caller its own response while others disconnect mid-response", async () => {
        const leaving = Array.from({ length: 20 }, (_, index) => {
            const abort = new AbortController();
            const answer = request(`http://${fleet.gateways[0]!.callerAddress}/v1/services/${atMostOnceService}/item`, {
                headers: {
                    "authorization": `Bearer ${key}`,
                    "x-token": `leaving-${index}`,
                    "x-answer-bytes": String(megabyte),
                    "x-run-time-ms": "20",
                },
                signal: abort.signal,
            }).then(response => response.body.arrayBuffer()).catch(() => undefined);
            setTimeout(() => abort.abort(), index * 2);
            return answer;
        });
        const staying = await Promise.all(Array.from({ length: 100 }, (_, index) => call(`staying-${index}`, 64 * 1024)));
        await Promise.all(leaving);
        assert.ok(staying.every(answer => answer.outcome === "done" && !answer.isWrong));
        await waitUntil("all slots are free again", async () => await usedSlots() === 0);
    });
});
