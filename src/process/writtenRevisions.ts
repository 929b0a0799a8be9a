/** Revisions of keys that this process writes under guards: its own writes may not show in its copy of the store yet. */

export interface WrittenRevisions {
    /** The revision that the next write of the key is to name. */
    expected(key: string): number;
    /** The store's answer to a write told the revision. */
    update(key: string, revision: number): void;
}

export function createWrittenRevisions(revisionInCopy: (key: string) => number): WrittenRevisions {
    const written = new Map<string, number>();
    return {
        expected: key => Math.max(written.get(key) ?? 0, revisionInCopy(key)),
        update: (key, revision) => void written.set(key, revision),
    };
}
