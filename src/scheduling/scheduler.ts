/**
 * The scheduler: events in, commands out. It does no input or output and reads no clock, so that a test or an explorer of
 * its states can drive it. One process at a time owns it; every order carries the token of that process's term.
 */
import { dispatchWaiting } from "./dispatchWaiting.js";
import { decodeProgress, decodeSubmission, type JobProgress } from "./jobDocuments.js";
import { createJobRecord, isFinalState, progressOf } from "./jobRecord.js";
import { jobStates, type SchedulingPolicy } from "./jobTypes.js";
import { type OrderOutcome, orderOutcomes } from "./orderOutcomes.js";
import { beginLife, type Listing, loseRuns, type Moment, reconcileListing } from "./reconcileListing.js";
import {
    applyEnd,
    commandKinds,
    type Decision,
    detachRun,
    endJob,
    markChanged,
    releaseHeldBack,
    runEnds,
    type SchedulerCommand,
    type SchedulerState,
    stopRun,
    type Term,
} from "./schedulerState.js";
import { adoptNote, keepNotes, type NoteState, noteStates, type SilentWorkerNote } from "./silentWorkers.js";
import { acknowledgedEndNumber, createWorkerRecord, type Run, runPhases, type WorkerEntry, type WorkerRecord } from "./workerRecord.js";

