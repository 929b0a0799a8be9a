/** Logs the scheduler's decisions; those about reservations have events of their own and are limited in number. */
import type { Decision } from "../scheduling/schedulerState.js";
import { type LogEvent, logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** Decisions that may be made in each pass, by `what`. */
const limitedEvents = new Map<string, LogEvent>([
    ["reservation made", logEvents.reservationMade],
    ["reservation expired", logEvents.reservationExpired],
]);
/** Of each such event, so many lines are written in an interval. */
const maxLines = 10;
const intervalMs = 1_000;

interface LineCount {
    sinceMs: number;
    writtenCount: number;
    omittedCount: number;
}

/** Returns a function that logs decisions. */
export function createDecisionLog(logger: Logger, nowMs: () => number): (decision: Decision) => void {
    const counts = new Map<LogEvent, LineCount>();

    const logLimited = (event: LogEvent, decision: Decision): void => {
        const count = counts.get(event) ?? { sinceMs: Number.NEGATIVE_INFINITY, writtenCount: 0, omittedCount: 0 };
        counts.set(event, count);
        if (nowMs() - count.sinceMs >= intervalMs) {
            count.sinceMs = nowMs();
            count.writtenCount = 0;
        }
        if (count.writtenCount >= maxLines) {
            count.omittedCount += 1;
            return;
        }
        const { omittedCount } = count;
        count.writtenCount += 1;
        count.omittedCount = 0;
        logger.log(event, { ...decision, ...(omittedCount > 0 ? { omittedCount } : {}) });
    };

    return decision => {
        const limited = limitedEvents.get(decision.what);
        if (limited) {
            logLimited(limited, decision);
        }
        else {
            logger.log(logEvents.schedulingDecided, { ...decision });
        }
    };
}
