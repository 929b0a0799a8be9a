/** What most tests of worker sessions leave alone: a process that is in time, owns the scheduling, and meets no failure. */
export const sessionDefaults = {
    leaseMs: 6_000,
    maySendOrders: () => true,
    latenessMs: () => 0,
    isLeaseValid: () => true,
    onFenced: () => undefined,
    onSchedulerChanged: () => undefined,
};
