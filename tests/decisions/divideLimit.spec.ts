/** Tests of the division of a team's limit among the holders of allotments. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { divideLimit } from "../../src/decisions/divideLimit.js";

const seed = 20261204;
const claimsOf = (wanted: number[]): { holderId: string; wantedSlots: number }[] =>
    wanted.map((wantedSlots, index) => ({ holderId: `h${String(index).padStart(3, "0")}`, wantedSlots }));

describe("dividing a limit", () => {
    it("should give most of the limit to the holder with most of the demand", () => {
        const division = divideLimit(40, claimsOf([100, 0, 0, 0]), 1);
        assert.deepEqual([...division.values()], [37, 1, 1, 1]);
    });

    it("should divide slots beyond the demand evenly", () => {
        assert.deepEqual([...divideLimit(8, claimsOf([0, 0]), 1).values()], [4, 4]);
    });

    it("should distribute exactly the limit for any demand", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 0, max: 500 }),
                fc.array(fc.integer({ min: 0, max: 600 }), { minLength: 1, maxLength: 12 }),
                (limit, wanted) => {
                    const sum = [...divideLimit(limit, claimsOf(wanted), 1).values()].reduce((total, part) => total + part, 0);
                    assert.equal(sum, limit);
                },
            ),
            { seed },
        );
    });

    it("should never give fewer slots to a holder with more demand", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 0, max: 500 }),
                fc.array(fc.integer({ min: 0, max: 600 }), { minLength: 2, maxLength: 12 }),
                (limit, wanted) => {
                    const claims = claimsOf(wanted);
                    const division = divideLimit(limit, claims, 1);
                    const byDemand = [...claims].sort((a, b) => a.wantedSlots - b.wantedSlots).map(claim => division.get(claim.holderId)!);
                    byDemand.slice(1).forEach((part, index) => assert.ok(part >= byDemand[index]! - 1));
                },
            ),
            { seed },
        );
    });
});
