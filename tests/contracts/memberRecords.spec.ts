/** Guards against a process that stops following the others because one of their records cannot be read. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type MemberRecord, memberRoles, parseMembers } from "../../src/connection/members.js";

const record: MemberRecord = {
    memberId: "m1",
    role: memberRoles.gateway,
    availabilityZone: "zone",
    vmId: "vm1",
    peerAddress: "10.0.0.1:80",
    callerAddress: "10.0.0.1:81",
    ownAddress: "10.0.0.1:82",
    replacedMemberIds: [],
    heldVersion: 1,
};

describe("the records of the members", () => {
    const unreadable = ["", "{", "7", JSON.stringify({ ...record, role: "visitor" }), "[".repeat(200_000)];

    it("should be read without those that cannot be", () => {
        const values = [...unreadable, JSON.stringify(record)].map(value => ({ value }));
        assert.deepEqual(parseMembers(values), [record]);
    });
});
