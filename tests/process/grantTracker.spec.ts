/** How many slots a process may use, based on the documents it has read and written. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AllotmentDocument } from "../../src/decisions/allotments.js";
import { createGrantTracker } from "../../src/process/grantTracker.js";

const longestRunMs = 1_000;

function makeDocument(grantedSlots: number, changeId = "other"): AllotmentDocument {
    return { changeId, teams: { vik: { limitSlots: 10, limitVersion: 1, holders: { own: { grantedSlots, wantedSlots: 5 } } } } };
}

function createTracker() {
    const clock = { nowMs: 0 };
    const tracker = createGrantTracker({
        holderId: "own",
        nowMs: () => clock.nowMs,
        longestRunMs: () => longestRunMs,
        onCapChange: () => undefined,
        onCapIncrease: () => undefined,
    });
    return { tracker, clock };
}

describe("grant tracker", () => {
    it("should start with caps of 0 until a document is read", () => {
        const { tracker } = createTracker();
        assert.equal(tracker.capSlots("vik"), 0);
        assert.equal(tracker.hasObserved(), false);
    });

    it("should lower the cap before the response to a write that returns slots", () => {
        const { tracker } = createTracker();
        tracker.observe(makeDocument(6), 10);
        tracker.beginWrite(makeDocument(2, "give"), 10);
        assert.equal(tracker.capSlots("vik"), 2);
    });

    it("should keep the cap low while a write without a response may still take effect", () => {
        const { tracker } = createTracker();
        tracker.observe(makeDocument(6), 10);
        tracker.beginWrite(makeDocument(2, "give"), 10);
        tracker.observe(makeDocument(6), 10, 10);
        assert.equal(tracker.capSlots("vik"), 2);
        tracker.observe(makeDocument(6), 11, 10);
        assert.equal(tracker.capSlots("vik"), 6, "the document has moved past the revision that guards the write");
    });

    it("should raise the cap only when a write that acquires slots is confirmed", () => {
        const { tracker } = createTracker();
        tracker.observe(makeDocument(2), 10);
        const taken = makeDocument(5, "take");
        tracker.beginWrite(taken, 10);
        assert.equal(tracker.capSlots("vik"), 2);
        tracker.confirmWrite(taken, 11);
        assert.equal(tracker.capSlots("vik"), 5);
    });

    it("should not mistake a late response for a restored store", () => {
        const { tracker } = createTracker();
        tracker.observe(makeDocument(2), 10);
        tracker.observe(makeDocument(2), 12);
        // The read began when revision 10 was known and returned 11; a watch delivered 12 in between.
        assert.equal(tracker.observe(makeDocument(1), 11, 10), true);
        tracker.observe(makeDocument(7), 13);
        assert.equal(tracker.capSlots("vik"), 7);
    });

    it("should not raise a cap until the longest run time has passed after the store was restored", () => {
        const { tracker, clock } = createTracker();
        tracker.observe(makeDocument(2), 20);
        assert.equal(tracker.observe(makeDocument(6), 5), false, "an older document from a watch needs a read");
        assert.equal(tracker.observe(makeDocument(6), 5, 20), true);
        assert.equal(tracker.capSlots("vik"), 2);
        clock.nowMs = longestRunMs;
        tracker.refresh();
        assert.equal(tracker.capSlots("vik"), 6);
    });

    it("should set the cap to 0 when the holder was reclaimed", () => {
        const { tracker } = createTracker();
        tracker.observe(makeDocument(6), 10);
        tracker.observe({ changeId: "reclaim", teams: { vik: { limitSlots: 10, limitVersion: 1, holders: {} } } }, 11);
        assert.equal(tracker.capSlots("vik"), 0);
    });
});
