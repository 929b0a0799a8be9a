/** Decides whether a configuration version is in force everywhere. */

/** What acceptance needs to know of one live process. */
export interface MemberVersion {
    memberId: string;
    availabilityZone: string;
    heldVersion: number;
}

/** Zones where some live process does not hold the version yet, sorted. */
export function zonesMissing(version: number, members: readonly MemberVersion[]): string[] {
    const behind = members.filter(member => member.heldVersion < version);
    return [...new Set(behind.map(member => member.availabilityZone))].sort();
}
