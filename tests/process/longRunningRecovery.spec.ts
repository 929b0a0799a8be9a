/** Guards against long-running tasks that have no run for long although everything has been calm and another worker has room. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SeededRandom } from "../../harness/random.js";
import {
    chooseAnyFaults,
    chooseLoss,
    chooseNoticedLoss,
    chooseReturnDuringCut,
    chooseUnnoticedLoss,
    type Fault,
    type OutageHistory,
    playHistory,
} from "./outageHistory.js";

const historiesCount = 30;
/** Longer than the leases of other tests. */
const longLeaseMs = 10_000;

async function playHistories(chooseFaults: (random: SeededRandom) => Fault[], maxLeaseMs?: number): Promise<OutageHistory[]> {
    const histories: OutageHistory[] = [];
    for (let seed = 1; seed <= historiesCount; seed++) {
        const history = await playHistory(seed, chooseFaults, maxLeaseMs);
        assert.deepEqual(history.violations, [], history.description);
        histories.push(history);
    }
    return histories;
}

async function checkHistories(chooseFaults: (random: SeededRandom) => Fault[], maxLeaseMs?: number): Promise<void> {
    const late = (await playHistories(chooseFaults, maxLeaseMs)).filter(history => history.worstExcessMs > 0);
    assert.deepEqual(late.map(({ worstExcessMs, description }) => `${worstExcessMs} ms too long without a run, ${description}`), []);
}

describe("long-running tasks of a lost worker", () => {
    it("should run again soon, however long the leases are that workers grant", () => checkHistories(chooseLoss, longLeaseMs));

    it("should run again soon when the owner that noticed the loss is lost too", () => checkHistories(chooseNoticedLoss));

    it("should run again soon when an owner ends that has not noticed the loss, and its successor can know that it has ended", () =>
        checkHistories(chooseUnnoticedLoss));

    it("should run again soon when the owner is lost or cut off, and its successor cannot know whether it has ended", () =>
        checkHistories(chooseAnyFaults));
});

describe("long-running tasks", () => {
    it("should not be started elsewhere while a worker that only the former owner has reached again holds them", () =>
        checkHistories(chooseReturnDuringCut));

    it("should not run twice after any faults", async () => {
        const histories = await playHistories(chooseAnyFaults);
        assert.ok(histories.some(({ termsCount }) => termsCount > 2));
    });
});
