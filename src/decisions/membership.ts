/**
 * Determines which members are permanently gone. A lack of messages is never enough: the member may be paused or
 * partitioned.
 */

/** The registration of one process, as far as it matters here. */
export interface MemberRegistration {
    memberId: string;
    vmId: string;
    /** Members that were registered at this process's address when it had begun to listen there, and are therefore gone. */
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

/** Returns the members that are gone, each with the reason. */
export function findGoneMembers(members: readonly MemberRegistration[], goneVmIds: ReadonlySet<string>): GoneMember[] {
    const replacedIds = new Set(members.flatMap(member => member.replacedMemberIds));
    const reasonFor = (member: MemberRegistration): GoneReason | undefined => {
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
