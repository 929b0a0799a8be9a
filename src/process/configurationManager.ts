/** Holds the current configuration of this process; its version number never decreases. */
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue } from "../connection/platformStore.js";
import { type AppliedVersion, applyVersion, type FleetVersion, parseVersion } from "../version/fleetVersion.js";
import { type ActorSystemRef, spawnActor } from "./actors.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface ConfigurationManager {
    /** The current version, or `undefined` until the first one is applied. */
    current(): AppliedVersion | undefined;
    /** Number of the current version, 0 if there is none. */
    version(): number;
    /** Queues a version from a peer or an operator's change; it is applied if it is newer. `epoch`: see `epoch()`. */
    applyIfNewer(record: FleetVersion, source: string, epoch?: number): void;
    /** Whether the configuration was confirmed, or its time limit passed, since the last detected pause of the process. */
    isFresh(): boolean;
    /**
     * Marks the configuration as possibly outdated after a pause, until a source that was queried after the pause has
     * responded or `limitMs` have passed. Unsolicited updates do not count: they may have been buffered during the pause.
     */
    markStale(limitMs: number): void;
    /** Number of pauses so far. A query carries it, and only a response with the current epoch makes the configuration fresh. */
    epoch(): number;
    /** Reads the store, and marks the configuration as fresh if it responds. */
    refresh(): Promise<void>;
    /**
     * Whether the store has no newer version than the current one, by a read at most `confirmedForMs` old. A denial rests on this: the
     * key or service may have been added since the current version.
     */
    isNewest(): Promise<boolean>;
    /** Registers a callback that is called with each newly applied version. */
    onApplied(callback: (version: AppliedVersion) => void): void;
}

export interface ConfigurationManagerOptions {
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
}

/** How long a read of the store is relied on, and a failed read is not repeated. */
const confirmedForMs = 1_000;

interface QueuedVersion {
    record: FleetVersion;
    source: string;
    epoch: number | undefined;
}

/** Creates the manager and starts to watch the store. */
export function createConfigurationManager(options: ConfigurationManagerOptions): ConfigurationManager {
    const { store, logger, timers } = options;
    const callbacks: ((version: AppliedVersion) => void)[] = [];
    let current: AppliedVersion | undefined;
    let isFresh = true;
    let epoch = 0;
    /** Version that the store held at the last read; `undefined` if that read failed. */
    let confirmed: { version: number | undefined; readAtMs: number } | undefined;
    let confirmation: Promise<void> | undefined;

    const markFresh = (responseEpoch: number | undefined): void => {
        isFresh ||= responseEpoch === epoch;
    };

    /** Writes the current version over an older one: the store was restored, and an applied version is never reverted. */
    const writeBack = async (held: AppliedVersion, stored: StoredValue | undefined, storedVersion: number): Promise<void> => {
        logger.log(logEvents.configurationRestored, { heldVersion: held.record.version, storedVersion });
        const guard = { key: storeKeys.fleetVersion, expectedRevision: stored?.revision ?? 0 };
        await store.swap([guard], [{ key: storeKeys.fleetVersion, value: JSON.stringify(held.record) }]);
    };

    const apply = (state: AppliedVersion | undefined, queued: QueuedVersion): AppliedVersion | undefined => {
        if (state && queued.record.version <= state.record.version) {
            return state;
        }
        const applied = applyVersion(queued.record, state);
        if (applied.err) {
            logger.log(logEvents.configurationRejected, { version: queued.record.version, source: queued.source, reason: applied.val });
            return state;
        }
        current = applied.val;
        logger.log(logEvents.configurationApplied, { version: queued.record.version, source: queued.source });
        callbacks.forEach(callback => callback(applied.val));
        return applied.val;
    };

    const send = spawnActor<AppliedVersion | undefined, QueuedVersion>({
        system: options.system,
        name: "configuration",
        initialState: undefined,
        logger,
        receive: (state, queued) => {
            const next = apply(state, queued);
            markFresh(queued.epoch);
            return next;
        },
    });

    /** Applies what the store holds; returns its version, or `undefined` if it cannot be read. */
    const applyStored = (stored: StoredValue | undefined, requestEpoch?: number): number | undefined => {
        const parsed = stored ? parseVersion(stored.value) : undefined;
        if (parsed?.err) {
            logger.log(logEvents.configurationRejected, { source: "store", reason: parsed.val });
            return undefined;
        }
        const record = parsed?.val as FleetVersion | undefined;
        const heldVersion = current?.record.version ?? 0;
        if (record && record.version > heldVersion) {
            send({ record, source: "store", epoch: requestEpoch });
            return record.version;
        }
        if (current && (record?.version ?? 0) < heldVersion) {
            void writeBack(current, stored, record?.version ?? 0);
        }
        markFresh(requestEpoch);
        return record?.version ?? 0;
    };

    const refresh = async (): Promise<void> => {
        const requestEpoch = epoch;
        const readAtMs = timers.nowMs();
        const read = await store.read(storeKeys.fleetVersion);
        confirmed = { version: read.ok ? applyStored(read.val, requestEpoch) : undefined, readAtMs };
    };

    store.watchPrefix(
        storeKeys.fleetVersion,
        options.signal,
        values => void applyStored(values.find(value => value.key === storeKeys.fleetVersion)),
    );

    return {
        current: () => current,
        version: () => current?.record.version ?? 0,
        applyIfNewer: (record, source, requestEpoch) => send({ record, source, epoch: requestEpoch }),
        isFresh: () => isFresh,
        epoch: () => epoch,
        refresh,
        isNewest: async () => {
            if (!confirmed || timers.nowMs() - confirmed.readAtMs > confirmedForMs) {
                confirmation ??= refresh().finally(() => confirmation = undefined);
                await confirmation;
            }
            return confirmed?.version !== undefined && confirmed.version <= (current?.record.version ?? 0);
        },
        markStale: limitMs => {
            isFresh = false;
            epoch++;
            const staleEpoch = epoch;
            timers.after(limitMs, () => markFresh(staleEpoch));
        },
        onApplied: callback => void callbacks.push(callback),
    };
}
