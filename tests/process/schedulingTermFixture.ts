/** A scheduling service with one worker, of which the test gives the answers of the store and the listings of the worker. */
import assert from "node:assert/strict";
import { defaultStep } from "../../harness/defaultStep.js";
import { Ok, type Result } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, StoreError, StoreGuard, StoreWrite, SwapOutcome } from "../../src/connection/platformStore.js";
import type { ListOrder, ListResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createLatenessMeter } from "../../src/process/latenessMeter.js";
import { type LogEvent, logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields, type Logger } from "../../src/process/logger.js";
import type { SchedulingOwnership } from "../../src/process/schedulingOwnership.js";
import { createSchedulingService } from "../../src/process/schedulingService.js";
import type { SchedulingService } from "../../src/process/schedulingServiceTypes.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import type { EvacuationSource } from "../../src/process/zoneEvacuations.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { encodeProgress, encodeSubmission, jobKeys, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import type { Listing } from "../../src/scheduling/reconcileListing.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { modelPolicy } from "../scheduling/modelJob.js";
import { taskStopMs, workerLeaseMs } from "../scheduling/schedulerHarness.js";

type Swapped = Result<SwapOutcome, StoreError>;

interface PendingSwap {
    guards: StoreGuard[];
    writes: StoreWrite[];
    answer(outcome: Swapped): void;
}

interface PendingList {
    address: string;
    order: ListOrder;
    answer(listing: Partial<Listing>): Promise<void>;
}

export interface TermFixture {
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
    /** Addresses to which the connections were closed. */
    closedAddresses: string[];
    acquire(token: number): Promise<void>;
    setWorkersCurrent(isCurrent: boolean): void;
    /** Up to which revision the mirror is complete; by default that of the term. */
    setMirrorRevision(revision: number): void;
    logged: { event: LogEvent; fields: LogFields }[];
    lose(): void;
    /** Lets the owner's timers run for a while. */
    pass(): Promise<void>;
}

export const workerEntry: WorkerEntry = {
    workerId: "w1",
    bornWallMs: 0,
    address: "10.0.0.1:80",
    poolName: "pool",
    zone: "zone",
    rack: "rack",
    labels: [],
    capacity: { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 },
    isDraining: false,
};

export const saved = (revision: number): Swapped => Ok({ isSwapped: true, revision, current: [] });

/** One worker, and a store whose answers the test gives. */
export function createTermFixture(
    options?: { hasUnreadableDocuments?: boolean; snapshots?: Record<string, string>; evacuations?: EvacuationSource },
): TermFixture {
    const timers = createManualTimerService();
    const lifetime = new AbortController();
    const swaps: PendingSwap[] = [];
    const lists: PendingList[] = [];
    const startedTasks: string[] = [];
    const directory = createJobDirectory({ onUnreadable: key => options?.hasUnreadableDocuments || assert.fail(key) });
    const logged: TermFixture["logged"] = [];
    const unreadableKeys: string[] = [];
    const closedAddresses: string[] = [];
    const logger: Logger = {
        ...createSilentLogger(),
        log: (event, fields = {}) => {
            logged.push({ event, fields });
            if (event === logEvents.documentUnreadable) {
                assert.ok(options?.hasUnreadableDocuments, String(fields["key"]));
                unreadableKeys.push(String(fields["key"]));
            }
        },
    };
    const snapshots = Object.entries(options?.snapshots ?? {}).map(([workerId, value]) => ({
        key: jobKeys.workerSnapshotPrefix + workerId,
        value,
        revision: 1,
    }));
    let token: number | undefined;
    let mirrorRevision: number | undefined;
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
    const list = (address: string, order: ListOrder): Promise<ListResponse> =>
        new Promise(resolve =>
            lists.push({
                address,
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
    const lose = (): void => {
        token = undefined;
        service.onOwnershipLost();
    };
    const service = createSchedulingService({
        store: {
            swap: (guards: StoreGuard[], writes: StoreWrite[]) => new Promise<Swapped>(answer => swaps.push({ guards, writes, answer })),
        } as unknown as ChangeFeedStore,
        mirror: () =>
            ({
                revision: () => mirrorRevision ?? token ?? 0,
                revisionOf: () => 0,
                valueOf: () => undefined,
                values: () => snapshots,
            }) as unknown as StoreMirror,
        directory,
        ownership: () =>
            ({
                token: () => token,
                isLeaseValid: () => token !== undefined,
                maySendOrders: () => token !== undefined,
                leaseAgeMs: () => 0,
                abandon: () => {
                    lose();
                    return Promise.resolve();
                },
            }) as unknown as SchedulingOwnership,
        timers,
        lateness: createLatenessMeter(timers),
        logger,
        signal: lifetime.signal,
        areWorkersCurrent: () => areWorkersCurrent,
        connectWorker: ({ address }) =>
            ({
                list: (order: ListOrder) => list(address, order),
                start,
                close: () => closedAddresses.push(address),
            }) as unknown as WorkerClient,
        workerLeaseMs,
        taskStopMs,
        jobRetentionMs: 60_000,
        demand: createDemandTracker(timers.nowMs),
        ...options?.evacuations && { evacuations: options.evacuations },
        onTermStarted: () => undefined,
    });
    service.onPolicyChanged(modelPolicy);
    service.onWorkerChanged("w1", workerEntry);
    return {
        service,
        swaps,
        lists,
        startedTasks,
        unreadableKeys,
        closedAddresses,
        logged,
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
            service.onOwnershipAcquired({ token: newToken, isContinued: false, formerOwnersEndAtMs: timers.nowMs() + 4_000 });
            await pass();
        },
        setWorkersCurrent: isCurrent => {
            areWorkersCurrent = isCurrent;
            service.onWorkersConfirmed();
        },
        setMirrorRevision: revision => {
            mirrorRevision = revision;
            service.onStoreChanged();
        },
        lose,
        pass,
    };
}
