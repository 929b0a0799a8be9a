/** Revisions of keys that this process writes with guards; the mirror of the store may not contain its own writes yet. */

export interface WrittenRevisions {
    /** The revision to expect in the guard of the key's next write. */
    expected(key: string): number;
    /** Records the revision that the store returned for a write of the key. */
    update(key: string, revision: number): void;
}

export function createWrittenRevisions(mirroredRevision: (key: string) => number): WrittenRevisions {
    const written = new Map<string, number>();
    return {
        expected: key => Math.max(written.get(key) ?? 0, mirroredRevision(key)),
        update: (key, revision) => void written.set(key, revision),
    };
}
