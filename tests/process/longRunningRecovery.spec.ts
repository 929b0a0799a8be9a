/** Guards against long-running tasks that have no run for long although everything has been calm and another worker has room. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SeededRandom } from "../../harness/random.js";
import { chooseNoticedLoss, chooseReturnDuringCut, chooseUnnoticedLoss, type Fault, playHistory } from "./outageHistory.js";

const historiesCount = 30;

async function checkHistories(chooseFaults: (random: SeededRandom) => Fault[]): Promise<void> {
    for (let seed = 1; seed <= historiesCount; seed++) {
        const { description, violations, worstExcessMs } = await playHistory(seed, chooseFaults);
        assert.deepEqual(violations, [], description);
        assert.ok(worstExcessMs <= 0, `a task was without a run for ${worstExcessMs} ms too long, ${description}`);
    }
}

describe("long-running tasks of a lost worker", () => {
    it("should run again soon when the owner that noticed the loss is lost too", () => checkHistories(chooseNoticedLoss));

    it("should run again soon when an owner ends that has not noticed the loss, and its successor can know that it has ended", () =>
        checkHistories(chooseUnnoticedLoss));

    it("should not be started elsewhere while a worker that only the former owner has reached again holds them", () =>
        checkHistories(chooseReturnDuringCut));
});
