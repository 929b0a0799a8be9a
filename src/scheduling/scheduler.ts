/**
 * The scheduler: events in, commands out. It does no input or output and reads no clock, so that a test or an explorer of
 * its states can drive it. One process at a time owns it; every order carries the token of that process's term.
 */
import { chargeTeamShare } from "./chargeTeamShare.js";
import type { CommandOutcome } from "./commandOutcomes.js";
import { handleStartResponse, handleStopResponse } from "./commandResponses.js";
import { dispatchWaitingTasks } from "./dispatchWaitingTasks.js";
import { decodeProgress, decodeSubmission, type JobProgress } from "./jobDocuments.js";
import { createJobRecord, isFinalState, progressOf } from "./jobRecord.js";
import { jobStates, type SchedulingPolicy } from "./jobTypes.js";
import { isPlanned, possibleWorkerIds, sendPersistedStarts, settleWorkerIdsWrite } from "./plannedStarts.js";
import { beginIncarnation, type Listing, markRunsLost, type Moment, reconcileListing } from "./reconcileListing.js";
import {
    type Decision,
    endJob,
    releaseHeldBack,
    type SchedulerCommand,
    type SchedulerState,
    type Term,
} from "./schedulerState.js";
import { adoptSnapshot, type SnapshotState, snapshotStates, updateSnapshots, type WorkerSnapshot } from "./unresponsiveWorkers.js";
import { addWorker, evacuateDrainingWorkers, expireLeases, maxLeaseMs } from "./workerLifecycle.js";
import { acknowledgedEndNumber, type Run, type WorkerEntry } from "./workerRecord.js";

export interface SchedulerOptions {
    policy: SchedulingPolicy;
    term: Term;
    /** Longest lease that a worker grants. */
    workerLeaseMs: number;
    /** Longest time that a worker takes to stop a task. */
    taskStopMs: number;
    /** How long an unreachable worker that this process never reached may hold runs of an earlier owner. */
    unknownLeaseMs: number;
    onDecision(decision: Decision): void;
}

/** A job whose progress is to be written. */
export interface UnsavedJob {
    jobId: string;
    version: number;
    progress: JobProgress;
}

export type Scheduler = ReturnType<typeof createScheduler>;

