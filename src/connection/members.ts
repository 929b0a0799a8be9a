/** The record with which each process registers itself in the platform's key-value service. */
import * as z from "zod";

export const memberRoles = { gateway: "gateway", steward: "steward" } as const;

export const memberRecord = z.object({
    memberId: z.string(),
    role: z.enum(memberRoles),
    availabilityZone: z.string(),
    vmId: z.string(),
    /** Address for connections from peers; empty for a process without peers. */
    peerAddress: z.string(),
    /** Address for requests from callers; empty for a process that accepts none. */
    callerAddress: z.string(),
    /**
     * Address on which only one process can listen at a time: a new listener there implies that the previous process is
     * gone.
     */
    ownAddress: z.string(),
    replacedMemberIds: z.array(z.string()),
    /** Configuration version that is in force in the process. */
    heldVersion: z.int(),
});
export type MemberRecord = z.infer<typeof memberRecord>;

/** Keys and key prefixes in the key-value service. */
export const storeKeys = {
    fleetVersion: "/nutmegjunction/fleet/version",
    membersPrefix: "/nutmegjunction/members/",
    allotmentsPrefix: "/nutmegjunction/allotments/",
    /** Currently, a single shard contains all teams. */
    allotments: "/nutmegjunction/allotments/0",
    claimsPrefix: "/nutmegjunction/claims/",
    dutiesPrefix: "/nutmegjunction/duties/",
} as const;

/** Returns the key of a member's record. */
export function memberKey(memberId: string): string {
    return `${storeKeys.membersPrefix}${memberId}`;
}

const storedMemberRecord = z.string().transform((text, context): unknown => {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        context.addIssue({ code: "custom", message: String(error) });
        return z.NEVER;
    }
}).pipe(memberRecord);

/** Parses stored member records; records that are not JSON or of an unknown format are skipped. */
export function parseMembers(values: readonly { value: string }[]): MemberRecord[] {
    return values.flatMap(stored => {
        const parsed = storedMemberRecord.safeParse(stored.value);
        return parsed.success ? [parsed.data] : [];
    });
}
