/**
 * Extends the leases of a worker at once after it has accepted a start that was valid for less than usual: such a lease may end before the
 * next poll would extend it.
 */
import { startValidityMs } from "../scheduling/leases.js";
import type { Run } from "../scheduling/workerRecord.js";

/** `extendLeases` sends a listing that extends the leases, and resolves with its response; it must not fail. */
export function createShortLeaseExtender(extendLeases: () => Promise<unknown>, signal: AbortSignal): (run: Run) => Promise<void> {
    let isExtending = false;
    /** Whether a start was accepted after the listing under way was sent. */
    let isExtensionMissing = false;
    return async run => {
        if (run.startValidityMs >= startValidityMs) {
            return;
        }
        isExtensionMissing = true;
        if (isExtending) {
            return;
        }
        isExtending = true;
        while (isExtensionMissing && !signal.aborted) {
            isExtensionMissing = false;
            await extendLeases();
        }
        isExtending = false;
    };
}
