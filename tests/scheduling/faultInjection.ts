/** Deliberate faults in the protocol that the checks must find. */
export interface FaultInjection {
    /** Ends are acknowledged to workers before the store holds them. */
    acknowledgesBeforeSaving?: boolean;
    /** A new owner starts tasks without waiting for workers that it cannot reach. */
    takesOverWithoutWaiting?: boolean;
    /** An owner that lost its lease goes on to conclude from workers' silence. */
    expiresLeasesWithoutProof?: boolean;
    /** A start that was not answered is given to another worker at once. */
    retriesUnansweredStarts?: boolean;
    /** Starts are sent before the store holds on which workers the job may run. */
    startsBeforeSaving?: boolean;
}
