/** Counts the limits that clients meet, and logs them at a bounded rate. */
import { type LogEvent, logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import type { Metrics } from "../process/metrics.js";

export const clientLimits = {
    connections: "connections",
    pendingRequests: "pendingRequests",
    unreadResponses: "unreadResponses",
    bodyBytes: "bodyBytes",
    bodyProgress: "bodyProgress",
    fragmentedBodies: "fragmentedBodies",
    requestHeap: "requestHeap",
} as const;
export type ClientLimit = (typeof clientLimits)[keyof typeof clientLimits];
export type LimitReport = (limit: ClientLimit) => void;

const eventByLimit: Record<ClientLimit, LogEvent> = {
    connections: logEvents.connectionsLimited,
    pendingRequests: logEvents.pendingRequestsLimited,
    unreadResponses: logEvents.unreadResponsesLimited,
    bodyBytes: logEvents.bodyBytesLimited,
    bodyProgress: logEvents.bodyProgressLimited,
    fragmentedBodies: logEvents.fragmentedBodiesLimited,
    requestHeap: logEvents.requestHeapLimited,
};
const logIntervalMs = 5_000;

export interface LimitReportOptions {
    listener: string;
    logger: Logger;
    metrics: Metrics;
    nowMs(): number;
}

/** Creates the report of one listener: one line for each limit and interval, with the count since the line before. */
export function createLimitReport({ listener, logger, metrics, nowMs }: LimitReportOptions): LimitReport {
    const unlogged = new Map<ClientLimit, { count: number; loggedAtMs: number }>();
    return limit => {
        metrics.clientLimitsTotal.inc({ listener, limit });
        const entry = unlogged.get(limit) ?? { count: 0, loggedAtMs: -Infinity };
        unlogged.set(limit, entry);
        entry.count += 1;
        if (nowMs() - entry.loggedAtMs >= logIntervalMs) {
            logger.log(eventByLimit[limit], { listener, count: entry.count });
            entry.count = 0;
            entry.loggedAtMs = nowMs();
        }
    };
}
