/** Guards against wrong answers about jobs from a process that has lost contact with the store. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok } from "../../src/common/results.js";
import { createTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { createJobService, jobResultKinds, type JobService } from "../../src/process/jobService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { modelSubmission } from "../scheduling/modelJob.js";

interface Fixture {
    jobs: JobService;
    calls: string[];
    /** Sets the time since the last response of the store. */
    setUnresponsiveForMs(durationMs: number): void;
}

function createFixture(options: { isWriteAnswered: boolean }): Fixture {
    const calls: string[] = [];
    let unresponsiveForMs = 100;
    const lost = { call: "swap", reason: "timeout", isKnownNotApplied: false };
    const store = {
        swap: () => {
            calls.push("swap");
            return Promise.resolve(options.isWriteAnswered ? Ok({ isSwapped: true, revision: 2, current: [] }) : Err(lost));
        },
        read: () => {
            calls.push("read");
            return Promise.resolve(Err({ ...lost, call: "read" }));
        },
        unresponsiveForMs: () => unresponsiveForMs,
    } as unknown as ChangeFeedStore;
    const jobs = createJobService({
        store,
        mirror: () => ({ ageMs: () => unresponsiveForMs }) as unknown as StoreMirror,
        directory: createJobDirectory({ onUnreadable: () => undefined }),
        timers: createTimerService(),
        logger: createSilentLogger(),
        configurationGuard: () => undefined,
    });
    return { jobs, calls, setUnresponsiveForMs: durationMs => unresponsiveForMs = durationMs };
}

describe("job service without contact to the store", () => {
    it("should answer unknown at once, with a retry time and without calling the store", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createFixture({ isWriteAnswered: true });
        setUnresponsiveForMs(3_000);
        const answer = await jobs.submit(modelSubmission);
        assert.equal(answer.kind, jobResultKinds.unknown);
        assert.ok((answer.retryAfterMs ?? 0) > 0);
        assert.deepEqual(calls, []);
        assert.equal((await jobs.cancel("queue", "job")).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, []);
    });

    it("should not look up a write without a response after contact was lost", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createFixture({ isWriteAnswered: false });
        const answered = jobs.submit(modelSubmission);
        setUnresponsiveForMs(3_000);
        assert.equal((await answered).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap"]);
    });

    it("should look up a write without a response while the store is in contact", async () => {
        const { jobs, calls } = createFixture({ isWriteAnswered: false });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap", "read"]);
    });

    it("should accept jobs while the store is in contact", async () => {
        const { jobs } = createFixture({ isWriteAnswered: true });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.ok);
    });
});
