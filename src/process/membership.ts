/** Maintains the member record of this process in the store, and follows the records of all members. */
import type { TimerService } from "../common/timerService.js";
import { memberKey, type MemberRecord, parseMembers, storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue } from "../connection/platformStore.js";
import { type ActorSystemRef, spawnActor } from "./actors.js";
import type { Logger } from "./logger.js";

/** The fields of a member record that are fixed when the process starts. */
export type OwnMember = Omit<MemberRecord, "replacedMemberIds" | "heldVersion">;

export interface Membership {
    /** Registers the process. Must be called once the process listens on its address, which proves that earlier ones there are gone. */
    start(): void;
    /** Whether the store holds this process's record. */
    isRegistered(): boolean;
    /** The records of all members, as last seen. */
    members(): readonly MemberRecord[];
    onChange(callback: (members: readonly MemberRecord[]) => void): void;
    /** Deletes this process's record at shutdown; resolves with whether the store accepted the write. */
    leave(): Promise<boolean>;
}

export interface MembershipOptions {
    own: OwnMember;
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
    /** Number of the configuration version that this process has applied. */
    heldVersion(): number;
}

const syncIntervalMs = 250;

interface WrittenRecord {
    revision: number;
    text: string;
}

type Message = { type: "sync" } | { type: "leave"; done: (isDone: boolean) => void };

/** Creates the membership. It follows the records of all members immediately. */
export function createMembership(options: MembershipOptions): Membership {
    const { own, store } = options;
    const key = memberKey(own.memberId);
    const callbacks: ((members: readonly MemberRecord[]) => void)[] = [];
    let members: MemberRecord[] = [];
    let replacedMemberIds: string[] | undefined;
    let hasLeft = false;
    let isRegistered = false;
    /** Whether the watch showed this process's record last. */
    let isListed = false;
    /** Whether the watch has shown the record and lacked it later, as it does after the store was restored. */
    let isLost = false;

    /** Finds the other members registered at this address: this process listens there now, so they are gone. */
    const findReplacedMembers = async (): Promise<string[] | undefined> => {
        const read = await store.readPrefix(storeKeys.membersPrefix);
        return read.ok ?
            parseMembers(read.val).filter(member => member.ownAddress === own.ownAddress && member.memberId !== own.memberId).map(member =>
                member.memberId
            ) :
            undefined;
    };

    const write = async (written: WrittenRecord): Promise<WrittenRecord> => {
        const record: MemberRecord = { ...own, replacedMemberIds: replacedMemberIds ?? [], heldVersion: options.heldVersion() };
        const text = JSON.stringify(record);
        if (text === written.text && !isLost) {
            return written;
        }
        const swapped = await store.swap([{ key, expectedRevision: written.revision }], [{ key, value: text }]);
        if (swapped.err) {
            return written;
        }
        if (swapped.val.isSwapped) {
            isRegistered = true;
            isLost = false;
            return { revision: swapped.val.revision, text };
        }
        // Only this process writes the key, so another revision means that a response was lost or the store was restored.
        isRegistered &&= swapped.val.current.length > 0;
        return { revision: swapped.val.current[0]?.revision ?? 0, text: "" };
    };

    const receive = async (state: WrittenRecord, message: Message): Promise<WrittenRecord> => {
        if (message.type === "leave") {
            hasLeft = true;
            const removed = await store.swap([], [{ key, value: undefined }]);
            message.done(removed.ok);
            return state;
        }
        if (hasLeft) {
            return state;
        }
        replacedMemberIds ??= await findReplacedMembers();
        return replacedMemberIds ? write(state) : state;
    };
    const send = spawnActor<WrittenRecord, Message>({
        system: options.system,
        name: "membership",
        initialState: { revision: 0, text: "" },
        logger: options.logger,
        receive,
        isCoalescable: message => message.type === "sync",
    });

    const updateMembers = (values: StoredValue[]): void => {
        members = parseMembers(values);
        const wasListed = isListed;
        isListed = values.some(value => value.key === key);
        isLost = !isListed && (wasListed || isLost);
        callbacks.forEach(callback => callback(members));
    };
    store.watchPrefix(storeKeys.membersPrefix, options.signal, updateMembers);

    return {
        start: () => {
            options.timers.every(syncIntervalMs, options.signal, () => send({ type: "sync" }));
            send({ type: "sync" });
        },
        isRegistered: () => isRegistered && !hasLeft,
        members: () => members,
        onChange: callback => void callbacks.push(callback),
        leave: () => new Promise(done => send({ type: "leave", done })),
    };
}
