/**
 * The scheduler takes events and returns commands. It does no I/O and reads no clock, so that tests and a state-space explorer
 * can drive it. One process at a time owns the scheduling; every command carries the fencing token of that process's term.
 */
import { maxUnansweredStarts } from "../decisions/startWindow.js";
import {
    type AcknowledgementFailure,
    describeAcknowledgement,
    isAcknowledgementHeldUp,
    repeatAcknowledgement,
    type SentAcknowledgement,
    takeAcknowledgement,
    takeStartToken,
} from "./acknowledgedEnds.js";
import { chargeTeamShare } from "./chargeTeamShare.js";
import type { CommandOutcome } from "./commandOutcomes.js";
import { handleStartResponse, handleStopResponse } from "./commandResponses.js";
import { commandToken } from "./commandToken.js";
import { dispatchWaitingTasks } from "./dispatchWaitingTasks.js";
import { moveTasksOutOfZones } from "./evacuationMoves.js";
import { createSchedulerState, type SchedulerOptions } from "./initialState.js";
import { decodeProgress, decodeSubmission, type JobProgress } from "./jobDocuments.js";
import { changePolicy, releaseUnusedPolicies, retainPolicies, retainPolicyOf } from "./jobPolicies.js";
import { createJobRecord, isFinalState, progressOf } from "./jobRecord.js";
import { jobStates, type SchedulingPolicy } from "./jobTypes.js";
import { markRunsKnown } from "./knownRuns.js";
import { maxLeaseMs } from "./leases.js";
import { possibleWorkerIds, sendPersistedStarts, settleWorkerIdsWrite } from "./plannedStarts.js";
import { forgetSavedEnds, type Listing, type Moment } from "./reconcileListing.js";
import { noRetainedPolicies, type RetainedPolicies } from "./retainedPolicies.js";
import {
    commandKinds,
    endJob,
    releaseHeldBack,
    type SchedulerCommand,
} from "./schedulerState.js";
import { isStartPermitted, type StartPermission } from "./startPermission.js";
import { restoreSuspectStarts } from "./suspectStarts.js";
import {
    adoptSnapshot,
    changeSnapshotState,
    recordSnapshotCrash,
    reportUnresponsive,
    type SnapshotState,
    snapshotStates,
    updateSnapshots,
    type WorkerSnapshot,
} from "./unresponsiveWorkers.js";
import { applyListing, doubtIncarnation } from "./workerContact.js";
import { adoptIncarnation, endWorker } from "./workerEnds.js";
import { addWorker, expireLeases, removeEntry, stopTasksOnDrainingWorkers } from "./workerLifecycle.js";
import type { Run, WorkerEntry } from "./workerRecord.js";

/** A job whose progress must be written to the store. */
export interface UnsavedJob {
    jobId: string;
    version: number;
    progress: JobProgress;
}

export type Scheduler = ReturnType<typeof createScheduler>;

