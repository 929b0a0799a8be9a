/** Holds the configuration version in force in this process; it only ever goes up. */
import { Err, Ok, type Result } from "../common/results.js";
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue } from "../connection/platformStore.js";
import { type AppliedVersion, applyVersion, type FleetVersion, parseVersion } from "../version/fleetVersion.js";
import { type ActorSystemRef, spawnActor } from "./actors.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface ConfigurationHolder {
    /** The version in force, or `undefined` until the first has come. */
    current(): AppliedVersion | undefined;
    /** Version in force, 0 if none. */
    version(): number;
    /** Offers a version from the store or a peer; it is applied if it is newer. */
    offer(record: FleetVersion, source: string): void;
    /** Whether it was refreshed since the process last noticed that it had been paused. */
    isFresh(): boolean;
    /** Reads the store and offers what it holds; tells whether the store answered. */
    refresh(): Promise<Result<void, string>>;
    /** Marks what is held as possibly outdated, after a pause, until a source has answered or `limitMs` have passed. */
    markStale(limitMs: number): void;
    /** Marks what is held as the newest that could be had. */
    markFresh(): void;
    /** Calls back after each newly applied version. */
    onApplied(callback: (version: AppliedVersion) => void): void;
}

export interface ConfigurationHolderOptions {
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
}

interface Offer {
    record: FleetVersion;
    source: string;
}

/** Creates the holder and starts its watch of the store. */
export function createConfigurationHolder(options: ConfigurationHolderOptions): ConfigurationHolder {
    const { store, logger, timers } = options;
    const callbacks: ((version: AppliedVersion) => void)[] = [];
    let current: AppliedVersion | undefined;
    let isFresh = true;

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
            logger.log(logEvents.configurationRefused, { version: offer.record.version, source: offer.source, reason: applied.val });
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
        receive: apply,
    });

    const takeStored = (stored: StoredValue | undefined): void => {
        const parsed = stored ? parseVersion(stored.value) : undefined;
        if (parsed?.err) {
            logger.log(logEvents.configurationRefused, { source: "store", reason: parsed.val });
            return;
        }
        const record = parsed?.val as FleetVersion | undefined;
        const heldVersion = current?.record.version ?? 0;
        if (record && record.version > heldVersion) {
            send({ record, source: "store" });
        }
        else if (current && (record?.version ?? 0) < heldVersion) {
            void writeBack(current, stored, record?.version ?? 0);
        }
        isFresh = true;
    };

    store.watchPrefix(
        storeKeys.fleetVersion,
        options.signal,
        values => takeStored(values.find(value => value.key === storeKeys.fleetVersion)),
    );

    return {
        current: () => current,
        version: () => current?.record.version ?? 0,
        offer: (record, source) => send({ record, source }),
        isFresh: () => isFresh,
        refresh: async () => {
            const read = await store.read(storeKeys.fleetVersion);
            if (read.err) {
                return Err(read.val.reason);
            }
            takeStored(read.val);
            return Ok(undefined);
        },
        markStale: limitMs => {
            isFresh = false;
            timers.after(limitMs, () => isFresh = true);
        },
        markFresh: () => {
            isFresh = true;
        },
        onApplied: callback => void callbacks.push(callback),
    };
}
