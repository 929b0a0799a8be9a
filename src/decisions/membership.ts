/** Decides which members are gone for good. Silence alone never makes a member gone: it may be paused or cut off. */

/** What membership needs to know of one process. */
export interface MemberLife {
    memberId: string;
    vmId: string;
    /** Members that were registered at its address when it had begun to listen there: they are gone. */
    replacedMemberIds: readonly string[];
}

export const goneReasons = {
    vmGone: "the platform says that its VM is gone",
    replaced: "a newer process runs at its address",
} as const;
export type GoneReason = (typeof goneReasons)[keyof typeof goneReasons];

export interface GoneMember {
    memberId: string;
    reason: GoneReason;
}

/** Returns the members that are gone, with the reason. */
export function findGoneMembers(members: readonly MemberLife[], goneVmIds: ReadonlySet<string>): GoneMember[] {
    const replacedIds = new Set(members.flatMap(member => member.replacedMemberIds));
    const reasonFor = (member: MemberLife): GoneReason | undefined => {
        if (goneVmIds.has(member.vmId)) {
            return goneReasons.vmGone;
        }
        return replacedIds.has(member.memberId) ? goneReasons.replaced : undefined;
    };
    return members.flatMap(member => {
        const reason = reasonFor(member);
        return reason ? [{ memberId: member.memberId, reason }] : [];
    });
}
