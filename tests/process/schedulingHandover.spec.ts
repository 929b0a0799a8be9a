/** Guards against a successor that counts on the end of earlier owners too soon, or waits for owners that are known to have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { OwnershipTerm } from "../../src/process/schedulingOwnership.js";
import { modelPolicy } from "../scheduling/modelJob.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";

const gracePeriodMs = 4_000;

function createFixture() {
    const timers = createManualTimerService();
    const random = createSeededRandom(1);
    const store = createSimulatedStore(timers, random, false);
    const running: SimulatedProcess[] = [];
    let membersCount = 0;
    /** How long after the beginning of the last term earlier owners may still send commands. */
    let formerOwnersEndInMs: number | undefined;
    return {
        start: (nodeName: string): SimulatedProcess => {
            const process = startSimulatedProcess({
                nodeName,
                memberId: `member${++membersCount}`,
                timers,
                random,
                store,
                processStore: store.connect(() => false),
                policy: modelPolicy,
                workerEntries: [],
                workerLeaseMs,
                connectWorker: () => assert.fail("there are no workers"),
                onUnreadable: key => assert.fail(key),
                onTermStarted: (term: OwnershipTerm) => formerOwnersEndInMs = term.formerOwnersEndAtMs - timers.nowMs(),
            });
            running.push(process);
            return process;
        },
        kill: (process: SimulatedProcess): void => {
            process.lifetime.abort();
            running.splice(running.indexOf(process), 1);
        },
        run: async (durationMs: number): Promise<void> => {
            for (const untilMs = timers.nowMs() + durationMs; timers.nowMs() < untilMs;) {
                timers.advance(20);
                running.forEach(each => each.follow());
                await new Promise(resolve => setImmediate(resolve));
            }
        },
        formerOwnersEndInMs: () => formerOwnersEndInMs ?? assert.fail("no term has begun"),
    };
}

describe("the end of earlier owners", () => {
    it("should be known to the successor of an owner that has stopped", async () => {
        const { start, run, formerOwnersEndInMs } = createFixture();
        const owner = start("node0");
        await run(gracePeriodMs + 1_000);
        start("node1");
        await run(1_000);
        void owner.ownership.release();
        await run(1_000);
        assert.ok(formerOwnersEndInMs() <= 0, `${formerOwnersEndInMs()} ms`);
    });

    it("should be known to the next process on the VM of an owner that was killed", async () => {
        const { start, kill, run, formerOwnersEndInMs } = createFixture();
        const owner = start("node0");
        await run(gracePeriodMs + 1_000);
        kill(owner);
        start("node0");
        await run(1_000);
        assert.ok(formerOwnersEndInMs() <= 0, `${formerOwnersEndInMs()} ms`);
    });

    it("should not be assumed by another VM's process when an owner was killed, which may only be cut off", async () => {
        const { start, kill, run, formerOwnersEndInMs } = createFixture();
        const owner = start("node0");
        await run(gracePeriodMs + 1_000);
        start("node1");
        await run(1_000);
        kill(owner);
        await run(3_000);
        assert.equal(formerOwnersEndInMs(), gracePeriodMs);
    });

    it("should not be assumed when the last owner has ended before the one before it must have", async () => {
        const { start, kill, run, formerOwnersEndInMs } = createFixture();
        const first = start("node0");
        await run(gracePeriodMs + 1_000);
        const second = start("node1");
        await run(1_000);
        kill(first);
        await run(gracePeriodMs - 1_000);
        kill(second);
        start("node1");
        await run(1_000);
        assert.equal(formerOwnersEndInMs(), gracePeriodMs);
    });
});
