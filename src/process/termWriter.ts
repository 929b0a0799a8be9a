/**
 * Writes single keys of the store as the owner of the scheduling. A write is guarded by the term and by the key's previous revision, so that
 * one that arrives late, of an earlier term or of this one, changes nothing.
 */
import type { PlatformStore } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

export interface TermWriterOptions {
    store: PlatformStore;
    /** Revision of the term key in the owner's term; `undefined` while this process is not the owner. */
    termRevision(): number | undefined;
    revisionOf(key: string): number;
}

export interface TermWriter {
    /** Returns why the store may not have the value, or `undefined` if it has. */
    write(key: string, value: string): Promise<string | undefined>;
}

export function createTermWriter({ store, termRevision, revisionOf }: TermWriterOptions): TermWriter {
    const revisions = createWrittenRevisions(revisionOf);
    return {
        write: async (key, value) => {
            const token = termRevision();
            if (token === undefined) {
                return "this process does not own the scheduling";
            }
            const swapped = await store.swap(
                [{ key: jobKeys.term, expectedRevision: token }, { key, expectedRevision: revisions.expected(key) }],
                [{ key, value }],
            );
            if (swapped.err) {
                return swapped.val.reason;
            }
            const { isSwapped, revision, current } = swapped.val;
            revisions.update(key, isSwapped ? revision : current.find(each => each.key === key)?.revision ?? 0);
            return isSwapped ? undefined : "the term or the key has changed";
        },
    };
}
