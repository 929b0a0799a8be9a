/** Runs the scheduler in the owner process: passes it events from the store and the workers, and executes its commands. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import type { ConnectWorker } from "../connection/workerClient.js";
import type { DirectoryEntry, DirectoryEvent, JobDirectory } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { createScheduler, type Scheduler } from "../scheduling/scheduler.js";
import { commandKinds, type Decision } from "../scheduling/schedulerState.js";
import { decodeSnapshot, type WorkerSnapshot } from "../scheduling/unresponsiveWorkers.js";
import type { WorkerEntry } from "../scheduling/workerRecord.js";
import type { DemandTracker } from "./demandTracker.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { createPassTrigger } from "./passTrigger.js";
import { createProgressWriter } from "./progressWriter.js";
import { removeOldJobs } from "./removeOldJobs.js";
import type { OwnershipTerm, SchedulingOwnership } from "./schedulingOwnership.js";
import type { StoreMirror } from "./storeMirror.js";
import { createWorkerSession, type WorkerSession } from "./workerSession.js";
import { createWorkerSnapshotWriter, emptySnapshotValue } from "./workerSnapshotWriter.js";

export interface SchedulingService {
    onOwnershipAcquired(term: OwnershipTerm): void;
    onOwnershipLost(): void;
    onPolicyChanged(policy: SchedulingPolicy): void;
    /** `entry` is `undefined` when the worker's entry was deleted from the store. */
    onWorkerChanged(workerId: string, entry: WorkerEntry | undefined): void;
    onJobEvent(event: DirectoryEvent): void;
    /** The mirror has applied a batch of changes. */
    onStoreChanged(): void;
    /** The scheduler of the current term; `undefined` while no term runs in this process. */
    scheduler(): Scheduler | undefined;
}

export interface SchedulingServiceOptions {
    store: ChangeFeedStore;
    mirror(): StoreMirror;
    directory: JobDirectory;
    ownership(): SchedulingOwnership;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    connectWorker: ConnectWorker;
    workerLeaseMs: number;
    taskStopMs: number;
    /** Longest time for which an owner may keep sending commands after its lease has run out. */
    ownershipGracePeriodMs: number;
    jobRetentionMs: number;
    demand: DemandTracker;
    /** Called when the scheduler of a term has been created; `signal` aborts when the term ends. */
    onTermStarted(scheduler: Scheduler, signal: AbortSignal): void;
}

const stepIntervalMs = 100;
/** Progress is collected for this long before each write; short compared with the duration of a step. */
const saveIntervalMs = 20;
const cleanupIntervalMs = 5_000;
/** Jobs submitted longer ago than this do not count as new arrivals. Several times the store's slowest response. */
const maxArrivalDelayMs = 1_500;
/** Upper bound of the clock difference and delivery delay by which a worker's lease may outlast its nominal duration. */
const leaseSlackMs = 400;