export interface SchedulerOptions {
    policy: SchedulingPolicy;
    term: Term;
    /** Longest lease that a worker grants. */
    workerLeaseMs: number;
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
/** A worker that has failed to start a run is passed over for so long: its next answer may tell more. */
const refusedPauseMs = 300;
/** A worker's own clock may run slower than ours by this part, and its lease then ends later. */
const slowClockPart = 0.02;
/** Bound of the time between the estimate of a worker's clock and the order that carries it. */
const clockEstimateSlackMs = 200;

export function createScheduler(options: SchedulerOptions) {
    const state: SchedulerState = {
        policy: options.policy,
        term: options.term,
        jobs: new Map(),
        workers: new Map(),
        teamUsed: new Map(),
        arrivedWork: new Map(),
        startLeaseMs: startValidityMs * (1 + slowClockPart) + clockEstimateSlackMs,
        isOwnershipProven: true,
        commands: [],
        unsavedJobs: new Set(),
        nextRunNumber: 1,
        onDecision: options.onDecision,
    };

    const workerOf = (run: Run): WorkerRecord | undefined => state.workers.get(run.workerId);
    const isKnown = (run: Run): boolean => workerOf(run)?.runs.get(`${run.taskName}#${run.runId}`) === run;

    const addWorker = (entry: WorkerEntry, nowMs: number): void => {
        const worker = createWorkerRecord(entry, nowMs + options.unknownLeaseMs);
        // A life that began during this term cannot hold runs of an earlier owner.
        worker.isSettled = entry.bornWallMs > state.term.startedWallMs + clockEstimateSlackMs;
        state.workers.set(entry.workerId, worker);
        state.onDecision({ what: "worker joined", workerId: entry.workerId, detail: `${entry.poolName} ${entry.rack} ${entry.address}` });
    };

    const dropSilentWorkers = (moment: Moment): void => {
        for (const worker of [...state.workers.values()]) {
            if (moment.nowMs <= worker.leaseEndsAtMs) {
                continue;
            }
            if (worker.runs.size > 0) {
                loseRuns(state, worker, "its lease has ended", moment);
            }
            worker.isSettled = true;
            if (!worker.isAnnounced && worker.note !== noteStates.changing) {
                if (worker.note === noteStates.written) {
                    state.commands.push({ kind: commandKinds.removeNote, workerId: worker.entry.workerId });
                }
                state.workers.delete(worker.entry.workerId);
                state.onDecision({ what: "worker left", workerId: worker.entry.workerId });
            }
        }
    };

    /** Long-running tasks leave a draining worker before it ends them. */
    const leaveDrainingWorkers = (): void => {
        for (const worker of state.workers.values()) {
            if (worker.entry.isDraining) {
                [...worker.runs.values()].filter(run => run.isServing && run.phase === runPhases.running)
                    .forEach(run => stopRun(state, run, "the worker is draining"));
            }
        }
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
        setPolicy: (policy: SchedulingPolicy): void => {
            state.policy = policy;
        },
        /** Takes a job that the store holds. */
        addJob: (
            submission: string,
            acceptedRevision: number,
            progress: string | undefined,
            isCancelled: boolean,
            wallMs: number,
        ): void => {
            const decoded = decodeSubmission(submission);
            if (state.jobs.has(decoded.jobId)) {
                return;
            }
            const job = createJobRecord(decoded, acceptedRevision, progress === undefined ? undefined : decodeProgress(progress));
            if (isFinalState(job.state)) {
                return;
            }
            state.jobs.set(job.jobId, job);
            const poolName = state.policy.queues.get(decoded.queueName)?.poolName;
            if (poolName !== undefined && acceptedRevision > state.term.token) {
                state.arrivedWork.set(poolName, (state.arrivedWork.get(poolName) ?? 0) + job.workMillicoreS);
            }
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
        announceWorker: (entry: WorkerEntry, moment: Moment): void => {
            const worker = state.workers.get(entry.workerId);
            if (!worker) {
                addWorker(entry, moment.nowMs);
                return;
            }
            if (entry.bornWallMs > worker.entry.bornWallMs) {
                beginLife(state, worker, entry.bornWallMs, moment);
            }
            if (entry.bornWallMs >= worker.entry.bornWallMs) {
                worker.entry = entry;
                worker.isAnnounced = true;
            }
        },
        /** The entry is gone: the worker has left, or does not reach the store. It is kept while it may run anything. */
        withdrawWorker: (workerId: string): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.isAnnounced = false;
            }
        },
        /** A hold that may extend the leases of the worker was sent. */
        holdSent: (workerId: string, durationMs: number, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                const endsAtMs = nowMs + durationMs * (1 + slowClockPart) + clockEstimateSlackMs;
                worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, endsAtMs);
            }
        },
        listed: (workerId: string, listing: Listing, sentAtMs: number, moment: Moment): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                const wasSettled = worker.isSettled;
                reconcileListing(state, worker, listing, sentAtMs, moment);
                if (!wasSettled && worker.isSettled) {
                    // From here on only this term's holds extend the leases.
                    worker.leaseEndsAtMs = moment.nowMs + options.workerLeaseMs * (1 + slowClockPart) + clockEstimateSlackMs;
                }
            }
        },
        /** The worker did not answer; it gets no new runs until it does. */
        workerSilent: (workerId: string, nowMs: number): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.silentSinceMs ??= nowMs;
            }
        },
        /** Takes over what an earlier owner wrote of a silent worker; to be called when the term begins. */
        takeNote: (note: SilentWorkerNote, isAnnounced: boolean, moment: Moment): void => {
            const { workerId, bornWallMs } = note.entry;
            if (!state.workers.has(workerId)) {
                addWorker(note.entry, moment.nowMs);
            }
            const worker = state.workers.get(workerId)!;
            worker.isAnnounced = isAnnounced;
            const leaseEndsAtMs = moment.nowMs + options.workerLeaseMs * (1 + slowClockPart) + clockEstimateSlackMs;
            if (worker.entry.bornWallMs === bornWallMs) {
                worker.leaseEndsAtMs = leaseEndsAtMs;
                adoptNote(state, worker, note, moment.nowMs);
            }
            else {
                worker.note = noteStates.written;
            }
        },
        /** The store holds the note, or no longer, or the write is to be tried again. */
        noteChanged: (workerId: string, noteState: NoteState): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                worker.note = noteState;
            }
        },
        /** The address of the worker belongs to another life, so that all it ran is gone. */
        workerReplaced: (workerId: string, moment: Moment): void => {
            const worker = state.workers.get(workerId);
            if (worker) {
                loseRuns(state, worker, "another worker answers at its address", moment);
                worker.isSettled = true;
            }
        },
        startAnswered: (run: Run, outcome: OrderOutcome, reason: string, moment: Moment): void => {
            const worker = workerOf(run);
            if (!worker || !isKnown(run)) {
                return;
            }
            run.answeredAtMs = moment.nowMs;
            if (outcome === orderOutcomes.accepted) {
                run.hasBegun = true;
                if (run.phase === runPhases.starting) {
                    run.phase = runPhases.running;
                }
                const job = state.jobs.get(run.jobId);
                if (job && !job.hasStarted && !isFinalState(job.state)) {
                    job.hasStarted = true;
                    job.state = jobStates.running;
                    markChanged(state, job);
                }
                return;
            }
            state.onDecision({
                what: `start ${outcome}`,
                jobId: run.jobId,
                taskName: run.taskName,
                runId: run.runId,
                workerId: run.workerId,
                reason,
            });
            if (outcome === orderOutcomes.unknown) {
                worker.silentSinceMs ??= moment.nowMs;
                if (run.phase === runPhases.starting || run.phase === runPhases.running) {
                    run.phase = runPhases.unsettled;
                    stopRun(state, run, "its start was not answered");
                }
                return;
            }
            worker.avoidedUntilMs = Math.max(worker.avoidedUntilMs, moment.nowMs + refusedPauseMs);
            applyEnd(state, { ...run, end: runEnds.lost }, moment.nowMs, moment.wallMs);
            detachRun(state, run);
        },
        stopAnswered: (run: Run, outcome: OrderOutcome, moment: Moment): void => {
            if (!isKnown(run)) {
                return;
            }
            if (outcome === orderOutcomes.accepted) {
                run.answeredAtMs = moment.nowMs;
                state.commands.push({ kind: commandKinds.look, workerId: run.workerId });
            }
            else {
                // The run may still start, or go on: only an answered stop, or the end of the lease, settles it.
                state.commands.push({ kind: commandKinds.stop, run, reason: "the order to stop was not carried out" });
            }
        },
        /** The store holds the job's progress up to this version. */
        saved: (jobId: string, version: number): void => {
            const job = state.jobs.get(jobId);
            if (job) {
                job.persistedVersion = Math.max(job.persistedVersion, version);
            }
            for (const worker of state.workers.values()) {
                worker.unsavedEnds = worker.unsavedEnds.filter(end => end.jobId !== jobId || end.version > version);
            }
            if (job && isFinalState(job.state) && job.persistedVersion === job.version) {
                state.jobs.delete(jobId);
            }
        },
        /** Jobs whose progress has changed since it was taken last. */
        takeUnsaved: (atMost: number): UnsavedJob[] => {
            const taken: UnsavedJob[] = [];
            for (const jobId of state.unsavedJobs) {
                if (taken.length === atMost) {
                    break;
                }
                state.unsavedJobs.delete(jobId);
                const job = state.jobs.get(jobId);
                if (job) {
                    taken.push({ jobId, version: job.version, progress: progressOf(job) });
                }
            }
            return taken;
        },
        /** A write of progress failed; it is taken again. */
        notSaved: (jobId: string): void => {
            if (state.jobs.has(jobId)) {
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
                dropSilentWorkers(moment);
            }
            leaveDrainingWorkers();
            keepNotes(state);
            dispatchWaiting(state, moment);
        },
        takeCommands: (): SchedulerCommand[] => state.commands.splice(0),
    };
}
