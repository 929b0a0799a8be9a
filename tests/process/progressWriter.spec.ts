/** When the writer of progress counts as working: starts wait for it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok } from "../../src/common/results.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { createProgressWriter } from "../../src/process/progressWriter.js";
import type { UnsavedJob } from "../../src/scheduling/scheduler.js";

describe("the writer of progress", () => {
    it("should count as working again after its pause, also when nothing of the failed write is left to be written", async () => {
        let nowMs = 0;
        let isStoreAway = true;
        let unsaved: UnsavedJob[] = [{ jobId: "gone", version: 1, progress: { state: "running" } }];
        const store = {
            swap: () =>
                Promise.resolve(isStoreAway ? Err({ call: "swap", reason: "timeout" }) : Ok({ isSwapped: true, revision: 5, current: [] })),
        } as unknown as ChangeFeedStore;
        const writer = createProgressWriter({
            store,
            nowMs: () => nowMs,
            termRevision: () => 3,
            revisionOf: () => 0,
            takeUnsaved: () => unsaved.splice(0),
            onSaved: () => undefined,
            onSaveFailed: () => undefined,
            onSuperseded: () => undefined,
            onWriteFailed: () => undefined,
        });
        const pump = async (): Promise<void> => {
            writer.flush();
            await new Promise(resolve => setImmediate(resolve));
        };
        assert.equal(writer.isHealthy(), true);
        await pump();
        assert.equal(writer.isHealthy(), false);
        nowMs += 1_000;
        assert.equal(writer.isHealthy(), true, "a start may try the store again");
        unsaved = [{ jobId: "next", version: 1, progress: { state: "running" } }];
        writer.flush();
        assert.equal(writer.isHealthy(), false, "while that try is open");
        await new Promise(resolve => setImmediate(resolve));
        isStoreAway = false;
        nowMs += 1_000;
        unsaved = [{ jobId: "next", version: 1, progress: { state: "running" } }];
        await pump();
        assert.equal(writer.isHealthy(), true);
    });
});
