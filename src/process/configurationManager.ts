/** Holds the configuration version in force in this process; it only ever goes up. */
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue } from "../connection/platformStore.js";
import { type AppliedVersion, applyVersion, type FleetVersion, parseVersion } from "../version/fleetVersion.js";
import { type ActorSystemRef, spawnActor } from "./actors.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface ConfigurationManager {
    /** The version in force, or `undefined` until the first has come. */
    current(): AppliedVersion | undefined;
    /** Version in force, 0 if none. */
    version(): number;
    /** Offers a version from the store or a peer; it is applied if it is newer. `epoch`: see `markStale`. */
    applyIfNewer(record: FleetVersion, source: string, epoch?: number): void;
    /** Whether it was refreshed since the process last noticed that it had been paused. */
    isFresh(): boolean;
    /**
     * Marks what is held as possibly outdated, after a pause, until a source that was asked after the pause has answered
     * or `limitMs` have passed. What arrives unasked may have waited in a buffer during the pause, and proves nothing.
     */
    markStale(limitMs: number): void;
    /** Number of pauses so far. A question carries it, and its answer makes fresh what was made stale with it. */
    epoch(): number;
    /** Asks the store, and makes what is held fresh if it answers. */
    refresh(): Promise<void>;
    /** Calls back after each newly applied version. */
    onApplied(callback: (version: AppliedVersion) => void): void;
}

export interface ConfigurationManagerOptions {
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
}

interface Offer {
    record: FleetVersion;
    source: string;
    epoch: number | undefined;
}

/** Creates the holder and starts its watch of the store. */
export function createConfigurationManager(options: ConfigurationManagerOptions): ConfigurationManager {
    const { store, logger, timers } = options;
    const callbacks: ((version: AppliedVersion) => void)[] = [];
    let current: AppliedVersion | undefined;
    let isFresh = true;
    let epoch = 0;

    const markFresh = (answeredEpoch: number | undefined): void => {
        isFresh ||= answeredEpoch === epoch;
    };

    /** Writes the held version back over an older one: the store was restored, the version in force never reverts. */
    const writeBack = async (held: AppliedVersion, stored: StoredValue | undefined, storedVersion: number): Promise<void> => {
        logger.log(logEvents.configurationRestored, { heldVersion: held.record.version, storedVersion });
        const guard = { key: storeKeys.fleetVersion, expectedRevision: stored?.revision ?? 0 };
        await store.swap([guard], [{ key: storeKeys.fleetVersion, value: JSON.stringify(held.record) }]);
    };

    const apply = (state: AppliedVersion | undefined, offer: Offer): AppliedVersion | undefined => {
        if (state && offer.record.version <= state.record.version) {
            return state;
        }
        const applied = applyVersion(offer.record, state);
        if (applied.err) {
            logger.log(logEvents.configurationRejected, { version: offer.record.version, source: offer.source, reason: applied.val });
            return state;
        }
        current = applied.val;
        logger.log(logEvents.configurationApplied, { version: offer.record.version, source: offer.source });
        callbacks.forEach(callback => callback(applied.val));
        return applied.val;
    };

    const send = spawnActor<AppliedVersion | undefined, Offer>({
        system: options.system,
        name: "configuration",
        initialState: undefined,
        logger,
        receive: (state, offer) => {
            const next = apply(state, offer);
            markFresh(offer.epoch);
            return next;
        },
    });

    const takeStored = (stored: StoredValue | undefined, askedEpoch?: number): void => {
        const parsed = stored ? parseVersion(stored.value) : undefined;
        if (parsed?.err) {
            logger.log(logEvents.configurationRejected, { source: "store", reason: parsed.val });
            return;
        }
        const record = parsed?.val as FleetVersion | undefined;
        const heldVersion = current?.record.version ?? 0;
        if (record && record.version > heldVersion) {
            send({ record, source: "store", epoch: askedEpoch });
            return;
        }
        if (current && (record?.version ?? 0) < heldVersion) {
            void writeBack(current, stored, record?.version ?? 0);
        }
        markFresh(askedEpoch);
    };

    store.watchPrefix(
        storeKeys.fleetVersion,
        options.signal,
        values => takeStored(values.find(value => value.key === storeKeys.fleetVersion)),
    );

    return {
        current: () => current,
        version: () => current?.record.version ?? 0,
        applyIfNewer: (record, source, askedEpoch) => send({ record, source, epoch: askedEpoch }),
        isFresh: () => isFresh,
        epoch: () => epoch,
        refresh: async () => {
            const askedEpoch = epoch;
            const read = await store.read(storeKeys.fleetVersion);
            if (read.ok) {
                takeStored(read.val, askedEpoch);
            }
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
