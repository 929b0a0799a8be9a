/** The processes that can pass on calls: each registers its address in the store, and knows those of the others from its mirror. */
import * as z from "zod";
import { ipv4PortAddress } from "../common/ipPortAddress.js";
import { delay, type TimerService } from "../common/timerService.js";
import type { ChangeFeedStore, StoreChange } from "../connection/platformStore.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { RelayMember } from "./relayedCalls.js";
import type { StoreMirror } from "./storeMirror.js";

export interface RelayMembers {
    /** Must be called with each change of the store. */
    onChange(change: StoreChange): void;
    /** The other processes. */
    others(): readonly RelayMember[];
}

export interface RelayMembersOptions {
    store(): ChangeFeedStore;
    mirror(): StoreMirror;
    own: RelayMember;
    timers: TimerService;
    signal: AbortSignal;
    onUnreadable(key: string, reason: string): void;
}

const memberPrefix = `${jobKeys.prefix}member/`;
/** Far above any VM; sums over all members stay finite. */
const maxCapacity = 1_000_000;
/** The entry has no lease: it changes only when a VM is replaced, and an address where nothing listens is tried and left. */
const memberSchema = z.object({
    address: ipv4PortAddress,
    zone: z.string(),
    capacity: z.number().positive().max(maxCapacity).default(1),
});
const registrationIntervalMs = 3_000;

export function createRelayMembers(options: RelayMembersOptions): RelayMembers {
    const { own, timers, signal } = options;
    const members = new Map<string, RelayMember>();
    let others: readonly RelayMember[] = [];

    const register = async (): Promise<void> => {
        const key = memberPrefix + own.name;
        const value = JSON.stringify({ address: own.address, zone: own.zone, capacity: own.capacity });
        while (!signal.aborted) {
            const mirror = options.mirror();
            if (mirror.revision() > 0 && mirror.valueOf(key) !== value) {
                // A failed attempt is repeated after the interval.
                await options.store().swap([{ key, expectedRevision: mirror.revisionOf(key) }], [{ key, value }]);
            }
            await delay(timers, registrationIntervalMs, signal);
        }
    };
    timers.after(registrationIntervalMs, () => void register());

    return {
        onChange: ({ key, value }) => {
            if (!key.startsWith(memberPrefix)) {
                return;
            }
            const name = key.slice(memberPrefix.length);
            members.delete(name);
            if (value !== undefined && name !== own.name) {
                try {
                    members.set(name, { name, ...memberSchema.parse(JSON.parse(value)) });
                }
                catch (error) {
                    options.onUnreadable(key, String(error));
                }
            }
            others = [...members.values()];
        },
        others: () => others,
    };
}
