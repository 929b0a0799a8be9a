/** Guards against a log that is flooded by documents that another writer rewrites again and again. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { LogEvent } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createUnreadableDocumentLog } from "../../src/process/unreadableDocuments.js";

function createFixture() {
    const timers = createManualTimerService();
    const lines: LogFields[] = [];
    const logger = { ...createSilentLogger(), log: (_: LogEvent, fields?: LogFields) => void lines.push(fields ?? {}) };
    return { timers, lines, report: createUnreadableDocumentLog(logger, timers.nowMs) };
}

describe("a document that cannot be read", () => {
    it("should be logged once while it is rewritten every second, and again after a minute with the number of repeats", () => {
        const { timers, lines, report } = createFixture();
        for (let second = 0; second < 61; second++) {
            report("servers/odd", `reason ${second}`);
            timers.advance(1_000);
        }
        report("servers/other", "x".repeat(1_000_000));
        assert.deepEqual(lines.map(({ key, repeatsCount }) => [key, repeatsCount]), [
            ["servers/odd", undefined],
            ["servers/odd", 59],
            ["servers/other", undefined],
        ]);
        assert.ok(lines.every(({ reason }) => String(reason).length <= 300));
    });

    it("should be logged for a bounded number of keys a minute", () => {
        const { timers, lines, report } = createFixture();
        for (let key = 0; key < 5_000; key++) {
            report(`servers/${key}`, "reason");
        }
        assert.equal(lines.length, 1_000);
        timers.advance(60_000);
        report("servers/later", "reason");
        assert.deepEqual([lines.length, lines.at(-1)!["unloggedKeysCount"]], [1_001, 4_000]);
    });
});
