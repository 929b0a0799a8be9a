/** Writes operators' changes as new configuration versions, with compare-and-swap on the version they are based on. */
import { newChangeId } from "../common/ids.js";
import { Err, Ok, type Result } from "../common/results.js";
import type { TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { emptyDocument, type FleetVersion, parseVersion } from "../version/fleetVersion.js";
import type { ConfigurationManager } from "./configurationManager.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** The parts of a configuration version that operators edit. */
export type FleetContent = Pick<FleetVersion, "document" | "keys" | "drains">;

export const writeFailures = {
    /** The store did not respond or holds an unreadable version; nothing was written, or the outcome is unknown. */
    storeUnavailable: "storeUnavailable",
    /** Another change was written first. */
    versionConflict: "versionConflict",
} as const;

export interface WriteFailure {
    failure: (typeof writeFailures)[keyof typeof writeFailures];
    detail: string;
    /** The version that was found instead, after a conflict. */
    current?: FleetVersion;
}

export interface FleetChange {
    operator: string;
    /** Version that the change is based on; `undefined` if it applies to any version. */
    expectedVersion: number | undefined;
    apply(content: FleetContent): FleetContent;
}

export interface FleetWriter {
    /** Writes a change and applies it in this process. It counts as accepted only once every live process has applied it. */
    propose(change: FleetChange): Promise<Result<FleetVersion, WriteFailure>>;
}

export interface FleetWriterOptions {
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    configuration: ConfigurationManager;
}

const maximumAttempts = 8;

interface StoredVersion {
    record: FleetVersion | undefined;
    revision: number;
}

export function createFleetWriter(options: FleetWriterOptions): FleetWriter {
    const { store, configuration } = options;

    const fail = (failure: WriteFailure["failure"], detail: string, current?: FleetVersion): Result<never, WriteFailure> =>
        Err({ failure, detail, current });

    const readStored = async (): Promise<Result<StoredVersion, WriteFailure>> => {
        const read = await store.read(storeKeys.fleetVersion);
        if (read.err) {
            return fail(writeFailures.storeUnavailable, `nothing was written: ${read.val.reason}`);
        }
        const parsed = read.val ? parseVersion(read.val.value) : undefined;
        if (parsed?.err) {
            return fail(writeFailures.storeUnavailable, `the stored version cannot be read: ${parsed.val}`);
        }
        return Ok({ record: parsed?.val as FleetVersion | undefined, revision: read.val?.revision ?? 0 });
    };

    /** Returns the newer of the stored and the local version: a restored store may be behind. */
    const findNewest = (stored: FleetVersion | undefined): FleetVersion | undefined => {
        const held = configuration.current()?.record;
        return held && held.version > (stored?.version ?? 0) ? held : stored;
    };

    const build = (base: FleetVersion | undefined, change: FleetChange): FleetVersion => ({
        version: (base?.version ?? 0) + 1,
        changeId: newChangeId(),
        operator: change.operator,
        changedAtMs: options.timers.wallClockMs(),
        ...change.apply({ document: base?.document ?? emptyDocument, keys: base?.keys ?? [], drains: base?.drains ?? [] }),
    });

    /** Checks whether a write whose response was lost took effect. */
    const checkWritten = async (next: FleetVersion): Promise<Result<FleetVersion, WriteFailure> | "retry"> => {
        const stored = await readStored();
        if (stored.err) {
            return fail(
                writeFailures.storeUnavailable,
                `it is unknown whether version ${next.version} was written; look for change ${next.changeId}`,
            );
        }
        return stored.val.record?.changeId === next.changeId ? Ok(next) : "retry";
    };

    const attempt = async (change: FleetChange): Promise<Result<FleetVersion, WriteFailure> | "retry"> => {
        const stored = await readStored();
        if (stored.err) {
            return stored;
        }
        const base = findNewest(stored.val.record);
        if (change.expectedVersion !== undefined && change.expectedVersion !== (base?.version ?? 0)) {
            return fail(writeFailures.versionConflict, `expected version ${change.expectedVersion}, found ${base?.version ?? 0}`, base);
        }
        const next = build(base, change);
        const guard = { key: storeKeys.fleetVersion, expectedRevision: stored.val.revision };
        const swapped = await store.swap([guard], [{ key: storeKeys.fleetVersion, value: JSON.stringify(next) }]);
        if (swapped.err) {
            return checkWritten(next);
        }
        return swapped.val.isSwapped ? Ok(next) : "retry";
    };

    return {
        propose: async change => {
            for (let count = 0; count < maximumAttempts; count++) {
                const result = await attempt(change);
                if (result === "retry") {
                    continue;
                }
                if (result.ok) {
                    configuration.applyIfNewer(result.val, "operator");
                    options.logger.log(logEvents.configurationProposed, { version: result.val.version, operator: change.operator });
                }
                return result;
            }
            return fail(writeFailures.versionConflict, `${maximumAttempts} attempts conflicted with other changes`);
        },
    };
}
