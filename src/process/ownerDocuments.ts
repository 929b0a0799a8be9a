/** Reads what owners of the scheduling store about themselves. */
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { StoreMirror } from "./storeMirror.js";
import type { ReportUnreadable } from "./unreadableDocuments.js";

/** Content of the owner key and the term key. */
export interface OwnerDocument {
    memberId: string;
    nodeName: string;
}

/**
 * Written by an owner once no earlier owner sends commands to workers any more, and when it stops sending them itself. It lets the
 * next owner conclude sooner that what a lost worker ran has ended.
 */
export interface Handover {
    token: number;
    hasEnded: boolean;
}

export interface OwnerDocuments {
    readHandover(): Partial<Handover>;
    /** Whether this process wrote the document. */
    isOwn(key: string): boolean;
    /** Whether a previous process of this node wrote the document; it has certainly ended. */
    isByPreviousProcess(key: string): boolean;
}

export function createOwnerDocuments(own: OwnerDocument, mirror: () => StoreMirror, reportUnreadable: ReportUnreadable): OwnerDocuments {
    const read = <T>(key: string): Partial<T> => {
        const text = mirror().valueOf(key);
        try {
            return (text === undefined ? undefined : JSON.parse(text) as T | null) ?? {};
        }
        catch (error) {
            reportUnreadable(key, String(error));
            return {};
        }
    };
    return {
        readHandover: () => read<Handover>(jobKeys.handover),
        isOwn: key => read<OwnerDocument>(key).memberId === own.memberId,
        isByPreviousProcess: key => {
            const { memberId, nodeName } = read<OwnerDocument>(key);
            return nodeName === own.nodeName && memberId !== own.memberId;
        },
    };
}
