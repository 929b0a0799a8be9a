/**
 * The duty that removes the records and allotments of members that are gone. A member is gone when the platform reports
 * its VM as gone or a newer process runs at its address. Its requests may still run, so it is removed only after their
 * longest run time has passed.
 */
import { newChangeId } from "../common/ids.js";
import type { TimerService } from "../common/timerService.js";
import { memberKey, parseMembers, storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue, StoreGuard, StoreWrite } from "../connection/platformStore.js";
import { type AllotmentDocument, listHolders, removeHolder } from "../decisions/allotments.js";
import { findGoneMembers, type GoneMember } from "../decisions/membership.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface MemberReclaimerOptions {
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    goneVmIds(): ReadonlySet<string>;
    /** Longest time that a request may run, or `undefined` before the first configuration was received. */
    longestRunMs(): number | undefined;
}

export interface MemberReclaimer {
    runRound(fence: StoreGuard): Promise<void>;
    /** Forgets when members were first seen to be gone, so that the wait starts over. */
    reset(): void;
}

export function createMemberReclaimer(options: MemberReclaimerOptions): MemberReclaimer {
    const { store, timers, logger } = options;
    /** Time at which each member was first seen to be gone, on this process's monotonic clock. */
    const goneSinceMs = new Map<string, number>();

    const updateGoneMembers = (gone: readonly GoneMember[]): void => {
        const ids = new Set(gone.map(member => member.memberId));
        [...goneSinceMs.keys()].filter(id => !ids.has(id)).forEach(id => goneSinceMs.delete(id));
        ids.forEach(id => goneSinceMs.set(id, goneSinceMs.get(id) ?? timers.nowMs()));
    };

    const remove = async (fence: StoreGuard, member: GoneMember, allotments: StoredValue | undefined): Promise<void> => {
        const document = allotments ? JSON.parse(allotments.value) as AllotmentDocument : undefined;
        const holdsAllotment = document !== undefined && listHolders(document).has(member.memberId);
        const guards = [fence, { key: storeKeys.allotments, expectedRevision: allotments?.revision ?? 0 }];
        const writes: StoreWrite[] = [{ key: memberKey(member.memberId), value: undefined }];
        if (holdsAllotment) {
            const next = { ...removeHolder(document, member.memberId), changeId: newChangeId() };
            writes.push({ key: storeKeys.allotments, value: JSON.stringify(next) });
        }
        const swapped = await store.swap(guards, writes);
        if (swapped.err || !swapped.val.isSwapped) {
            return;
        }
        goneSinceMs.delete(member.memberId);
        logger.log(holdsAllotment ? logEvents.allotmentReclaimed : logEvents.memberRemoved, {
            goneMemberId: member.memberId,
            reason: member.reason,
        });
    };

    return {
        reset: () => goneSinceMs.clear(),
        runRound: async fence => {
            const waitMs = options.longestRunMs();
            const members = await store.readPrefix(storeKeys.membersPrefix);
            if (members.err || waitMs === undefined) {
                return;
            }
            const gone = findGoneMembers(parseMembers(members.val), options.goneVmIds());
            updateGoneMembers(gone);
            const due = gone.filter(member => timers.nowMs() - goneSinceMs.get(member.memberId)! >= waitMs);
            for (const member of due) {
                const allotments = await store.read(storeKeys.allotments);
                if (allotments.ok) {
                    await remove(fence, member, allotments.val);
                }
            }
        },
    };
}
