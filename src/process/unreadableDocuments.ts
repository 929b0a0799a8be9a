/** Logs documents that cannot be read. Another writer may rewrite one of them again and again, so each key is logged rarely. */
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** Logs that the document with the key cannot be read, unless that was logged for the key recently. */
export type ReportUnreadable = (key: string, reason: string) => void;

const repeatAfterMs = 60_000;
/** Further keys are not logged until older ones may be logged again. */
const maxRecentKeys = 1_000;
const maxReasonChars = 300;

export function createUnreadableDocumentLog(logger: Logger, nowMs: () => number): ReportUnreadable {
    const recent = new Map<string, { loggedAtMs: number; repeatsCount: number }>();
    let unloggedKeysCount = 0;

    const forgetOld = (): void => {
        for (const [key, { loggedAtMs }] of recent) {
            if (nowMs() - loggedAtMs >= repeatAfterMs) {
                recent.delete(key);
            }
        }
    };
    return (key, reason) => {
        const known = recent.get(key);
        if (known && nowMs() - known.loggedAtMs < repeatAfterMs) {
            known.repeatsCount += 1;
            return;
        }
        if (!known && recent.size >= maxRecentKeys) {
            forgetOld();
            if (recent.size >= maxRecentKeys) {
                unloggedKeysCount += 1;
                return;
            }
        }
        recent.set(key, { loggedAtMs: nowMs(), repeatsCount: 0 });
        logger.log(logEvents.documentUnreadable, {
            key,
            reason: reason.slice(0, maxReasonChars),
            repeatsCount: known?.repeatsCount,
            unloggedKeysCount: unloggedKeysCount === 0 ? undefined : unloggedKeysCount,
        });
        unloggedKeysCount = 0;
    };
}
