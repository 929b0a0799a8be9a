/**
 * Decides how often the owner lists a worker. It is designed for hundreds of idle workers, whose listings show only that they respond,
 * and for a surge over hundreds of busy ones, in which each end of a short task returns a listing of its own. Both cost the owner
 * the processor time that it needs for orders, and an owner that is late keeps free capacity waiting.
 *
 * A listing of an idle worker waits longer. After a listing with ended runs, the next one pauses longer the later the owner is, so
 * that it returns several ends at once; an owner that keeps up does not pause.
 *
 * After a change of the owner, many workers cannot be listed at all: those of a zone that is cut off, and those that left while VMs moved to a surging
 * pool and that the next owner has to ask all the same. An address that refuses connections answers at once, so it is tried less and less often.
 *
 * A job whose last end is hidden by a listing without a response is late, and of jobs with many tasks, most are on such a worker if a few per cent
 * of the listings get none. So a worker with a run that should have ended is listed once more, the later the later the owner is.
 */

/**
 * Longest wait, after a listing with ends, until these are stored and the starts under way have responses. Until then a worker returns the same
 * ends again at once; new ones are seen that much later while the store or the owner is slow.
 */
export const maxAcknowledgementWaitMs = 250;

/** Delay before a worker that could not be listed is tried again; doubles with each failure in a row. */
const firstRetryDelayMs = 100;
/** A worker that comes back is found within this time beyond the timeout of a call; until then its free capacity and its ends are not known. */
const maxRetryDelayMs = 500;
/** A worker that refuses connections, has no entry and is not known to run anything has left: nothing waits for what it may tell. */
const maxDepartedRetryDelayMs = 2_000;

/** How long a listing of a worker with runs waits for an end; each listing also extends the leases. */
const busyWaitMs = 1_000;
/** Well below the time after which a worker without a response gets no runs. */
const idleWaitMs = 1_700;
/** An owner that keeps up runs its timers this late in a burst of events. */
const toleratedLatenessMs = 20;
/** The pause as a multiple of the lateness beyond that. */
const pauseFactor = 5;
/** Short against the time that callers allow beyond the work of their jobs. */
const maxPauseMs = 250;

/** A task may take this much longer than estimated, and its end is seen so much later, before another listing is worth its cost. */
const overdueFactor = 1.3;
const overdueSlackMs = 100;
/** Allowance for an owner that is late: it sees all ends later. */
const overdueLatenessFactor = 10;

/** Returns how long a listing of a worker waits for an end. */
export function listingWaitMs(runsCount: number): number {
    return runsCount === 0 ? idleWaitMs : busyWaitMs;
}

/** Returns how long to wait after a listing with ended runs before the next one; `latenessMs` is how late the owner's timers fire. */
export function listingPauseMs(latenessMs: number): number {
    return Math.min(maxPauseMs, Math.max(0, latenessMs - toleratedLatenessMs) * pauseFactor);
}

/** Returns the age at which a run should have been seen to end; `latenessMs` is how late the owner's timers fire. */
export function overdueEndAgeMs(estimatedDurationMs: number, latenessMs: number): number {
    return overdueFactor * estimatedDurationMs + overdueSlackMs + overdueLatenessFactor * latenessMs;
}

/** Returns how long to wait before a call to a worker is repeated after so many in a row that failed. */
export function retryDelayMs(failuresCount: number, hasDeparted = false): number {
    return Math.min(hasDeparted ? maxDepartedRetryDelayMs : maxRetryDelayMs, firstRetryDelayMs * 2 ** Math.max(0, failuresCount - 1));
}
