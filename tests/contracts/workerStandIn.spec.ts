/** Contract of the worker stand-in that other tests rely on. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { waitUntil } from "../../harness/waitUntil.js";
import { startWorker, type WorkerTask, type WorkerUsage } from "../../stand-ins/worker.js";

const usageLagMs = 50;
const longLeaseMs = 60_000;

describe("worker stand-in", () => {
    const lifetime = new AbortController();
    let base: string;
    before(async () => {
        base = `http://127.0.0.1:${await startWorker({ host: "127.0.0.1", port: 0 }, usageLagMs, lifetime.signal)}`;
    });
    after(() => lifetime.abort());

    const call = async (method: "GET" | "PUT" | "POST", path: string, body?: unknown) => {
        const answer = await request(`${base}${path}`, { method, body: body === undefined ? undefined : JSON.stringify(body) });
        return { statusCode: answer.statusCode, body: await answer.body.json() };
    };
    const start = (taskId: string, runMs: number, leaseMs = longLeaseMs, fence = 5) =>
        call("PUT", `/v1/tasks/${taskId}`, { fence, leaseMs, cores: 2, memoryMb: 100, runMs });
    const stateOf = async (taskId: string) =>
        ((await call("GET", "/v1/tasks")).body as { tasks: WorkerTask[] }).tasks.find(task => task.taskId === taskId)?.state;
    const usedCores = async () => ((await call("GET", "/v1/usage")).body as WorkerUsage).cores;

    it("should run a task to completion and report its usage", async () => {
        await start("short", 200);
        await waitUntil("the usage is reported", async () => await usedCores() === 2);
        await waitUntil("the task is done", async () => await stateOf("short") === "done");
    });

    it("should stop a task whose lease lapses, and keep one whose lease is still valid", async () => {
        const shortLeaseMs = 40;
        await start("lapsing", 60_000, shortLeaseMs);
        await start("renewed", 60_000, longLeaseMs);
        await waitUntil("the lease has lapsed", async () => await stateOf("lapsing") === "leaseLapsed");
        assert.equal(await stateOf("renewed"), "running");
    });

    it("should reject a fencing token lower than the highest one seen", async () => {
        await start("fenced", 60_000, longLeaseMs, 9);
        assert.equal((await start("late", 60_000, longLeaseMs, 8)).statusCode, 409);
    });

    it("should throttle, checkpoint and stop a task", async () => {
        await start("patient", 60_000, longLeaseMs, 9);
        const throttled = (await call("POST", "/v1/tasks/patient/throttle")).body as WorkerTask;
        assert.ok(throttled.speedPart < 1);
        const kept = (await call("POST", "/v1/tasks/patient/checkpoint")).body as WorkerTask;
        assert.equal(kept.checkpointLeftMs, kept.leftMs);
        assert.equal(((await call("POST", "/v1/tasks/patient/stop")).body as WorkerTask).state, "stopped");
    });

    it("should fail every new task while failing everything is enabled", async () => {
        await call("POST", "/faults", { failsEverything: true });
        assert.equal(((await start("doomed", 100, longLeaseMs, 9)).body as WorkerTask).state, "failed");
    });
});