/** After this time on the worker's clock, an order to start is void: longer than any answer takes, short for those lost. */
export const startValidityMs = 2_500;
export function createScheduler(options: SchedulerOptions) {
    const state: SchedulerState = {
        policy: options.policy,
        term: options.term,
        jobs: new Map(),
        workers: new Map(),
        teamUsed: new Map(),
        teamAllowance: new Map(),
        startLeaseMs: maxLeaseMs(startValidityMs),
        taskStopMs: options.taskStopMs,
        isOwnershipProven: true,
        isStoreWritable: true,
        commands: [],
        unsavedJobs: new Set(),
        nextRunNumber: 1,
        onDecision: options.onDecision,
    };

    return {
        state,
        /** Begins another term of the same process, with which no other owner came between. */
        renewTerm: (token: number): void => {
            state.term = { ...state.term, token };
            state.nextRunNumber = 1;
        },
        /** To be called before events are handed in, whenever it changes. */
        setOwnershipProven: (isProven: boolean): void => {
            if (isProven && !state.isOwnershipProven) {
                releaseHeldBack(state);
            }
            state.isOwnershipProven = isProven;
        },
        /** Whether the store takes writes at present. */
        setStoreWritable: (canSave: boolean): void => {
            state.isStoreWritable = canSave;
        },
        setPolicy: (policy: SchedulingPolicy): void => {
            state.policy = policy;
        },
        /** Takes a job that the store holds. */
        addJob: (
            submission: string,
            progress: string | undefined,
            isCancelled: boolean,
            wallMs: number,
        ): void => {
            const decoded = decodeSubmission(submission);
            if (state.jobs.has(decoded.jobId)) {
                return;
            }
            const job = createJobRecord(decoded, progress === undefined ? undefined : decodeProgress(progress));
            if (isFinalState(job.state)) {
                return;
            }
            state.jobs.set(job.jobId, job);
            chargeTeamShare(state, job);
            if (isCancelled) {
                endJob(state, job, jobStates.cancelled, wallMs);
            }
        },
        cancelJob: (jobId: string, wallMs: number): void => {
            const job = state.jobs.get(jobId);
            if (job) {
                endJob(state, job, jobStates.cancelled, wallMs);
            }
        },
        /** Takes a worker's entry as it stands in the store. */
        registerWorker: (entry: WorkerEntry, moment: Moment): void => {
            const worker = state.workers.get(entry.workerId);
            if (!worker) {
                addWorker(state, entry, options.unknownLeaseMs, moment.nowMs);
                return;
            }
            if (entry.bornWallMs > worker.entry.bornWallMs) {
                beginIncarnation(state, worker, entry.bornWallMs, moment);
            }
            if (entry.bornWallMs >= worker.entry.bornWallMs) {
                worker.entry = entry;
                worker.isRegistered = true;
            }
        },
        /** The entry is gone: the worker has left, or does not reach the store. It is kept while it may run anything. */
        unregisterWorker: (workerId: string): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.isRegistered = false;
            }
        },
        /**
         * Whether a hold may extend the leases of a worker. Without proof of ownership not those of a noted one: the next owner
         * reckons with the leases that stood when it took over.
         */
        mayExtendLeases: (workerId: string): boolean =>
            state.isOwnershipProven || state.workers.get(workerId)?.snapshotState === snapshotStates.none,
        /** A hold that may extend the leases of the worker was sent. */
        leaseExtensionSent: (workerId: string, durationMs: number, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + maxLeaseMs(durationMs));
            }
        },
        listingReceived: (workerId: string, listing: Listing, sentAtMs: number, moment: Moment): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                const wasSettled = worker.isRunStateKnown;
                reconcileListing(state, worker, listing, sentAtMs, moment);
                if (!wasSettled && worker.isRunStateKnown) {
                    // From here on only this term's holds extend the leases.
                    worker.leaseEndsAtMs = moment.nowMs + maxLeaseMs(options.workerLeaseMs);
                }
            }
        },
        /** The worker did not answer; it gets no new runs until it does. */
        workerUnresponsive: (workerId: string, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.unresponsiveSinceMs ??= nowMs;
            }
        },
        /** Takes over what an earlier owner wrote of a silent worker; to be called when the term begins. */
        restoreSnapshot: (note: WorkerSnapshot, isAnnounced: boolean, moment: Moment): void => {
            const { workerId, bornWallMs } = note.entry;
            const worker = state.workers.get(workerId) ?? addWorker(state, note.entry, options.unknownLeaseMs, moment.nowMs);
            worker.isRegistered = isAnnounced;
            if (worker.entry.bornWallMs === bornWallMs) {
                worker.leaseEndsAtMs = moment.nowMs + maxLeaseMs(options.workerLeaseMs);
                adoptSnapshot(state, worker, note, moment.nowMs);
            }
            else {
                worker.snapshotState = snapshotStates.written;
            }
        },
        /** The store holds the note, or no longer, or the write is to be tried again. */
        snapshotStateChanged: (workerId: string, noteState: SnapshotState): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.snapshotState = noteState;
            }
        },
        /** The address of the worker belongs to another life, so that all it ran is gone. */
        workerReplaced: (workerId: string, moment: Moment): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                markRunsLost(state, worker, "another worker answers at its address", moment);
                worker.isRunStateKnown = true;
            }
        },
        startResponseReceived: (run: Run, outcome: CommandOutcome, reason: string, moment: Moment): void =>
            handleStartResponse(state, run, outcome, reason, moment),
        stopResponseReceived: (run: Run, outcome: CommandOutcome, moment: Moment): void => handleStopResponse(state, run, outcome, moment),
        /** The store holds the job's progress up to this version. */
        progressSaved: (jobId: string, version: number, nowMs: number): void => {
            const job = state.jobs.get(jobId);
            if (job) {
                job.persistedVersion = Math.max(job.persistedVersion, version);
                settleWorkerIdsWrite(job, true);
                sendPersistedStarts(state, job, nowMs);
            }
            for (const worker of state.workers.values()) {
                worker.unsavedEnds = worker.unsavedEnds.filter(end => end.jobId !== jobId || end.version > version);
            }
            if (job && isFinalState(job.state) && job.persistedVersion === job.version) {
                state.jobs.delete(jobId);
            }
        },
        /** Jobs whose progress has changed since it was taken last. */
        takeUnsavedJobs: (atMost: number): UnsavedJob[] => {
            const taken: UnsavedJob[] = [];
            for (const jobId of state.unsavedJobs) {
                if (taken.length === atMost) {
                    break;
                }
                const job = state.jobs.get(jobId);
                if (job?.workerIdsInFlight) {
                    continue;
                }
                state.unsavedJobs.delete(jobId);
                if (job) {
                    job.workerIdsInFlight = possibleWorkerIds(job);
                    taken.push({ jobId, version: job.version, progress: progressOf(job) });
                }
            }
            return taken;
        },
        /** Whether starts wait for the store to hold their workers. */
        hasPlannedStarts: (): boolean => {
            for (const worker of state.workers.values()) {
                for (const run of worker.runs.values()) {
                    if (isPlanned(run)) {
                        return true;
                    }
                }
            }
            return false;
        },
        /** A write of progress failed, or its answer was lost; it is taken again. */
        progressSaveFailed: (jobId: string): void => {
            const job = state.jobs.get(jobId);
            if (job) {
                settleWorkerIdsWrite(job, false);
                state.unsavedJobs.add(jobId);
            }
        },
        acknowledgedEndNumber: (workerId: string): number => {
            const worker = state.workers.get(workerId);
            return worker ? acknowledgedEndNumber(worker) : 0;
        },
        /**
         * Starts what can start now and drops what has surely ended. Only an owner whose lease is proven may conclude from a
         * worker's silence: another owner may have renewed the leases there.
         */
        step: (moment: Moment): void => {
            if (state.isOwnershipProven) {
                expireLeases(state, moment);
            }
            evacuateDrainingWorkers(state);
            updateSnapshots(state);
            dispatchWaitingTasks(state, moment);
        },
        takeCommands: (): SchedulerCommand[] => state.commands.splice(0),
    };
}
