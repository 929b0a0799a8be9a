/**
 * Guards against answers to calls of one term that change what the scheduler of a later term of the same process believes, and
 * checks what a term begins with.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok, type Result } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, StoreError, StoreGuard, StoreWrite, SwapOutcome } from "../../src/connection/platformStore.js";
import type { ListOrder, ListResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type Logger } from "../../src/process/logger.js";
import type { SchedulingOwnership } from "../../src/process/schedulingOwnership.js";
import { createSchedulingService, type SchedulingService } from "../../src/process/schedulingService.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { encodeProgress, encodeSubmission, jobKeys, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import type { Listing } from "../../src/scheduling/reconcileListing.js";
import { defaultStep } from "../scheduling/defaultStep.js";
import { modelPolicy } from "../scheduling/modelJob.js";
import { taskStopMs, workerLeaseMs } from "../scheduling/schedulerHarness.js";

type Swapped = Result<SwapOutcome, StoreError>;

interface PendingSwap {
    guards: StoreGuard[];
    writes: StoreWrite[];
    answer(outcome: Swapped): void;
}

interface PendingList {
    order: ListOrder;
    answer(listing: Partial<Listing>): Promise<void>;
}

interface Fixture {
    service: SchedulingService;
    /** Writes without an answer yet, in the order in which they were sent. */
    swaps: PendingSwap[];
    /** Listing requests without an answer yet, in the order in which they were sent. */
    lists: PendingList[];
    startedTasks: string[];
    store(jobId: string, progress: JobProgress | undefined): void;
    /** Passes in a change of a stored document, as the mirror does. */
    applyChange(key: string, value: string): void;
    unreadableKeys: string[];
    acquire(token: number): Promise<void>;
    setWorkersCurrent(isCurrent: boolean): void;
    lose(): void;
    /** Lets the owner's timers run for a while. */
    pass(): Promise<void>;
}

const saved = (revision: number): Swapped => Ok({ isSwapped: true, revision, current: [] });

/** One worker, and a store whose answers the test gives. */
function createFixture(options?: { hasUnreadableDocuments: boolean }): Fixture {
    const timers = createManualTimerService();
    const lifetime = new AbortController();
    const swaps: PendingSwap[] = [];
    const lists: PendingList[] = [];
    const startedTasks: string[] = [];
    const directory = createJobDirectory({ onUnreadable: key => options?.hasUnreadableDocuments || assert.fail(key) });
    const unreadableKeys: string[] = [];
    const logger: Logger = {
        ...createSilentLogger(),
        log: (event, fields) => {
            if (event === logEvents.documentUnreadable) {
                assert.ok(options?.hasUnreadableDocuments, String(fields?.["key"]));
                unreadableKeys.push(String(fields?.["key"]));
            }
        },
    };
    let token: number | undefined;
    let areWorkersCurrent = true;

    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 3; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const pass = async (): Promise<void> => {
        for (let round = 0; round < 4; round++) {
            timers.advance(25);
            await settle();
        }
    };
    const list = (order: ListOrder): Promise<ListResponse> =>
        new Promise(resolve =>
            lists.push({
                order,
                answer: async listing => {
                    resolve({
                        outcome: commandOutcomes.accepted,
                        reason: "",
                        isFenced: false,
                        clockMs: timers.nowMs(),
                        listing: { bornWallMs: 0, running: [], ended: [], ...listing },
                    });
                    await pass();
                },
            })
        );
    const start = (order: StartOrder): Promise<object> => {
        startedTasks.push(order.taskName);
        return Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false });
    };
    const service = createSchedulingService({
        store: {
            swap: (guards: StoreGuard[], writes: StoreWrite[]) => new Promise<Swapped>(answer => swaps.push({ guards, writes, answer })),
        } as unknown as ChangeFeedStore,
        mirror: () => ({ revision: () => token ?? 0, revisionOf: () => 0, values: () => [] }) as unknown as StoreMirror,
        directory,
        ownership: () =>
            ({
                token: () => token,
                isLeaseValid: () => token !== undefined,
                maySendOrders: () => token !== undefined,
            }) as SchedulingOwnership,
        timers,
        logger,
        signal: lifetime.signal,
        areWorkersCurrent: () => areWorkersCurrent,
        connectWorker: () => ({ list, start, close: () => undefined }) as unknown as WorkerClient,
        workerLeaseMs,
        taskStopMs,
        ownershipGracePeriodMs: 4_000,
        jobRetentionMs: 60_000,
        demand: createDemandTracker(timers.nowMs),
        onTermStarted: () => undefined,
    });
    service.onPolicyChanged(modelPolicy);
    service.onWorkerChanged("w1", {
        workerId: "w1",
        bornWallMs: 0,
        address: "",
        poolName: "pool",
        zone: "zone",
        rack: "rack",
        labels: [],
        capacity: { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 },
        isDraining: false,
    });
    return {
        service,
        swaps,
        lists,
        startedTasks,
        unreadableKeys,
        applyChange: (key, value) => {
            const event = directory.apply(key, value);
            if (event) {
                service.onJobEvent(event);
            }
        },
        store: (jobId, progress) => {
            const submission = {
                jobId,
                queueName: "queue",
                teamName: undefined,
                payload: "",
                steps: [{ ...defaultStep, taskCount: 2 }],
                repeat: undefined,
                submittedWallMs: 0,
            };
            directory.apply(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
            if (progress) {
                directory.apply(jobKeys.progressPrefix + jobId, encodeProgress(progress));
            }
        },
        acquire: async newToken => {
            token = newToken;
            service.onOwnershipAcquired({ token: newToken, isContinued: false });
            await pass();
        },
        setWorkersCurrent: isCurrent => {
            areWorkersCurrent = isCurrent;
            service.onWorkersConfirmed();
        },
        lose: () => {
            token = undefined;
            service.onOwnershipLost();
        },
        pass,
    };
}

