/** Checks that a reader which takes PIPE_BUF bytes of each write gets every line. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import { logEvents, logLevels } from "../../src/process/logEvents.js";
import { createLogger } from "../../src/process/logger.js";

const pipeBufBytes = 4_096;

describe("logger", () => {
    it("should write batches that a pipe takes as a whole, without splitting lines", () => {
        const timers = createManualTimerService();
        const writes: string[] = [];
        const logger = createLogger({
            minimumLevel: logLevels.info,
            processFields: { memberId: "member" },
            write: batch => void writes.push(batch),
            timers,
            signal: new AbortController().signal,
        });
        const linesCount = 100;
        for (let line = 0; line < linesCount; line++) {
            logger.log(logEvents.schedulingDecided, { line: `${line}`, detail: "é".repeat(100) });
        }
        logger.flush();
        assert.deepEqual(writes.filter(each => Buffer.byteLength(each) > pipeBufBytes || !each.endsWith("\n")), []);
        assert.equal(writes.join("").trimEnd().split("\n").length, linesCount);
        assert.ok(writes.length < linesCount / 2, "several lines share a write");
    });
});
