/** Runs the scheduler in the process that owns it: feeds it from the store and the workers, and carries out its commands. */
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
import { createNoteWriter, emptyNote } from "./noteWriter.js";
import { createProgressWriter } from "./progressWriter.js";
import { removeOldJobs } from "./removeOldJobs.js";
import type { OwnershipTerm, SchedulingOwnership } from "./schedulingOwnership.js";
import type { StoreMirror } from "./storeMirror.js";
import { createWorkerSession, type WorkerSession } from "./workerSession.js";

export interface SchedulingService {
    onOwnershipAcquired(term: OwnershipTerm): void;
    onOwnershipLost(): void;
    onPolicyChanged(policy: SchedulingPolicy): void;
    onWorkerChanged(workerId: string, entry: WorkerEntry | undefined): void;
    onJobEvent(event: DirectoryEvent): void;
    /** The mirror has applied a batch of changes. */
    onStoreChanged(): void;
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
    /** Longest time that a lost owner goes on giving orders. */
    ownershipGracePeriodMs: number;
    jobRetentionMs: number;
    demand: DemandTracker;
    /** Called once a term's scheduler runs; `signal` aborts when the term ends. */
    onTermStarted(scheduler: Scheduler, signal: AbortSignal): void;
}

const stepIntervalMs = 100;
/** Progress of this time goes into one write; a part of what a step of work takes. */
const saveIntervalMs = 20;
const cleanIntervalMs = 5_000;
/** A job that was handed in longer ago than this is not news: some times what the store takes at its slowest. */
const longestArrivalDelayMs = 1_500;
/** Bound of the difference of clocks and of delivery that a worker's lease may outlast. */
const leaseSlackMs = 400;

