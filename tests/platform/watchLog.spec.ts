/** Guards against a watch that fails again and again without a log line while other calls succeed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { WatchFailure, WatchResponse } from "../../platform/storeFollower.js";
import { createWatchLog } from "../../platform/watchLog.js";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";

const failure: WatchFailure = {
    prefix: "a/",
    fromRevision: 5,
    newestKnownRevision: 9,
    reason: "timeout",
    failuresInARow: 1,
    receivedBytes: 100,
    durationMs: 1_700,
    ageMs: 2_000,
};
const response: WatchResponse = {
    prefix: "a/",
    changesCount: 0,
    fromRevision: 5,
    toRevision: 9,
    newestKnownRevision: 9,
    durationMs: 10,
    ageMs: 0,
    failuresInARow: 0,
};

function createFixture() {
    const logged: [number, LogFields][] = [];
    let nowMs = 0;
    const log = createWatchLog({
        logger: { ...createSilentLogger(), log: (event, fields = {}) => void logged.push([event.id, fields]) },
        nowMs: () => nowMs,
    });
    return { log, logged, advance: (durationMs: number) => nowMs += durationMs };
}

describe("the log of the watches", () => {
    it("should contain the first failure in a row of each prefix, and then one every two seconds", () => {
        const { log, logged, advance } = createFixture();
        for (let failuresInARow = 1; failuresInARow <= 50; failuresInARow++) {
            log.onWatchFailure({ ...failure, failuresInARow });
            advance(100);
        }
        log.onWatchFailure({ ...failure, prefix: "b/" });
        assert.deepEqual(logged.map(([id]) => id), Array.from({ length: 4 }, () => logEvents.watchFailed.id));
        assert.deepEqual(logged.map(([, fields]) => fields["failuresInARow"]), [1, 21, 41, 1]);
        assert.deepEqual(logged[0]![1], failure);
    });

    it("should contain the recovery, and no response without changes otherwise", () => {
        const { log, logged } = createFixture();
        log.onWatchResponse(response);
        log.onWatchResponse({ ...response, failuresInARow: 7 });
        assert.deepEqual(logged, [[logEvents.watchRecovered.id, { ...response, failuresInARow: 7 }]]);
    });

    it("should contain many changes, and late ones", () => {
        const { log, logged } = createFixture();
        log.onWatchResponse({ ...response, changesCount: 1 });
        log.onWatchResponse({ ...response, changesCount: 200 });
        log.onWatchResponse({ ...response, changesCount: 1, ageMs: 2_000 });
        assert.deepEqual(logged.map(([id]) => id), [logEvents.changesReceivedLate.id, logEvents.changesReceivedLate.id]);
    });
});
