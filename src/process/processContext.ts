/** Resources of every process, with a common lifetime: timers, logger, metrics, actor system and store. */
import { setMaxListeners } from "node:events";
import { newIncarnationId } from "../common/ids.js";
import { createTimerService, type TimerService } from "../common/timerService.js";
import { createEtcdStore } from "../connection/etcdStore.js";
import type { PlatformStore } from "../connection/platformStore.js";
import { type ActorSystemRef, startActorSystem } from "./actors.js";
import { logEvents } from "./logEvents.js";
import { createLogger, type Logger } from "./logger.js";
import { createMetrics, type Metrics } from "./metrics.js";
import type { SharedSettings } from "./settings.js";

export interface ProcessContext {
    memberId: string;
    timers: TimerService;
    logger: Logger;
    metrics: Metrics;
    system: ActorSystemRef;
    store: PlatformStore;
    /** Aborts when the process shuts down. */
    signal: AbortSignal;
    /** Aborts the signal, which stops all components. */
    shutDown(): void;
}

/** Creates the context of a process of the given role. */
export function createProcessContext(role: string, settings: SharedSettings): ProcessContext {
    const lifetime = new AbortController();
    const { signal } = lifetime;
    // Every component listens for the abort, which exceeds the default limit for listeners.
    setMaxListeners(0, signal);
    const memberId = newIncarnationId();
    const timers = createTimerService();
    const logger = createLogger({
        minimumLevel: settings.logLevel,
        processFields: { role, memberId, zone: settings.availabilityZone },
        write: batch => void process.stdout.write(batch),
        timers,
        signal,
    });
    const store = createEtcdStore({
        address: settings.storeAddress,
        callTimeoutMs: settings.storeTimeoutMs,
        timers,
        signal,
        onAvailability: (isAvailable, reason) =>
            logger.log(isAvailable ? logEvents.storeAvailable : logEvents.storeUnavailable, { reason }),
        onWatchRestart: (prefix, reason) => logger.log(logEvents.watchRestarted, { prefix, reason }),
    });
    return {
        memberId,
        timers,
        logger,
        metrics: createMetrics(),
        system: startActorSystem(signal),
        store,
        signal,
        shutDown: () => lifetime.abort(),
    };
}
