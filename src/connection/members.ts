/** The record that each process keeps of itself in the platform's key-value service. */
import { z } from "zod";

export const memberRoles = { gateway: "gateway", steward: "steward" } as const;

export const memberRecord = z.object({
    memberId: z.string(),
    role: z.enum(memberRoles),
    availabilityZone: z.string(),
    vmId: z.string(),
    /** Where peers reach it; empty for a process without peers. */
    peerAddress: z.string(),
    /** Where it takes callers' requests; empty for a process without. */
    callerAddress: z.string(),
    /** The address that only one process can listen on. */
    ownAddress: z.string(),
    replacedMemberIds: z.array(z.string()),
    /** Configuration version in force in it. */
    heldVersion: z.int(),
});
export type MemberRecord = z.infer<typeof memberRecord>;

/** Keys of the documents in the key-value service. */
export const storeKeys = {
    fleetVersion: "/nutmegjunction/fleet/version",
    membersPrefix: "/nutmegjunction/members/",
    allotmentsPrefix: "/nutmegjunction/allotments/",
    /** One shard holds all teams today. */
    allotments: "/nutmegjunction/allotments/0",
    claimsPrefix: "/nutmegjunction/claims/",
    dutiesPrefix: "/nutmegjunction/duties/",
} as const;

/** Key of a member's record. */
export function memberKey(memberId: string): string {
    return `${storeKeys.membersPrefix}${memberId}`;
}

/** Reads the members among stored values; a record of a later format is left out. */
export function parseMembers(values: readonly { value: string }[]): MemberRecord[] {
    return values.flatMap(stored => {
        const parsed = memberRecord.safeParse(JSON.parse(stored.value));
        return parsed.success ? [parsed.data] : [];
    });
}
