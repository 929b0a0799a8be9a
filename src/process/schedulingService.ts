/** Runs the scheduler in the owner process: passes it events from the store and the workers, and executes its commands. */
import { describeError } from "../common/describeError.js";
import type { DirectoryEntry } from "../scheduling/jobDirectory.js";
import { formerLeasesEndMs, requestedLeaseMs } from "../scheduling/leases.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { createScheduler, type Scheduler } from "../scheduling/scheduler.js";
import { commandKinds } from "../scheduling/schedulerState.js";
import { unlimitedStarts } from "../scheduling/startPermission.js";
import type { WorkerSnapshot } from "../scheduling/unresponsiveWorkers.js";
import { addStoredJob } from "./addStoredJob.js";
import { createDecisionLog } from "./decisionLog.js";
import { createKnownWorkers } from "./knownWorkers.js";
import { logEvents } from "./logEvents.js";
import { createPassTrigger } from "./passTrigger.js";
import { createPolicyKeeper } from "./policyKeeper.js";
import { createProgressWriter, type ProgressWriter } from "./progressWriter.js";
import { removeOldJobs } from "./removeOldJobs.js";
import type { OwnershipTerm } from "./schedulingOwnership.js";
import type { SchedulingService, SchedulingServiceOptions } from "./schedulingServiceTypes.js";
import { createSchedulingSummary } from "./schedulingSummary.js";
import { describeTermEnd, describeTermStart } from "./termReport.js";
import { createUnreadableDocumentLog } from "./unreadableDocuments.js";
import { createWorkerSessions } from "./workerSessions.js";
import { createWorkerSnapshotWriter, restoreEarlierRuns } from "./workerSnapshotWriter.js";

type Arrival = Pick<DirectoryEntry, "queueName" | "submittedWallMs" | "workMillicoreS" | "criticalPathMs">;

/** What lasts for one term of ownership, or for several in a row that are continued. */
interface ActiveTerm {
    scheduler: Scheduler;
    /** Serves only this scheduler, so that a late answer to a write does not reach the scheduler of a later term. */
    progressWriter: ProgressWriter;
    lifetime: AbortController;
}

const stepIntervalMs = 100;
/** Progress is collected for this long before each write; short compared with the duration of a step. */
const saveIntervalMs = 20;
const cleanupIntervalMs = 5_000;

