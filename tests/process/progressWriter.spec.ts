/** Guards against starts that wait forever because the progress writer never becomes healthy again after a failed write. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok } from "../../src/common/results.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { createProgressWriter } from "../../src/process/progressWriter.js";
import type { UnsavedJob } from "../../src/scheduling/scheduler.js";

describe("progress writer", () => {
    it("should become healthy again after its backoff, even if nothing of the failed write is left to write", async () => {
        let nowMs = 0;
        let isStoreUnavailable = true;
        let unsaved: UnsavedJob[] = [{ jobId: "gone", version: 1, progress: { state: "running" } }];
        const store = {
            swap: () =>
                Promise.resolve(
                    isStoreUnavailable ? Err({ call: "swap", reason: "timeout" }) : Ok({ isSwapped: true, revision: 5, current: [] }),
                ),
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
        const flush = async (): Promise<void> => {
            writer.flush();
            await new Promise(resolve => setImmediate(resolve));
        };
        assert.equal(writer.isHealthy(), true);
        await flush();
        assert.equal(writer.isHealthy(), false);
        nowMs += 1_000;
        assert.equal(writer.isHealthy(), true, "the next write may probe the store");
        unsaved = [{ jobId: "next", version: 1, progress: { state: "running" } }];
        writer.flush();
        assert.equal(writer.isHealthy(), false, "while the probe is in flight");
        await new Promise(resolve => setImmediate(resolve));
        isStoreUnavailable = false;
        nowMs += 1_000;
        unsaved = [{ jobId: "next", version: 1, progress: { state: "running" } }];
        await flush();
        assert.equal(writer.isHealthy(), true);
    });
});
