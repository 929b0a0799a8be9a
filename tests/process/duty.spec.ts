/** Guards against a duty that changes its holder because a round waits for the store. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import { createManualTimerService, delay } from "../../src/common/timerService.js";
import type { PlatformStore } from "../../src/connection/platformStore.js";
import { runDuty } from "../../src/process/duty.js";
import { createSilentLogger } from "../../src/process/logger.js";

const leaseS = 3;
const leaseMs = leaseS * 1_000;

describe("a duty", () => {
    it("should be kept during a round that takes longer than the lease, and after a renewal has failed unexpectedly", async () => {
        const timers = createManualTimerService();
        const lifetime = new AbortController();
        let leaseEndsAtMs = 0;
        let acquisitionsCount = 0;
        let roundsCount = 0;
        let renewalsCount = 0;
        const lapses: number[] = [];
        const extendLease = (): void => {
            leaseEndsAtMs = timers.nowMs() + leaseMs;
        };
        const store = {
            read: () => Promise.resolve(Ok(undefined)),
            grantLease: () => {
                acquisitionsCount += 1;
                extendLease();
                return Promise.resolve(Ok("lease"));
            },
            swap: () => Promise.resolve(Ok({ isSwapped: true, revision: 1, current: [] })),
            keepLeaseAlive: () => {
                renewalsCount += 1;
                if (renewalsCount === 2) {
                    return Promise.reject(new Error("unreadable response"));
                }
                const isAlive = timers.nowMs() < leaseEndsAtMs;
                if (isAlive) {
                    extendLease();
                }
                else {
                    lapses.push(timers.nowMs());
                }
                return Promise.resolve(Ok(isAlive));
            },
            revokeLease: () => Promise.resolve(Ok(undefined)),
        } as unknown as PlatformStore;
        const ended = runDuty({
            name: "duty",
            memberId: "member",
            leaseS,
            intervalMs: 200,
            store,
            timers,
            logger: createSilentLogger(),
            signal: lifetime.signal,
            runRound: async () => {
                roundsCount += 1;
                await delay(timers, 2.5 * leaseMs, lifetime.signal);
            },
            onAcquired: () => undefined,
        });
        for (let passedMs = 0; passedMs < 10 * leaseMs; passedMs += 100) {
            await new Promise(resolve => setImmediate(resolve));
            timers.advance(100);
        }
        lifetime.abort();
        await ended;
        assert.deepEqual(lapses, []);
        assert.equal(acquisitionsCount, 1);
        assert.ok(roundsCount >= 3, `${roundsCount} rounds`);
    });
});
