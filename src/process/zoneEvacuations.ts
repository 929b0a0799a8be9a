/**
 * The operator's evacuations of availability zones as this process knows them from its copy of the store. They decide where the owner of
 * the scheduling may send starts, and how old the copy may be when it sends any.
 */
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { type StartPermission, unlimitedStarts } from "../scheduling/startPermission.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** What the owner of the scheduling asks. */
export interface EvacuationSource {
    /** Whether this process has read all of the operator's keys once. */
    isComplete(): boolean;
    startPermission(): StartPermission;
    /** Must be called after each pass of the owner; logs what is withheld and what is left in the zones. */
    recordPass(state: SchedulerState): void;
}

export interface ZoneEvacuations extends EvacuationSource {
    /** Begins the evacuation of the zone, unless it is in force. */
    begin(zone: string): void;
    /** Ends the evacuation of the zone, if it is in force. */
    revoke(zone: string): void;
}

export interface ZoneEvacuationsOptions {
    logger: Logger;
    nowMs(): number;
    /** Time since this process's copy of the operator's keys was confirmed to be current; `undefined` before the first time. */
    copyAgeMs(): number | undefined;
    /** Time after a request within which starts in the zone must end; `undefined` if the deployment does not bound it. */
    boundMs: number | undefined;
    onChanged(zonesCount: number): void;
}

/** Fraction of the bound up to which starts are sent by a copy of that age. The rest is left for workers to carry them out. */
const usableAgeFraction = 0.85;
const progressIntervalMs = 1_000;

export function createZoneEvacuations(options: ZoneEvacuationsOptions): ZoneEvacuations {
    const { logger, nowMs } = options;
    let zones: ReadonlySet<string> = new Set();
    let areStartsWithheld = false;
    let progressLoggedAtMs = Number.NEGATIVE_INFINITY;
    let loggedProgress = "";

    const change = (next: ReadonlySet<string>): void => {
        zones = next;
        options.onChanged(zones.size);
    };
    const startPermission = (): StartPermission => {
        if (options.boundMs === undefined) {
            return { ...unlimitedStarts, evacuatedZones: zones };
        }
        const ageMs = options.copyAgeMs();
        const currentAtMs = ageMs === undefined ? Number.NEGATIVE_INFINITY : nowMs() - ageMs;
        return {
            evacuatedZones: zones,
            untilMs: currentAtMs + usableAgeFraction * options.boundMs,
            expiryMs: currentAtMs + options.boundMs,
        };
    };
    const logWithheld = (): void => {
        const isWithheld = nowMs() >= startPermission().untilMs;
        if (isWithheld !== areStartsWithheld) {
            areStartsWithheld = isWithheld;
            logger.log(isWithheld ? logEvents.startsWithheld : logEvents.startsResumed, {
                copyAgeMs: options.copyAgeMs(),
                boundMs: options.boundMs,
            });
        }
    };
    const describeProgress = (state: SchedulerState): string[] =>
        [...zones].map(zone => {
            const workers = [...state.workers.values()].filter(worker => worker.entry.zone === zone);
            const runs = workers.flatMap(worker => [...worker.runs.values()]);
            const longRunningCount = runs.filter(run => run.isServing).length;
            return `${zone}: ${workers.length} workers, ${longRunningCount} long-running and ${runs.length - longRunningCount} other runs`;
        });
    const logProgress = (state: SchedulerState): void => {
        if (zones.size === 0 || nowMs() - progressLoggedAtMs < progressIntervalMs) {
            return;
        }
        progressLoggedAtMs = nowMs();
        const left = describeProgress(state);
        if (left.join() !== loggedProgress) {
            loggedProgress = left.join();
            logger.log(logEvents.zoneEvacuationProgressed, { zones: left });
        }
    };

    return {
        begin: zone => {
            if (!zones.has(zone)) {
                logger.log(logEvents.zoneEvacuationBegan, { zone, boundMs: options.boundMs });
                change(new Set([...zones, zone]));
            }
        },
        revoke: zone => {
            if (zones.has(zone)) {
                logger.log(logEvents.zoneEvacuationEnded, { zone });
                loggedProgress = "";
                change(new Set([...zones].filter(each => each !== zone)));
            }
        },
        isComplete: () => options.copyAgeMs() !== undefined,
        startPermission,
        recordPass: state => {
            logWithheld();
            logProgress(state);
        },
    };
}