export function createSchedulingService(options: SchedulingServiceOptions): SchedulingService {
    const { store, directory, timers, lateness, logger } = options;
    const knownWorkers = createKnownWorkers(timers.nowMs);
    const workerLeaseMs = requestedLeaseMs(options.workerLeaseMs);
    let activeTerm: ActiveTerm | undefined;
    let pendingTerm: OwnershipTerm | undefined;

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const maySendOrders = (): boolean => options.ownership().maySendOrders();
    const updateStartPermission = (scheduler: Scheduler): void =>
        scheduler.setStartPermission(options.evacuations?.startPermission() ?? unlimitedStarts);
    const summary = createSchedulingSummary(timers, logger, lateness.latenessMs, () => ({ ...sessions.takeCallCounts() }));
    const logDecision = createDecisionLog(logger, timers.nowMs);
    const logUnreadable = createUnreadableDocumentLog(logger, timers.nowMs);
    const termRevision = (): number | undefined => options.ownership().token();
    const revisionOf = (key: string): number => options.mirror().revisionOf(key);
    const policies = createPolicyKeeper({ ...options, termRevision, revisionOf, onUnreadable: logUnreadable });

    const createTermProgressWriter = (scheduler: Scheduler): ProgressWriter => {
        const isActive = (): boolean => activeTerm?.scheduler === scheduler;
        return createProgressWriter({
            store,
            nowMs: timers.nowMs,
            termRevision: () => isActive() ? options.ownership().token() : undefined,
            revisionOf,
            takeUnsaved: atMost => scheduler.takeUnsavedJobs(atMost),
            onSaved: jobs => {
                jobs.forEach(job => scheduler.progressSaved(job.jobId, job.version, timers.nowMs()));
                if (isActive()) {
                    sessions.onProgressSaved();
                    scheduleStep();
                }
            },
            onSaveFailed: scheduler.progressSaveFailed,
            onSuperseded: () => options.ownership().onStoreChanged(),
            onWriteFailed: (reason, jobsCount) => logger.log(logEvents.progressWriteFailed, { reason, jobsCount }),
        });
    };

    const snapshotWriter = createWorkerSnapshotWriter({
        store,
        timers,
        signal: options.signal,
        termRevision,
        revisionOf,
    });

    const recordArrival = ({ queueName, submittedWallMs, workMillicoreS, criticalPathMs }: Arrival): void => {
        const poolName = (activeTerm?.scheduler.state.policy ?? policies.configured())?.queues.get(queueName)?.poolName;
        if (poolName !== undefined) {
            options.demand.recordArrival(poolName, workMillicoreS, timers.wallClockMs() - submittedWallMs, criticalPathMs);
        }
    };

    const saveSnapshot = async (owner: Scheduler, workerId: string, snapshot: WorkerSnapshot | undefined): Promise<void> => {
        const state = await snapshotWriter.update(workerId, snapshot);
        owner.snapshotStateChanged(workerId, state);
        scheduleStep();
    };

    const runStep = (): void => {
        if (!activeTerm) {
            return;
        }
        const startedAtMs = timers.nowMs();
        const { scheduler, progressWriter } = activeTerm;
        if (scheduler.state.areTokensUsedUp) {
            void options.ownership().abandon("a worker's fencing tokens of the term are used up");
            return;
        }
        sessions.sync(scheduler);
        scheduler.setOwnershipProven(options.ownership().isLeaseValid());
        updateStartPermission(scheduler);
        scheduler.setStoreWritable(progressWriter.isHealthy());
        if (maySendOrders()) {
            scheduler.step(moment(), sessions.maxFurtherStarts(scheduler.state.plannedRuns.size), sessions.maxStartsPerWorker());
        }
        if (scheduler.hasPlannedStarts()) {
            progressWriter.flush();
        }
        for (const command of scheduler.takeCommands()) {
            if (command.kind === commandKinds.writeSnapshot || command.kind === commandKinds.removeSnapshot) {
                void saveSnapshot(scheduler, command.workerId, command.kind === commandKinds.writeSnapshot ? command.snapshot : undefined);
            }
            else {
                sessions.execute(command);
            }
        }
        options.evacuations?.recordPass(scheduler.state);
        summary.recordPass(timers.nowMs() - startedAtMs);
    };
    const scheduleStep = createPassTrigger(timers, runStep).request;
    const sessions = createWorkerSessions({
        connectWorker: options.connectWorker,
        timers,
        leaseMs: workerLeaseMs,
        maySendOrders,
        isLeaseValid: () => options.ownership().isLeaseValid(),
        onFenced: () => options.ownership().onFenced(),
        onSchedulerChanged: scheduleStep,
        latenessMs: lateness.latenessMs,
        onFailed: (workerId, where, reason) => logger.log(logEvents.unexpectedError, { where, workerId, error: reason }),
    });

    /** Timers run only in the owner: in any other process a timer wake-up would cost as much as handling a message. */
    const startTimers = (progressWriter: ProgressWriter, signal: AbortSignal): void => {
        lateness.start(signal);
        timers.every(stepIntervalMs, signal, scheduleStep);
        summary.start(signal, () => activeTerm?.scheduler.state);
        timers.every(saveIntervalMs, signal, () => progressWriter.flush());
        timers.every(cleanupIntervalMs, signal, () => {
            const token = termRevision();
            if (token !== undefined && options.ownership().isLeaseValid()) {
                void removeOldJobs(store, directory, token, timers.wallClockMs() - options.jobRetentionMs, revisionOf);
            }
        });
    };

    const stopScheduler = (): void => {
        if (activeTerm) {
            logger.log(logEvents.schedulingTermEnded, describeTermEnd(activeTerm.scheduler.state));
        }
        activeTerm?.lifetime.abort();
        activeTerm = undefined;
        sessions.close();
        pendingTerm = undefined;
    };

    /** A term that cannot be started is given up: while this process renewed its lease, no process would schedule anything. */
    const startTermIfReady = (): void => {
        try {
            startPendingTerm();
        }
        catch (error) {
            const reason = describeError(error);
            logger.log(logEvents.unexpectedError, { where: "start of a term", error: reason });
            void options.ownership().abandon(`the term could not be started: ${reason}`);
        }
    };

    /** Starts the term once the policy, the evacuations and the workers are known and the mirror contains everything that was written before the term. */
    const startPendingTerm = (): void => {
        const policy = policies.configured();
        const areEvacuationsKnown = options.evacuations?.isComplete() ?? true;
        if (
            !pendingTerm || !policy || !areEvacuationsKnown || !options.areWorkersCurrent() ||
            options.mirror().revision() < pendingTerm.token
        ) {
            return;
        }
        const { token, formerOwnersEndAtMs } = pendingTerm;
        pendingTerm = undefined;
        const now = moment();
        const hasPriorProgress = [...directory.entries.values()].some(entry => entry.progress !== undefined);
        // A worker that has not responded yet may still hold leases from an earlier owner.
        const unknownWorkersUntilMs = hasPriorProgress ? formerLeasesEndMs(formerOwnersEndAtMs, workerLeaseMs) : now.nowMs;
        const lifetime = new AbortController();
        const scheduler = createScheduler({
            policy,
            retained: policies.retained(),
            term: { token, unknownWorkersUntilMs, formerOwnersEndAtMs: hasPriorProgress ? formerOwnersEndAtMs : undefined },
            workerLeaseMs,
            maxWorkerLeaseMs: options.workerLeaseMs,
            taskStopMs: options.taskStopMs,
            features: options.features,
            onDecision: decision => {
                // A late response may still change the state of an ended term, but what follows from that is not carried out.
                if (!lifetime.signal.aborted) {
                    logDecision(decision);
                }
            },
        });
        updateStartPermission(scheduler);
        const progressWriter = createTermProgressWriter(scheduler);
        activeTerm = { scheduler, progressWriter, lifetime };
        const signal = AbortSignal.any([lifetime.signal, options.signal]);
        startTimers(progressWriter, signal);
        policies.startSaving(scheduler.retainedPolicies, signal);
        // Most jobs in the store have ended; decoding them all would delay the first starts of the term.
        directory.unfinishedEntries().forEach(entry => addStoredJob(scheduler, entry, now.wallMs, logUnreadable));
        knownWorkers.passTo(scheduler, now);
        restoreEarlierRuns(scheduler, options.mirror(), knownWorkers.isRegistered, now, logUnreadable);
        logger.log(logEvents.schedulingTermStarted, describeTermStart(scheduler.state, options.mirror().revision(), now.nowMs));
        options.onTermStarted(scheduler, signal);
        scheduleStep();
    };

    return {
        scheduler: () => activeTerm?.scheduler,
        onOwnershipAcquired: term => {
            if (term.isContinued && activeTerm) {
                activeTerm.scheduler.renewTerm(term.token);
                return;
            }
            stopScheduler();
            pendingTerm = term;
            startTermIfReady();
        },
        onOwnershipLost: stopScheduler,
        onPolicyChanged: next => {
            policies.configure(next);
            startTermIfReady();
            activeTerm?.scheduler.setPolicy(next);
            scheduleStep();
        },
        onWorkerChanged: (workerId, entry) => {
            if (entry) {
                knownWorkers.register(entry);
                activeTerm?.scheduler.registerWorker(entry, moment());
            }
            else if (knownWorkers.remove(workerId)) {
                activeTerm?.scheduler.unregisterWorker(workerId);
            }
        },
        onWorkerUnreadable: workerId => {
            if (knownWorkers.markUnreadable(workerId)) {
                activeTerm?.scheduler.unregisterWorker(workerId);
            }
        },
        onJobEvent: event => {
            if (event.kind === "accepted") {
                const { entry } = event;
                recordArrival(entry);
                if (activeTerm) {
                    addStoredJob(activeTerm.scheduler, entry, timers.wallClockMs(), logUnreadable);
                }
            }
            else if (event.kind === "refused" && !event.isRepeated) {
                // The pools' need of VMs must not fall because their work is refused.
                recordArrival({ ...event.refusal, submittedWallMs: event.refusal.refusedWallMs });
            }
            else if (event.kind === "cancelled") {
                activeTerm?.scheduler.cancelJob(event.entry.jobId, timers.wallClockMs());
            }
        },
        onEvacuationsChanged: () => {
            if (activeTerm) {
                updateStartPermission(activeTerm.scheduler);
                scheduleStep();
            }
        },
        onWorkersConfirmed: startTermIfReady,
        onStoreChanged: () => {
            startTermIfReady();
            scheduleStep();
        },
    };
}
