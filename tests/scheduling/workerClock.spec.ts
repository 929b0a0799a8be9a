/** Checks when a reading of a worker's clock shows that the worker has restarted, and that a late reading alone does not. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createWorkerClock } from "../../src/scheduling/workerClock.js";

const driftRatio = 0.02;

describe("the estimate of a worker's clock", () => {
    it("should be unknown before the first reading", () => {
        const clock = createWorkerClock();
        assert.equal(clock.estimateMs(1_000), undefined);
        assert.equal(clock.deviationMs(5_000, { sentAtMs: 0, readAtMs: 1_000 }), 0);
    });

    it("should go on with this process's clock", () => {
        const clock = createWorkerClock();
        clock.set(50_000, { sentAtMs: 900, readAtMs: 1_000 });
        assert.equal(clock.estimateMs(3_000), 52_000);
    });

    it("should differ from a reading that is behind or ahead of it", () => {
        const clock = createWorkerClock();
        clock.set(50_000, { sentAtMs: 990, readAtMs: 1_000 });
        assert.ok(clock.deviationMs(1_000, { sentAtMs: 1_100, readAtMs: 1_110 }) < -45_000);
        assert.ok(clock.deviationMs(90_000, { sentAtMs: 1_100, readAtMs: 1_110 }) > 35_000);
    });

    it("should not differ from a reading that was sent or read late, or by a slow clock", () => {
        const clock = createWorkerClock();
        // The worker wrote 50,000 at 0 ms; it was read 1,000 ms later.
        clock.set(50_000, { sentAtMs: 0, readAtMs: 1_000 });
        assert.equal(clock.deviationMs(51_100, { sentAtMs: 1_050, readAtMs: 1_100 }), 0, "the clock at 1,100 ms, read at once");
        assert.equal(clock.deviationMs(51_100, { sentAtMs: 1_050, readAtMs: 3_100 }), 0, "the same, read late");
        assert.equal(clock.deviationMs(50_000 + 2_000 * (1 - driftRatio), { sentAtMs: 2_000, readAtMs: 2_001 }), 0, "a slow clock");
    });
});