export function createSchedulingService(options: SchedulingServiceOptions): SchedulingService {
    const { store, directory, timers, logger } = options;
    const sessions = new Map<string, WorkerSession>();
    const announced = new Map<string, WorkerEntry>();
    /** Workers whose entries went of late: they may still run what an earlier owner started. */
    const withdrawn = new Map<string, { entry: WorkerEntry; atMs: number }>();
    let policy: SchedulingPolicy | undefined;
    let scheduler: Scheduler | undefined;
    let waitingTerm: OwnershipTerm | undefined;
    let isPassScheduled = false;
    let termLifetime = new AbortController();

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const mayGiveOrders = (): boolean => options.ownership().maySendOrders();
    const logDecision = (decision: Decision): void => logger.log(logEvents.schedulingDecided, { ...decision });

    const writer = createProgressWriter({
        store,
        nowMs: timers.nowMs,
        termRevision: () => scheduler && options.ownership().token(),
        revisionOf: key => options.mirror().revisionOf(key),
        takeUnsaved: atMost => scheduler?.takeUnsavedJobs(atMost) ?? [],
        onSaved: jobs => {
            jobs.forEach(job => scheduler?.progressSaved(job.jobId, job.version, timers.nowMs()));
            sessions.forEach(session => session.onProgressSaved());
            schedulePass();
        },
        onSaveFailed: jobId => scheduler?.progressSaveFailed(jobId),
        onSuperseded: () => options.ownership().onStoreChanged(),
        onWriteFailed: (reason, jobsCount) => logger.log(logEvents.progressWriteFailed, { reason, jobsCount }),
    });

    const notes = createNoteWriter({
        store,
        timers,
        signal: options.signal,
        termRevision: () => options.ownership().token(),
        revisionOf: key => options.mirror().revisionOf(key),
    });

    /** A copy of the store that begins with older jobs must not look like a surge. */
    const noteArrival = ({ queueName, submittedWallMs, workMillicoreS }: DirectoryEntry): void => {
        const poolName = policy?.queues.get(queueName)?.poolName;
        if (poolName !== undefined && timers.wallClockMs() - submittedWallMs < longestArrivalDelayMs) {
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
                        maySendOrders: mayGiveOrders,
                        isLeaseValid: () => options.ownership().isLeaseValid(),
                        onFenced: () => options.ownership().onFenced(),
                        onSchedulerChanged: schedulePass,
                    }),
                );
            }
        }
    };

    const changeNote = async (owner: Scheduler, workerId: string, note: WorkerSnapshot | undefined): Promise<void> => {
        const state = await notes.change(workerId, note);
        owner.snapshotStateChanged(workerId, state);
        schedulePass();
    };

    const pass = (): void => {
        isPassScheduled = false;
        if (!scheduler) {
            return;
        }
        syncSessions();
        scheduler.setOwnershipProven(options.ownership().isLeaseValid());
        scheduler.setStoreWritable(writer.isHealthy());
        if (mayGiveOrders()) {
            scheduler.step(moment());
        }
        if (scheduler.hasPlannedStarts()) {
            writer.flush();
        }
        for (const command of scheduler.takeCommands()) {
            if (command.kind === commandKinds.writeSnapshot || command.kind === commandKinds.removeSnapshot) {
                void changeNote(scheduler, command.workerId, command.kind === commandKinds.writeSnapshot ? command.snapshot : undefined);
            }
            else {
                sessions.get("run" in command ? command.run.workerId : command.workerId)?.execute(command);
            }
        }
    };
    const schedulePass = (): void => {
        if (!isPassScheduled) {
            isPassScheduled = true;
            setImmediate(pass);
        }
    };

    /** Only the owner's timers run: a wake-up costs every other process as much as a message. */
    const startTimers = (signal: AbortSignal): void => {
        timers.every(stepIntervalMs, signal, schedulePass);
        timers.every(saveIntervalMs, signal, () => writer.flush());
        timers.every(cleanIntervalMs, signal, () => {
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
        waitingTerm = undefined;
    };

    /** Begins the term once the mirror shows everything that was written before it. */
    const beginTerm = (): void => {
        if (!waitingTerm || !policy || options.mirror().revision() < waitingTerm.token) {
            return;
        }
        const { token } = waitingTerm;
        waitingTerm = undefined;
        const now = moment();
        const unknownLeaseMs = options.ownershipGracePeriodMs + options.workerLeaseMs + leaseSlackMs;
        const hasOldJobs = [...directory.entries.values()].some(entry => entry.progress !== undefined);
        // Workers without an entry may still hold leases of an earlier owner.
        const unknownForMs = hasOldJobs ? unknownLeaseMs : 0;
        const begun = createScheduler({
            policy,
            term: { token, startedWallMs: now.wallMs, unknownWorkersUntilMs: now.nowMs + unknownForMs },
            workerLeaseMs: options.workerLeaseMs,
            taskStopMs: options.taskStopMs,
            unknownLeaseMs,
            onDecision: logDecision,
        });
        scheduler = begun;
        termLifetime = new AbortController();
        const signal = AbortSignal.any([termLifetime.signal, options.signal]);
        startTimers(signal);
        const inOrder = [...directory.entries.values()].sort((a, b) => a.submittedWallMs - b.submittedWallMs);
        for (const entry of inOrder) {
            if (entry.submission !== undefined) {
                begun.addJob(entry.submission, entry.progress, entry.isCancelled, now.wallMs);
            }
        }
        announced.forEach(entry => begun.registerWorker(entry, now));
        for (const [workerId, { entry, atMs }] of withdrawn) {
            if (now.nowMs - atMs < unknownLeaseMs) {
                begun.registerWorker(entry, now);
                begun.unregisterWorker(workerId);
            }
        }
        for (const { key, value } of options.mirror().values(jobKeys.workerSnapshotPrefix)) {
            if (value === emptyNote) {
                continue;
            }
            try {
                begun.restoreSnapshot(decodeSnapshot(value), announced.has(key.slice(jobKeys.workerSnapshotPrefix.length)), now);
            }
            catch (error) {
                logger.log(logEvents.documentUnreadable, { key, reason: String(error) });
            }
        }
        options.onTermStarted(begun, signal);
        schedulePass();
    };

    return {
        scheduler: () => scheduler,
        onOwnershipAcquired: term => {
            if (term.isContinued && scheduler) {
                scheduler.renewTerm(term.token);
                return;
            }
            stopScheduler();
            waitingTerm = term;
            beginTerm();
        },
        onOwnershipLost: stopScheduler,
        onPolicyChanged: next => {
            policy = next;
            beginTerm();
            scheduler?.setPolicy(next);
            schedulePass();
        },
        onWorkerChanged: (workerId, entry) => {
            const known = announced.get(workerId);
            if (entry) {
                withdrawn.delete(workerId);
                announced.set(workerId, entry);
                scheduler?.registerWorker(entry, moment());
            }
            else if (known) {
                announced.delete(workerId);
                withdrawn.set(workerId, { entry: known, atMs: timers.nowMs() });
                scheduler?.unregisterWorker(workerId);
            }
        },
        onJobEvent: event => {
            if (event.kind === "accepted") {
                const { entry } = event;
                noteArrival(entry);
                scheduler?.addJob(entry.submission!, entry.progress, entry.isCancelled, timers.wallClockMs());
            }
            else if (event.kind === "cancelled") {
                scheduler?.cancelJob(event.entry.jobId, timers.wallClockMs());
            }
        },
        onStoreChanged: () => {
            beginTerm();
            schedulePass();
        },
    };
}
