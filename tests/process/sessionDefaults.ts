/** What tests of worker sessions share. */
import assert from "node:assert/strict";

/** Lets all promises that are due settle. */
export const settle = (): Promise<void> => new Promise(resolve => void setImmediate(resolve));

/** What most of them leave alone: a process that is in time, owns the scheduling, and meets no failure. */
export const sessionDefaults = {
    workerId: "w1",
    bornWallMs: 0,
    leaseMs: 6_000,
    maySendOrders: () => true,
    latenessMs: () => 0,
    isLeaseValid: () => true,
    onFenced: () => undefined,
    onSchedulerChanged: () => undefined,
    onListFailed: (reason: string) => assert.fail(reason),
};