export function createScheduler(options: SchedulerOptions) {
    const state = createSchedulerState(options);
    retainPolicies(state, options.retained ?? noRetainedPolicies);
    return {
        state,
        /** Begins another term of the same process; no other process owned the scheduling in between. */
        renewTerm: (token: number): void => {
            state.term = { ...state.term, token };
            state.nextRunNumber = 1;
        },
        /** Must be called whenever the value changes, before the next event is passed in. */
        setOwnershipProven: (isProven: boolean): void => {
            if (isProven && !state.isOwnershipProven) {
                releaseHeldBack(state);
            }
            state.isOwnershipProven = isProven;
        },
        /** Sets whether the store accepts writes at present. */
        setStoreWritable: (isWritable: boolean): void => {
            state.isStoreWritable = isWritable;
        },
        /** Sets where starts may be sent and until when; holds for planned starts too. */
        setStartPermission: (permission: StartPermission): void => {
            state.startPermission = permission;
        },
        /** Whether a start that was taken as a command may still be sent to the worker. */
        mayStillStartOn: (workerId: string, nowMs: number): boolean => {
            const worker = state.workers.get(workerId);
            return worker !== undefined && isStartPermitted(state.startPermission, worker, nowMs);
        },
        /** Sets the policy of the newest configuration. What it lacks of the former one is retained for unfinished jobs. */
        setPolicy: (policy: SchedulingPolicy): void => changePolicy(state, policy),
        /** Returns what unfinished jobs need and the configuration lacks. */
        retainedPolicies: (): RetainedPolicies => {
            releaseUnusedPolicies(state);
            return state.retainedPolicies;
        },
        /** Adds a job from its stored documents. */
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
            retainPolicyOf(state, decoded);
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
        /** Adds or updates a worker from its entry in the store; `seenAtMs` is when this process first saw an entry of the incarnation. */
        registerWorker: (entry: WorkerEntry, moment: Moment, seenAtMs = moment.nowMs): void => {
            const worker = state.workers.get(entry.workerId);
            if (!worker) {
                addWorker(state, entry, moment, seenAtMs);
                return;
            }
            adoptIncarnation(state, worker, entry, moment);
            if (entry.bornWallMs >= worker.entry.bornWallMs) {
                if (!worker.isRegistered) {
                    // Without an entry it was tried seldom.
                    state.commands.push({ kind: commandKinds.list, workerId: entry.workerId });
                }
                worker.entry = entry;
                worker.isRegistered = true;
                worker.isEntryCurrent = true;
                worker.hasLeft = false;
            }
        },
        /**
         * The entry is gone or cannot be read: the worker has left, cannot reach the store, or its entry was overwritten. Its record is
         * kept while it may run anything.
         */
        unregisterWorker: (workerId: string): void => removeEntry(state, workerId),
        /** Fencing token of commands to the present incarnation of the worker. */
        commandToken: (workerId: string): number => commandToken(state.term.token, state.workers.get(workerId)),
        /** Fencing token of a start that is sent now, which becomes that of all commands to the worker. */
        takeStartToken: (workerId: string): number => {
            const worker = state.workers.get(workerId);
            return worker ? takeStartToken(state, worker) : commandToken(state.term.token, worker);
        },
        /**
         * Whether a listing request may extend the leases of a worker. Those of a worker with a snapshot must not be extended: the next
         * owner relies on the leases as they were when the snapshot was taken.
         */
        mayExtendLeases: (workerId: string): boolean => state.workers.get(workerId)?.snapshotState === snapshotStates.none,
        /** A listing request that extends the leases of the worker was sent. */
        leaseExtensionSent: (workerId: string, durationMs: number, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + maxLeaseMs(durationMs));
            }
        },
        /** `extendedByMs` is the lease that the request asked for, if any. */
        listingReceived: (workerId: string, listing: Listing, sentAtMs: number, moment: Moment, extendedByMs?: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                applyListing(state, worker, listing, sentAtMs, moment, extendedByMs);
            }
        },
        /** A response from the worker's address shows the clock of another incarnation. */
        incarnationDoubted: (workerId: string, nowMs: number): void => doubtIncarnation(state, workerId, nowMs),
        /** The worker did not respond; it gets no new runs until it does. `isDisconnected`: its address refused or ended the connection. */
        workerUnresponsive: (workerId: string, nowMs: number, reason = "", isDisconnected = false): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                reportUnresponsive(state, worker, nowMs, reason, isDisconnected);
            }
        },
        /**
         * Restores the snapshot that an earlier owner wrote of an unresponsive worker, and that this process knows since `receivedAtMs`.
         * Call it when the term begins.
         */
        restoreSnapshot: (snapshot: WorkerSnapshot, isRegistered: boolean, receivedAtMs: number, moment: Moment): void => {
            const { workerId, bornWallMs } = snapshot.entry;
            const worker = state.workers.get(workerId) ?? addWorker(state, snapshot.entry, moment);
            worker.isRegistered = isRegistered;
            adoptIncarnation(state, worker, snapshot.entry, moment);
            if (worker.entry.bornWallMs === bornWallMs) {
                adoptSnapshot(state, worker, snapshot, receivedAtMs, moment.nowMs);
            }
            else {
                recordSnapshotCrash(state, snapshot, moment);
                worker.snapshotState = snapshotStates.written;
            }
        },
        /** Restores the starts of suspected tasks that an earlier owner stored. Call it when the term begins, after the snapshots. */
        restoreSuspectStarts: (moment: Moment): void => restoreSuspectStarts(state, moment),
        /** The snapshot was written or removed, or its write must be retried. */
        snapshotStateChanged: (workerId: string, snapshotState: SnapshotState): void => changeSnapshotState(state, workerId, snapshotState),
        /** The worker's address belongs to another incarnation, so all its runs are lost. */
        workerReplaced: (workerId: string, moment: Moment): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                endWorker(state, worker, "another worker responds at its address", moment);
                markRunsKnown(state, worker, "another worker responds at its address");
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
            forgetSavedEnds(state, jobId, version);
            if (job && isFinalState(job.state) && job.persistedVersion === job.version) {
                state.jobs.delete(jobId);
            }
        },
        /** Returns jobs whose progress has changed since it was last taken. */
        takeUnsavedJobs: (maxJobs: number): UnsavedJob[] => {
            const taken: UnsavedJob[] = [];
            for (const jobId of state.unsavedJobs) {
                if (taken.length === maxJobs) {
                    break;
                }
                const job = state.jobs.get(jobId);
                if (job?.workerIdsInFlight) {
                    continue;
                }
                state.unsavedJobs.delete(jobId);
                if (job) {
                    job.workerIdsInFlight = possibleWorkerIds(state, job);
                    taken.push({ jobId, version: job.version, progress: progressOf(job) });
                }
            }
            return taken;
        },
        /** Whether any starts wait until the store lists their workers. */
        hasPlannedStarts: (): boolean => state.plannedRuns.size > 0,
        /** A write of the job's progress failed or got no response; the job is taken again. */
        progressSaveFailed: (jobId: string): void => {
            const job = state.jobs.get(jobId);
            if (job) {
                settleWorkerIdsWrite(job, false);
                state.unsavedJobs.add(jobId);
            }
        },
        /** Returns up to which number a listing that is sent now acknowledges the worker's ends. */
        takeAcknowledgement: (workerId: string, nowMs: number): number => {
            const worker = state.workers.get(workerId);
            return worker ? takeAcknowledgement(worker, nowMs) : 0;
        },
        /** Whether the worker's ends could be acknowledged once the starts that were sent to it have responses. */
        isAcknowledgementHeldUp: (workerId: string): boolean => {
            const worker = state.workers.get(workerId);
            return worker !== undefined && isAcknowledgementHeldUp(worker);
        },
        /** A listing that acknowledged ends was not seen to take effect. */
        acknowledgementFailed: (workerId: string, failure: AcknowledgementFailure, sent: SentAcknowledgement, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                repeatAcknowledgement(worker);
                state.onDecision({ what: `acknowledgement ${failure}`, workerId, detail: describeAcknowledgement(worker, sent, nowMs) });
            }
        },
        /**
         * Starts the tasks that can start now and gives up runs whose leases have ended. Only an owner with proven ownership may
         * conclude that the leases of an unresponsive worker have ended: another owner may have extended them. At most `maxStarts`
         * short tasks start, those first that can be in time; a worker gets no more while `maxStartsPerWorker` starts have no response.
         */
        step: (moment: Moment, maxStarts = Number.POSITIVE_INFINITY, maxStartsPerWorker = maxUnansweredStarts): void => {
            state.maxStartsPerWorker = maxStartsPerWorker;
            if (state.isOwnershipProven) {
                expireLeases(state, moment);
            }
            stopTasksOnDrainingWorkers(state);
            updateSnapshots(state, moment.nowMs);
            dispatchWaitingTasks(state, moment, maxStarts, moveTasksOutOfZones(state, moment));
        },
        takeCommands: (): SchedulerCommand[] => state.commands.splice(0),
    };
}
