/** Guards against an end that the next owner does not know of, so that it starts the task again, and that is acknowledged all the same. */
import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { playTakeovers, type TakeoverHistory } from "./takeoverHistory.js";

const historiesCount = 60;
/** Further seeds that found a task started again after an acknowledged end. */
const foundSeeds = [152, 194, 236, 258, 281, 426, 881, 992, 1_100, 1_503, 1_586];

describe("the ends of runs over changes of the owner", () => {
    const histories: TakeoverHistory[] = [];
    before(async () => {
        const seeds = Array.from({ length: historiesCount }, (_, index) => index + 1);
        for (const seed of [...seeds, ...foundSeeds]) {
            histories.push(await playTakeovers(seed));
        }
    });

    it("should not be acknowledged if their tasks start again, nor any task run twice at once", () => {
        const broken = histories.flatMap(({ seed, violations }) => violations.map(each => `seed ${seed}: ${each}`));
        assert.equal(broken.length, 0, [`${broken.length} violations`, ...broken].join("\n"));
    });

    it("should leave no job undone", () => {
        assert.deepEqual(histories.flatMap(({ seed, unfinished }) => unfinished.map(each => `seed ${seed}: ${each}`)), []);
    });

    it("should be played with several owners, snapshots and acknowledged ends in each history", () => {
        const sum = (countOf: (history: TakeoverHistory) => number): number => histories.reduce((total, each) => total + countOf(each), 0);
        assert.ok(sum(({ termsCount }) => termsCount) >= 3 * historiesCount);
        assert.ok(sum(({ acknowledgedCount }) => acknowledgedCount) >= 20 * historiesCount);
        assert.ok(sum(({ snapshotsCount }) => snapshotsCount) >= historiesCount);
    });
});
