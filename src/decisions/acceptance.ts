/** Determines whether a configuration version is in force in every process. */

/** The configuration version that one live process holds. */
export interface MemberVersion {
    memberId: string;
    availabilityZone: string;
    heldVersion: number;
}

/** Returns the sorted zones in which at least one live process does not hold the version yet. */
export function zonesMissing(version: number, members: readonly MemberVersion[]): string[] {
    const behind = members.filter(member => member.heldVersion < version);
    return [...new Set(behind.map(member => member.availabilityZone))].sort();
}
