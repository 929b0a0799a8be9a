/** How many slots a process may use, given what it has read and written. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AllotmentDocument } from "../../src/decisions/allotments.js";
import { createGrantTracker } from "../../src/process/grantTracker.js";

const longestRunMs = 1_000;

function documentWith(grantedSlots: number, changeId = "other"): AllotmentDocument {
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
    it("should use nothing before anything was read", () => {
        const { tracker } = createTracker();
        assert.equal(tracker.capSlots("vik"), 0);
        assert.equal(tracker.hasObserved(), false);
    });

    it("should lower the cap before a write that gives slots back is answered", () => {
        const { tracker } = createTracker();
        tracker.observe(documentWith(6), 10);
        tracker.beginWrite(documentWith(2, "give"), 10);
        assert.equal(tracker.capSlots("vik"), 2);
    });

    it("should keep the cap low while a write whose answer was lost may still take effect", () => {
        const { tracker } = createTracker();
        tracker.observe(documentWith(6), 10);
        tracker.beginWrite(documentWith(2, "give"), 10);
        tracker.observe(documentWith(6), 10, 10);
        assert.equal(tracker.capSlots("vik"), 2);
        tracker.observe(documentWith(6), 11, 10);
        assert.equal(tracker.capSlots("vik"), 6, "the document has moved past the write's guard");
    });

    it("should raise the cap only when a write that takes slots is known to have taken effect", () => {
        const { tracker } = createTracker();
        tracker.observe(documentWith(2), 10);
        const taken = documentWith(5, "take");
        tracker.beginWrite(taken, 10);
        assert.equal(tracker.capSlots("vik"), 2);
        tracker.confirmWrite(taken, 11);
        assert.equal(tracker.capSlots("vik"), 5);
    });

    it("should not take a late answer for a restored store", () => {
        const { tracker } = createTracker();
        tracker.observe(documentWith(2), 10);
        tracker.observe(documentWith(2), 12);
        // The read began when revision 10 was known and shows 11; 12 came in between.
        assert.equal(tracker.observe(documentWith(1), 11, 10), true);
        tracker.observe(documentWith(7), 13);
        assert.equal(tracker.capSlots("vik"), 7);
    });

    it("should let no cap grow for the longest run time after the store was restored", () => {
        const { tracker, clock } = createTracker();
        tracker.observe(documentWith(2), 20);
        assert.equal(tracker.observe(documentWith(6), 5), false, "an older document from a watch needs a read");
        assert.equal(tracker.observe(documentWith(6), 5, 20), true);
        assert.equal(tracker.capSlots("vik"), 2);
        clock.nowMs = longestRunMs;
        tracker.refresh();
        assert.equal(tracker.capSlots("vik"), 6);
    });

    it("should use nothing any more when its holder was reclaimed", () => {
        const { tracker } = createTracker();
        tracker.observe(documentWith(6), 10);
        tracker.observe({ changeId: "reclaim", teams: { vik: { limitSlots: 10, limitVersion: 1, holders: {} } } }, 11);
        assert.equal(tracker.capSlots("vik"), 0);
    });
});
