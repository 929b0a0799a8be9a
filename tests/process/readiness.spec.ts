/** Whether a process is ready for callers, and what is logged when that changes. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createMetrics, renderMetrics } from "../../src/process/metrics.js";
import { createReadinessCheck, type ReadinessFigures } from "../../src/process/readiness.js";

const ready: ReadinessFigures = {
    isStopping: false,
    hasConfiguration: true,
    storeUnresponsiveMs: 1_199,
    configurationAgeMs: 1_999,
    jobsAgeMs: 1_999,
};

function createFixture() {
    const logged: LogFields[] = [];
    let figures = ready;
    const check = createReadinessCheck({
        figures: () => figures,
        logger: {
            ...createSilentLogger(),
            log: (event, fields = {}) => {
                assert.equal(event.id, logEvents.readinessChanged.id);
                logged.push(fields);
            },
        },
    });
    return {
        logged,
        isReadyWith: (changed: Partial<ReadinessFigures>): boolean => {
            figures = { ...ready, ...changed };
            return check();
        },
    };
}

describe("the readiness of a process", () => {
    it("should need a configuration and a store that has responded and confirmed the copies", () => {
        const { isReadyWith } = createFixture();
        assert.equal(isReadyWith({}), true);
        const notReady: Partial<ReadinessFigures>[] = [
            { isStopping: true },
            { hasConfiguration: false },
            { storeUnresponsiveMs: 1_200 },
            { storeUnresponsiveMs: undefined },
            { configurationAgeMs: 2_000 },
            { configurationAgeMs: undefined },
            { jobsAgeMs: 2_000 },
            { jobsAgeMs: undefined },
        ];
        notReady.forEach(changed => assert.equal(isReadyWith(changed), false, JSON.stringify(changed)));
    });

    it("should be logged once when it changes, with the figures that decide it", () => {
        const { isReadyWith, logged } = createFixture();
        isReadyWith({ hasConfiguration: false });
        assert.deepEqual(logged, [], "a process starts as not ready");
        for (const changed of [{}, {}, { jobsAgeMs: 2_500.4 }, { jobsAgeMs: undefined }, {}]) {
            isReadyWith(changed);
        }
        assert.deepEqual(logged, [
            { ...ready, isReady: true },
            { ...ready, jobsAgeMs: 2_500, isReady: false },
            { ...ready, isReady: true },
        ]);
    });
});

describe("the metrics of the store's copies", () => {
    it("should contain the age of each copy that was confirmed", async () => {
        const text = await renderMetrics(createMetrics(), {}, { "a/": 1_500, "b/": undefined });
        assert.match(text, /nutmegjunction_store_copy_age_seconds{prefix="a\/"} 1.5/);
        assert.doesNotMatch(text, /prefix="b/);
    });
});