describe("a later term of the same process", () => {
    it("should not acknowledge an end because a write of an earlier term is answered", async () => {
        const { swaps, lists, startedTasks, store, acquire, lose } = createFixture();
        store("job", undefined);
        await acquire(10);
        await lists.shift()!.answer({});
        assert.deepEqual(swaps[0]!.writes.map(write => write.key), [`${jobKeys.progressPrefix}job`]);
        // The write of the first term has landed, and its answer is on the way.
        store("job", { state: "running", occurrences: { 0: [{ done: [] }] }, workerIds: ["w1"] });
        lose();
        lists.splice(0);
        const earlierWrite = swaps.shift()!;
        await acquire(20);
        await lists.shift()!.answer({ ended: [{ endNumber: 1, taskName: "job.0.0.0", runId: 10_000_001, end: "done", checkpoint: "" }] });
        assert.deepEqual(startedTasks, ["job.0.0.1"]);
        assert.equal(swaps.length, 1, "the end is being written");
        earlierWrite.answer(saved(11));
        assert.equal(lists[0]!.order.acknowledgedEndNumber, 0);
        await lists.shift()!.answer({});
        assert.equal(lists[0]!.order.acknowledgedEndNumber, 0, "the end is not stored yet");
        swaps.shift()!.answer(saved(21));
        await lists.shift()!.answer({});
        assert.equal(lists[0]!.order.acknowledgedEndNumber, 1);
    });
});

describe("a new term", () => {
    it("should begin only when the workers' entries are current", async () => {
        const { service, lists, store, acquire, setWorkersCurrent, pass } = createFixture();
        store("job", undefined);
        setWorkersCurrent(false);
        await acquire(10);
        assert.equal(service.scheduler(), undefined);
        setWorkersCurrent(true);
        await pass();
        assert.notEqual(service.scheduler(), undefined);
        assert.equal(lists.length, 1);
    });

    it("should load all jobs and workers that can be read, and log the documents that cannot", async () => {
        const { lists, swaps, startedTasks, unreadableKeys, store, applyChange, acquire } = createFixture({
            hasUnreadableDocuments: true,
        });
        applyChange(`${jobKeys.submissionPrefix}a`, "{");
        store("b", undefined);
        applyChange(`${jobKeys.progressPrefix}b`, JSON.stringify({ state: "running", occurrences: { 0: [{ done: 1 }] } }));
        store("c", undefined);
        applyChange(`${jobKeys.progressPrefix}c`, "{");
        store("d", undefined);
        await acquire(10);
        assert.deepEqual(unreadableKeys, [`${jobKeys.submissionPrefix}a`, `${jobKeys.progressPrefix}b`, `${jobKeys.progressPrefix}c`]);
        await lists.shift()!.answer({});
        assert.deepEqual(swaps[0]!.writes.map(write => write.key), [`${jobKeys.progressPrefix}d`]);
        swaps.shift()!.answer(saved(11));
        await lists.shift()!.answer({});
        assert.deepEqual(startedTasks, ["d.0.0.0", "d.0.0.1"]);
    });
});

describe("a running term", () => {
    it("should go on after a submitted job whose progress cannot be read", async () => {
        const { service, unreadableKeys, applyChange, acquire } = createFixture({ hasUnreadableDocuments: true });
        const submissionOf = (jobId: string): string =>
            encodeSubmission({
                jobId,
                queueName: "queue",
                teamName: undefined,
                payload: "",
                steps: [defaultStep],
                repeat: undefined,
                submittedWallMs: 0,
            });
        await acquire(10);
        applyChange(`${jobKeys.progressPrefix}a`, "{");
        applyChange(`${jobKeys.submissionPrefix}a`, submissionOf("a"));
        applyChange(`${jobKeys.submissionPrefix}b`, submissionOf("b"));
        assert.deepEqual(unreadableKeys, [`${jobKeys.progressPrefix}a`]);
        assert.deepEqual([...service.scheduler()!.state.jobs.keys()], ["b"]);
    });
});
