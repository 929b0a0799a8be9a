/**
 * Decides how often the owner reads the VM list and plans orders for VMs. It is designed for an overloaded owner of hundreds of VMs: decoding
 * their list and planning over all of them takes the processor time that starts need.
 *
 * The list changes through the owner's own requests, after which it is read at once, and through failures.
 */

const listIntervalMs = 400;
/** While the owner is late, the list is read less often, by this multiple of the lateness. */
const listPauseFactor = 10;
const maxListIntervalMs = 1_500;
const toleratedLatenessMs = 60;

/** Returns the time from one VM list to the next; `latenessMs` is how late the owner's timers fire. */
export function vmListIntervalMs(latenessMs: number): number {
    return Math.min(maxListIntervalMs, listIntervalMs + listPauseFactor * latenessMs);
}

/** Whether orders are planned between two lists, too, from what has changed in the scheduler since. */
export function mayPlanBetweenLists(latenessMs: number): boolean {
    return latenessMs <= toleratedLatenessMs;
}
