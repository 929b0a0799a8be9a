/** Guards against submissions that are answered "unknown" or wrongly "not stored" after a response of the store was lost. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok, type Result } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { PlatformStore, StoreError, StoreGuard, SwapOutcome } from "../../src/connection/platformStore.js";
import { commitOutcomes, type CommitResult, createGroupCommit } from "../../src/process/groupCommit.js";

type Swapped = Result<SwapOutcome, StoreError>;

const lost: Swapped = Err({ call: "swap", reason: "reset" });
const rejected: Swapped = Err({ call: "swap", reason: "status 503", isKnownNotApplied: true });
const applied: Swapped = Ok({ isSwapped: true, revision: 5, current: [] });
const conflict = (...keys: string[]): Swapped =>
    Ok({ isSwapped: false, revision: 0, current: keys.map(key => ({ key, value: "value", revision: 3 })) });

describe("a commit whose response was lost", () => {
    /** Commits one key with the given answers to its writes; returns the result and the number of writes. */
    const commit = async (answers: Swapped[], options = { isStoreReachable: true }) => {
        const timers = createManualTimerService();
        const guards: StoreGuard[][] = [];
        let result: CommitResult | undefined;
        const group = createGroupCommit({
            store: {
                swap: (sent: StoreGuard[]) => {
                    guards.push(sent);
                    return Promise.resolve(answers.shift()!);
                },
                read: () => Promise.resolve(Ok(undefined)),
            } as unknown as PlatformStore,
            timers,
            sharedGuard: () => ({ key: "configuration", expectedRevision: 3 }),
            onGuardChanged: () => undefined,
            isStoreReachable: () => options.isStoreReachable,
        });
        void group.create("job", "value").then(settled => result = settled);
        for (let round = 0; round < 10; round++) {
            timers.advance(5);
            await new Promise(resolve => setImmediate(resolve));
        }
        return { ...result, writesCount: guards.length };
    };

    it("should be repeated once and succeed", async () => {
        assert.deepEqual(await commit([lost, applied]), {
            outcome: commitOutcomes.stored,
            revision: 5,
            wasPresent: false,
            value: "value",
            writesCount: 2,
        });
    });

    it("should be stored if the repeated write finds the key", async () => {
        assert.deepEqual(await commit([lost, conflict("configuration", "job")]), {
            outcome: commitOutcomes.stored,
            revision: 3,
            wasPresent: true,
            value: "value",
            writesCount: 2,
        });
    });

    it("should be stored, not outdated, if the key exists though the configuration has changed since", async () => {
        const changed = Ok({
            isSwapped: false,
            revision: 0,
            current: [{ key: "configuration", value: "value", revision: 4 }, { key: "job", value: "of another call", revision: 2 }],
        });
        assert.deepEqual(await commit([lost, changed]), {
            outcome: commitOutcomes.stored,
            revision: 2,
            wasPresent: true,
            value: "of another call",
            writesCount: 2,
        });
    });

    it("should be unknown, not refused, if the repeated write was rejected", async () => {
        assert.deepEqual(await commit([lost, rejected]), { outcome: commitOutcomes.unknown, writesCount: 2 });
    });

    it("should be unknown after two lost responses, and at once while the store does not respond", async () => {
        assert.deepEqual(await commit([lost, lost]), { outcome: commitOutcomes.unknown, writesCount: 2 });
        assert.deepEqual(await commit([lost], { isStoreReachable: false }), { outcome: commitOutcomes.unknown, writesCount: 1 });
    });

    it("should be refused if the first write was rejected", async () => {
        assert.deepEqual(await commit([rejected]), { outcome: commitOutcomes.notStored, writesCount: 1 });
    });
});
