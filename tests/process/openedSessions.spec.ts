/** A new owner opens its sessions some at a time. Guards against a pass that opens most of them, however far the passes are apart. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSessions } from "../../src/process/workerSessions.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { modelPolicy } from "../scheduling/modelJob.js";
import { taskStopMs } from "../scheduling/schedulerHarness.js";

/** As in the first second of a term on the first grown site. */
const workersCount = 443;
const leaseMs = 6_000;
/** A fifth of the workers: a pass that opens so many takes a few tens of milliseconds. */
const mostInOnePass = 96;
/** Later ones would come too late for the leases of a former owner that was silent before. */
const latestOpeningMs = 360;

const entryOf = (index: number): WorkerEntry => ({
    workerId: `worker${index}`,
    bornWallMs: 1,
    address: `10.0.0.1:${index}`,
    poolName: "pool",
    zone: "zone",
    rack: "rack",
    labels: [],
    capacity: { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 },
    isDraining: false,
});

/** Returns how many sessions each pass opens. */
function openSessions(passIntervalMs: number): number[] {
    const timers = createManualTimerService();
    const scheduler = createScheduler({
        policy: modelPolicy,
        term: { token: 1, unknownWorkersUntilMs: timers.nowMs() + leaseMs, formerOwnersEndAtMs: timers.nowMs() },
        workerLeaseMs: leaseMs,
        maxWorkerLeaseMs: leaseMs,
        taskStopMs,
        onDecision: () => undefined,
    });
    for (let index = 0; index < workersCount; index++) {
        scheduler.registerWorker(entryOf(index), { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    }
    let openedCount = 0;
    const never = (): Promise<never> => new Promise(() => undefined);
    const client: WorkerClient = { start: never, stop: never, setPace: never, list: never, close: () => undefined };
    const sessions = createWorkerSessions({
        connectWorker: () => {
            openedCount += 1;
            return client;
        },
        timers,
        leaseMs,
        maySendOrders: () => true,
        isLeaseValid: () => true,
        onFenced: () => undefined,
        onSchedulerChanged: () => undefined,
        latenessMs: () => passIntervalMs,
        onFailed: (...failure) => assert.fail(failure.join(" ")),
    });
    const openedCounts: number[] = [];
    while (openedCount < workersCount && timers.nowMs() <= latestOpeningMs) {
        const openedBefore = openedCount;
        sessions.sync(scheduler);
        openedCounts.push(openedCount - openedBefore);
        timers.advance(passIntervalMs);
    }
    sessions.close();
    return openedCounts;
}

describe(`a new owner of ${workersCount} workers`, () => {
    // 18 passes in the first second of the term; five to seven of them until all sessions were open.
    for (const passIntervalMs of [5, 20, 40, 60]) {
        it(`should open some sessions at a time if its passes are ${passIntervalMs} ms apart`, () => {
            const openedCounts = openSessions(passIntervalMs);
            assert.equal(openedCounts.reduce((sum, count) => sum + count, 0), workersCount);
            assert.ok(Math.max(...openedCounts) <= mostInOnePass, `opened in each pass: ${openedCounts.join(", ")}`);
        });
    }
});
