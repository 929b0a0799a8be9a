/** What the scheduling service offers, and what it depends on. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import type { ConnectWorker } from "../connection/workerClient.js";
import type { DirectoryEvent, JobDirectory } from "../scheduling/jobDirectory.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { SchedulingFeatures } from "../scheduling/schedulingFeatures.js";
import type { WorkerEntry } from "../scheduling/workerRecord.js";
import type { DemandTracker } from "./demandTracker.js";
import type { LatenessMeter } from "./latenessMeter.js";
import type { Logger } from "./logger.js";
import type { OwnershipTerm, SchedulingOwnership } from "./schedulingOwnership.js";
import type { StoreMirror } from "./storeMirror.js";
import type { EvacuationSource } from "./zoneEvacuations.js";

export interface SchedulingService {
    onOwnershipAcquired(term: OwnershipTerm): void;
    onOwnershipLost(): void;
    onPolicyChanged(policy: SchedulingPolicy): void;
    /** `entry` is `undefined` when the worker's entry was deleted from the store. */
    onWorkerChanged(workerId: string, entry: WorkerEntry | undefined): void;
    /** The worker's entry cannot be read: the worker gets no new runs until it can, and keeps those that it has. */
    onWorkerUnreadable(workerId: string): void;
    onJobEvent(event: DirectoryEvent): void;
    /** The mirror has applied a batch of changes. */
    onStoreChanged(): void;
    /** The workers' entries were confirmed to be current, with or without changes. */
    onWorkersConfirmed(): void;
    /** The evacuations of zones have changed. */
    onEvacuationsChanged(): void;
    /** The scheduler of the current term; `undefined` while no term runs in this process. */
    scheduler(): Scheduler | undefined;
}

export interface SchedulingServiceOptions {
    store: ChangeFeedStore;
    mirror(): StoreMirror;
    directory: JobDirectory;
    ownership(): SchedulingOwnership;
    timers: TimerService;
    lateness: LatenessMeter;
    logger: Logger;
    signal: AbortSignal;
    /** Whether the workers' entries that were passed in are recent. */
    areWorkersCurrent(): boolean;
    connectWorker: ConnectWorker;
    /** Without it, no zone is ever evacuated. */
    evacuations?: EvacuationSource;
    /** Longest lease that a worker grants. */
    workerLeaseMs: number;
    taskStopMs: number;
    jobRetentionMs: number;
    demand: DemandTracker;
    features?: SchedulingFeatures;
    /** Called when the scheduler of a term has been created; `signal` aborts when the term ends. */
    onTermStarted(scheduler: Scheduler, signal: AbortSignal): void;
}
