/** Decides whether a process is ready for callers, and logs when that changes. */
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface ReadinessFigures {
    isStopping: boolean;
    hasConfiguration: boolean;
    /** Time since the last response of the store; `undefined` before the first one. */
    storeUnresponsiveMs: number | undefined;
    /** Time since the configuration was last confirmed to be current; `undefined` before the first time. */
    configurationAgeMs: number | undefined;
    /** Time since the known jobs were last confirmed to be current; `undefined` before the first time. */
    jobsAgeMs: number | undefined;
}

export interface ReadinessCheckOptions {
    figures(): ReadinessFigures;
    logger: Logger;
}

/**
 * A process reports that it is not ready, so that callers use another one, if the store has not responded for this long, or if it has
 * not known the store's contents for longer. Without changes, a watch responds every 0.7 s, and confirms them as of 0.7 s before.
 */
const maxReadyUnresponsiveMs = 1_200;
const maxReadyAgeMs = 2_000;

function isReady(figures: ReadinessFigures): boolean {
    const isBelow = (durationMs: number | undefined, limitMs: number): boolean => durationMs !== undefined && durationMs < limitMs;
    return !figures.isStopping && figures.hasConfiguration &&
        isBelow(figures.storeUnresponsiveMs, maxReadyUnresponsiveMs) &&
        isBelow(figures.configurationAgeMs, maxReadyAgeMs) && isBelow(figures.jobsAgeMs, maxReadyAgeMs);
}

/** Creates the check; each call returns whether the process is ready now. */
export function createReadinessCheck(options: ReadinessCheckOptions): () => boolean {
    const round = (durationMs: number | undefined): number | undefined => durationMs === undefined ? undefined : Math.round(durationMs);
    let wasReady = false;
    return () => {
        const figures = options.figures();
        const isReadyNow = isReady(figures);
        if (isReadyNow !== wasReady) {
            wasReady = isReadyNow;
            options.logger.log(logEvents.readinessChanged, {
                isReady: isReadyNow,
                isStopping: figures.isStopping,
                hasConfiguration: figures.hasConfiguration,
                storeUnresponsiveMs: round(figures.storeUnresponsiveMs),
                configurationAgeMs: round(figures.configurationAgeMs),
                jobsAgeMs: round(figures.jobsAgeMs),
            });
        }
        return isReadyNow;
    };
}
