/** Faults injected into the protocol, which the checks must detect. */
export interface FaultInjection {
    /** Ends are acknowledged to workers before they are stored. */
    acknowledgesBeforeSaving?: boolean;
    /** A new owner starts tasks without waiting for unreachable workers. */
    takesOverWithoutWaiting?: boolean;
    /** An owner that lost its lease still concludes that the leases of unresponsive workers have ended. */
    expiresLeasesWithoutProof?: boolean;
    /** A start without a response is sent to another worker at once. */
    retriesUnansweredStarts?: boolean;
    /** Starts are sent before the store lists the workers on which the job may run. */
    startsBeforeSaving?: boolean;
}