export function createSchedulingService(options: SchedulingServiceOptions): SchedulingService {
    const { store, directory, timers, logger } = options;
    const sessions = new Map<string, WorkerSession>();
    const registered = new Map<string, WorkerEntry>();
    /** Workers whose entries were deleted recently: they may still run tasks that an earlier owner started. */
    const unregistered = new Map<string, { entry: WorkerEntry; atMs: number }>();
    let policy: SchedulingPolicy | undefined;
    let scheduler: Scheduler | undefined;
    let pendingTerm: OwnershipTerm | undefined;
    let termLifetime = new AbortController();

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const maySendOrders = (): boolean => options.ownership().maySendOrders();
    const logDecision = (decision: Decision): void => logger.log(logEvents.schedulingDecided, { ...decision });

    const progressWriter = createProgressWriter({
        store,
        nowMs: timers.nowMs,
        termRevision: () => scheduler && options.ownership().token(),
        revisionOf: key => options.mirror().revisionOf(key),
        takeUnsaved: atMost => scheduler?.takeUnsavedJobs(atMost) ?? [],
        onSaved: jobs => {
            jobs.forEach(job => scheduler?.progressSaved(job.jobId, job.version, timers.nowMs()));
            sessions.forEach(session => session.onProgressSaved());
            scheduleStep();
        },
        onSaveFailed: jobId => scheduler?.progressSaveFailed(jobId),
        onSuperseded: () => options.ownership().onStoreChanged(),
        onWriteFailed: (reason, jobsCount) => logger.log(logEvents.progressWriteFailed, { reason, jobsCount }),
    });

    const snapshotWriter = createWorkerSnapshotWriter({
        store,
        timers,
        signal: options.signal,
        termRevision: () => options.ownership().token(),
        revisionOf: key => options.mirror().revisionOf(key),
    });

    /** Ignores old jobs, so that the initial copy of the store does not look like a surge. */
    const recordArrival = ({ queueName, submittedWallMs, workMillicoreS }: DirectoryEntry): void => {
        const poolName = policy?.queues.get(queueName)?.poolName;
        if (poolName !== undefined && timers.wallClockMs() - submittedWallMs < maxArrivalDelayMs) {
            options.demand.recordArrival(poolName, workMillicoreS);
        }
    };

    const syncSessions = (): void => {
        if (!scheduler) {
            return;
        }
        for (const [workerId, session] of sessions) {
            if (!scheduler.state.workers.has(workerId)) {
                session.close();
                sessions.delete(workerId);
            }
        }
        for (const [workerId, worker] of scheduler.state.workers) {
            if (!sessions.has(workerId)) {
                sessions.set(
                    workerId,
                    createWorkerSession({
                        workerId,
                        client: options.connectWorker(worker.entry),
                        scheduler,
                        timers,
                        leaseMs: options.workerLeaseMs,
                        maySendOrders,
                        isLeaseValid: () => options.ownership().isLeaseValid(),
                        onFenced: () => options.ownership().onFenced(),
                        onSchedulerChanged: scheduleStep,
                    }),
                );
            }
        }
    };

    const saveSnapshot = async (owner: Scheduler, workerId: string, snapshot: WorkerSnapshot | undefined): Promise<void> => {
        const state = await snapshotWriter.update(workerId, snapshot);
        owner.snapshotStateChanged(workerId, state);
        scheduleStep();
    };

    const runStep = (): void => {
        if (!scheduler) {
            return;
        }
        syncSessions();
        scheduler.setOwnershipProven(options.ownership().isLeaseValid());
        scheduler.setStoreWritable(progressWriter.isHealthy());
        if (maySendOrders()) {
            scheduler.step(moment());
        }
        if (scheduler.hasPlannedStarts()) {
            progressWriter.flush();
        }
        for (const command of scheduler.takeCommands()) {
            if (command.kind === commandKinds.writeSnapshot || command.kind === commandKinds.removeSnapshot) {
                void saveSnapshot(scheduler, command.workerId, command.kind === commandKinds.writeSnapshot ? command.snapshot : undefined);
            }
            else {
                sessions.get("run" in command ? command.run.workerId : command.workerId)?.execute(command);
            }
        }
    };
    const passTrigger = createPassTrigger(timers, runStep);
    const scheduleStep = passTrigger.request;

    /** Timers run only in the owner: in any other process a timer wake-up would cost as much as handling a message. */
    const startTimers = (signal: AbortSignal): void => {
        timers.every(stepIntervalMs, signal, scheduleStep);
        timers.every(saveIntervalMs, signal, () => progressWriter.flush());
        timers.every(cleanupIntervalMs, signal, () => {
            const termRevision = options.ownership().token();
            if (termRevision !== undefined && options.ownership().isLeaseValid()) {
                void removeOldJobs(store, directory, termRevision, timers.wallClockMs() - options.jobRetentionMs);
            }
        });
    };

    const stopScheduler = (): void => {
        termLifetime.abort();
        sessions.forEach(session => session.close());
        sessions.clear();
        scheduler = undefined;
        pendingTerm = undefined;
    };

    /** Starts the term once the policy is known and the mirror contains everything that was written before the term. */
    const startTermIfReady = (): void => {
        if (!pendingTerm || !policy || options.mirror().revision() < pendingTerm.token) {
            return;
        }
        const { token } = pendingTerm;
        pendingTerm = undefined;
        const now = moment();
        const unknownLeaseMs = options.ownershipGracePeriodMs + options.workerLeaseMs + leaseSlackMs;
        const hasPriorProgress = [...directory.entries.values()].some(entry => entry.progress !== undefined);
        // Workers without an entry may still hold leases from an earlier owner.
        const unknownForMs = hasPriorProgress ? unknownLeaseMs : 0;
        const newScheduler = createScheduler({
            policy,
            term: { token, startedWallMs: now.wallMs, unknownWorkersUntilMs: now.nowMs + unknownForMs },
            workerLeaseMs: options.workerLeaseMs,
            taskStopMs: options.taskStopMs,
            unknownLeaseMs,
            onDecision: logDecision,
        });
        scheduler = newScheduler;
        termLifetime = new AbortController();
        const signal = AbortSignal.any([termLifetime.signal, options.signal]);
        startTimers(signal);
        const entriesBySubmissionTime = [...directory.entries.values()].sort((a, b) => a.submittedWallMs - b.submittedWallMs);
        for (const entry of entriesBySubmissionTime) {
            if (entry.submission !== undefined) {
                newScheduler.addJob(entry.submission, entry.progress, entry.isCancelled, now.wallMs);
            }
        }
        registered.forEach(entry => newScheduler.registerWorker(entry, now));
        for (const [workerId, { entry, atMs }] of unregistered) {
            if (now.nowMs - atMs < unknownLeaseMs) {
                newScheduler.registerWorker(entry, now);
                newScheduler.unregisterWorker(workerId);
            }
        }
        for (const { key, value } of options.mirror().values(jobKeys.workerSnapshotPrefix)) {
            if (value === emptySnapshotValue) {
                continue;
            }
            try {
                newScheduler.restoreSnapshot(decodeSnapshot(value), registered.has(key.slice(jobKeys.workerSnapshotPrefix.length)), now);
            }
            catch (error) {
                logger.log(logEvents.documentUnreadable, { key, reason: String(error) });
            }
        }
        options.onTermStarted(newScheduler, signal);
        scheduleStep();
    };

    return {
        scheduler: () => scheduler,
        onOwnershipAcquired: term => {
            if (term.isContinued && scheduler) {
                scheduler.renewTerm(term.token);
                return;
            }
            stopScheduler();
            pendingTerm = term;
            startTermIfReady();
        },
        onOwnershipLost: stopScheduler,
        onPolicyChanged: next => {
            policy = next;
            startTermIfReady();
            scheduler?.setPolicy(next);
            scheduleStep();
        },
        onWorkerChanged: (workerId, entry) => {
            const knownEntry = registered.get(workerId);
            if (entry) {
                unregistered.delete(workerId);
                registered.set(workerId, entry);
                scheduler?.registerWorker(entry, moment());
            }
            else if (knownEntry) {
                registered.delete(workerId);
                unregistered.set(workerId, { entry: knownEntry, atMs: timers.nowMs() });
                scheduler?.unregisterWorker(workerId);
            }
        },
        onJobEvent: event => {
            if (event.kind === "accepted") {
                const { entry } = event;
                recordArrival(entry);
                scheduler?.addJob(entry.submission!, entry.progress, entry.isCancelled, timers.wallClockMs());
            }
            else if (event.kind === "cancelled") {
                scheduler?.cancelJob(event.entry.jobId, timers.wallClockMs());
            }
        },
        onStoreChanged: () => {
            startTermIfReady();
            scheduleStep();
        },
    };
}
