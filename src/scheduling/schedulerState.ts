/** The scheduler's state, and the operations on it that its modules share. */
import type { DurationLearner } from "../decisions/learnDurations.js";
import type { ShareTokenBucket } from "../decisions/teamShare.js";
import type { UnexplainedDeparture } from "./crashSuspect.js";
import {
    attemptsProgress,
    forgetSuspectStart,
    isFinalState,
    isOccurrenceDone,
    type JobRecord,
    type StepRecord,
    stepsOf,
    taskProgress,
} from "./jobRecord.js";
import { addResources, type JobState, jobStates, type Resources, type SchedulingPolicy } from "./jobTypes.js";
import type { ReservationState } from "./reservationState.js";
import type { RetainedPolicies } from "./retainedPolicies.js";
import type { SchedulingFeatures } from "./schedulingFeatures.js";
import type { StartPermission } from "./startPermission.js";
import { teamUsage } from "./teamUsage.js";
import type { Term } from "./term.js";
import type { WorkerSnapshot } from "./unresponsiveWorkers.js";
import { addRun, removeRun, type Run, type RunIdentity, runKey, runPhases, type WorkerRecord } from "./workerRecord.js";

export const commandKinds = {
    start: "start",
    stop: "stop",
    pace: "pace",
    /** Requests a listing immediately. */
    list: "list",
    /** Writes or removes the snapshot of an unresponsive worker. */
    writeSnapshot: "writeSnapshot",
    removeSnapshot: "removeSnapshot",
} as const;

export interface StartCommand {
    kind: typeof commandKinds.start;
    run: Run;
    payload: string;
    checkpoint: string;
}

/** A command to a worker, or to the store about a worker. */
export type SchedulerCommand =
    | StartCommand
    | { kind: typeof commandKinds.stop; run: Run; reason: string }
    | { kind: typeof commandKinds.pace; run: Run; percent: number }
    | { kind: typeof commandKinds.list; workerId: string }
    | { kind: typeof commandKinds.writeSnapshot; workerId: string; snapshot: WorkerSnapshot }
    | { kind: typeof commandKinds.removeSnapshot; workerId: string };

/** A scheduling decision, for the log. */
export interface Decision {
    what: string;
    jobId?: string;
    taskName?: string;
    runId?: number;
    workerId?: string;
    reason?: string;
    detail?: string;
}

export interface SchedulerState {
    /** The policy of the newest configuration. */
    configuredPolicy: SchedulingPolicy;
    /** What the configuration lacks and unfinished jobs need. */
    retainedPolicies: RetainedPolicies;
    /** The configured policy, completed by the retained ones; all decisions go by it. */
    policy: SchedulingPolicy;
    term: Term;
    jobs: Map<string, JobRecord>;
    workers: Map<string, WorkerRecord>;
    /** The number of tokens that workers had whose records were removed: nothing that an earlier owner started runs there any more. */
    departedWorkers: Map<string, number>;
    /** Workers without a record whose snapshot the store may still hold. */
    departedSnapshots: Set<string>;
    teamUsed: Map<string, Resources>;
    /** What each team may be using on workers that have not been listed in this term. */
    possibleTeamUsage: Map<string, Resources>;
    /** Token bucket of each team, by which its submissions are within its share or not. */
    teamShareBuckets: Map<string, ShareTokenBucket>;
    /** Longest lease that commands ask for, and longest that a worker grants whatever they ask for. */
    requestedLeaseMs: number;
    maxGrantedLeaseMs: number;
    /** How long, on this process's clock, a start may still be executed and hold a lease of its own. */
    startLeaseMs: number;
    /** Maximum time that a worker takes to stop a task. */
    taskStopMs: number;
    features: SchedulingFeatures;
    startPermission: StartPermission;
    /** So many starts of one worker may be planned or without a response. */
    maxStartsPerWorker: number;
    reservations: ReservationState;
    durations: DurationLearner;
    /** Whether this process is certain to be the owner. If not, lost tasks are not restarted: another owner may have done so. */
    isOwnershipProven: boolean;
    /** Whether the store accepts writes. If not, starts are sent only to workers that it already lists for the job. */
    isStoreWritable: boolean;
    commands: SchedulerCommand[];
    /** Runs whose starts were not sent yet. */
    plannedRuns: Set<Run>;
    /** Workers that are gone, with their `unexplainedRuns`, by address. */
    unexplainedDepartures: Map<string, UnexplainedDeparture>;
    /** Workers with reported ends that are not stored yet, by the job that the ends are part of. */
    workersWithUnsavedEnds: Map<string, Set<WorkerRecord>>;
    /** Jobs whose latest progress is not in the store yet. */
    unsavedJobs: Set<string>;
    nextRunNumber: number;
    /** A worker has had so many fencing tokens that the term must end. */
    areTokensUsedUp: boolean;
    onDecision(decision: Decision): void;
}

export const runEnds = {
    done: "done",
    failed: "failed",
    stopped: "stopped",
    lapsed: "lapsed",
    /** Another task of its gang ended. */
    broken: "broken",
    /** The other tasks of its gang did not start. */
    alone: "alone",
    /** The worker is gone, or never had the run. */
    lost: "lost",
} as const;
export type RunEnd = (typeof runEnds)[keyof typeof runEnds];

/** Run ids of a term start at its token times this number, which is more than the number of runs that a term ever starts. */
const runsPerTerm = 1_000_000;
/** How many different jobs must fail in a row on a worker before it is avoided: some jobs fail on any worker. */
const failuresBeforeAvoiding = 3;
/** How long a worker on which every job fails is avoided before it is tried again. */
const avoidDurationMs = 4_000;

export function nextRunId(state: SchedulerState): number {
    return state.term.token * runsPerTerm + state.nextRunNumber++;
}

export function markChanged(state: SchedulerState, job: JobRecord): void {
    job.version += 1;
    state.unsavedJobs.add(job.jobId);
}

export function findStep(state: SchedulerState, place: { jobId: string; occurrence: number; stepIndex: number }): StepRecord | undefined {
    return state.jobs.get(place.jobId)?.occurrences.get(place.occurrence)?.steps[place.stepIndex];
}

/** Adds a run to its worker, its step and its team's usage. */
export function attachRun(state: SchedulerState, worker: WorkerRecord, step: StepRecord | undefined, run: Run): void {
    addRun(worker, run);
    addResources(teamUsage(state, run.teamName), run.requested, 1);
    if (run.phase === runPhases.planned) {
        state.plannedRuns.add(run);
    }
    if (step) {
        step.waiting.delete(run.taskIndex);
        step.runs.set(run.taskIndex, [...(step.runs.get(run.taskIndex) ?? []), run]);
    }
}

/** Removes a run that has certainly ended, and requeues its task if it must run again. */
export function detachRun(state: SchedulerState, run: Run): void {
    state.plannedRuns.delete(run);
    const worker = state.workers.get(run.workerId);
    if (worker?.runs.has(runKey(run.taskName, run.runId))) {
        removeRun(worker, run);
        addResources(teamUsage(state, run.teamName), run.requested, -1);
    }
    const job = state.jobs.get(run.jobId);
    const step = findStep(state, run);
    if (!job || !step) {
        return;
    }
    if (!isFinalState(job.state) && forgetSuspectStart(step, run)) {
        markChanged(state, job);
    }
    const remaining = (step.runs.get(run.taskIndex) ?? []).filter(each => each !== run);
    if (remaining.length > 0) {
        step.runs.set(run.taskIndex, remaining);
        return;
    }
    step.runs.delete(run.taskIndex);
    if (!step.done.has(run.taskIndex) && !isFinalState(job.state)) {
        (state.isOwnershipProven ? step.waiting : step.heldBack).add(run.taskIndex);
    }
}

/** Requeues the tasks that were held back while the ownership was not proven. */
export function releaseHeldBack(state: SchedulerState): void {
    for (const job of state.jobs.values()) {
        for (const step of stepsOf(job)) {
            step.heldBack.forEach(taskIndex => step.waiting.add(taskIndex));
            step.heldBack.clear();
        }
    }
}

/** Stops a run, unless a stop was already sent; a start that was not sent is cancelled. */
export function stopRun(state: SchedulerState, run: Run, reason: string): void {
    if (run.phase === runPhases.planned) {
        detachRun(state, run);
    }
    else if (run.phase !== runPhases.stopping) {
        run.phase = runPhases.stopping;
        run.respondedAtMs = undefined;
        state.commands.push({ kind: commandKinds.stop, run, reason });
        state.onDecision({ what: "stop", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId, reason });
    }
}

/** Ends a job and stops its remaining runs. */
export function endJob(state: SchedulerState, job: JobRecord, jobState: JobState, wallMs: number): void {
    if (isFinalState(job.state)) {
        return;
    }
    job.state = jobState;
    job.endedWallMs = wallMs;
    markChanged(state, job);
    state.onDecision({ what: `job ${jobState}`, jobId: job.jobId });
    for (const step of stepsOf(job)) {
        step.waiting.clear();
        step.heldBack.clear();
        [...step.runs.values()].flat().forEach(run => stopRun(state, run, `job ${jobState}`));
    }
}

/** Avoids a worker on which several jobs fail in a row. All failures of one job count once, since the job may be at fault. */
function trackWorkerFailures(state: SchedulerState, { workerId, jobId, end }: EndedRun, nowMs: number): void {
    const worker = state.workers.get(workerId);
    if (!worker || (end !== runEnds.done && end !== runEnds.failed)) {
        return;
    }
    if (end === runEnds.done) {
        worker.failedJobIds.clear();
        return;
    }
    worker.failedJobIds.add(jobId);
    if (worker.failedJobIds.size >= failuresBeforeAvoiding && worker.avoidedUntilMs <= nowMs) {
        worker.failedJobIds.clear();
        worker.avoidedUntilMs = nowMs + avoidDurationMs;
        state.onDecision({ what: "avoid worker", workerId, reason: `${failuresBeforeAvoiding} jobs failed there in a row` });
    }
}

function finishTask(state: SchedulerState, job: JobRecord, step: StepRecord, { taskIndex, runId }: EndedRun, wallMs: number): void {
    const indices = step.spec.isGang ? Array.from({ length: step.spec.taskCount }, (_, index) => index) : [taskIndex];
    for (const index of indices) {
        step.done.add(index);
        step.waiting.delete(index);
        step.heldBack.delete(index);
        step.tasks.delete(index);
        step.runs.get(index)?.filter(run => run.runId !== runId).forEach(run => stopRun(state, run, "its task is done"));
    }
    const occurrence = job.occurrences.get(step.occurrence)!;
    if (!isOccurrenceDone(occurrence)) {
        return;
    }
    job.occurrences.delete(step.occurrence);
    if (job.occurrences.size === 0) {
        endJob(state, job, jobStates.completed, wallMs);
    }
}

/** What is known about the end of a run. */
export interface EndedRun extends Omit<RunIdentity, "taskName"> {
    end: RunEnd;
    checkpoint: string;
}

/** Applies the end of a run to the job's progress. Call `detachRun` for the run afterwards. */
export function applyEnd(state: SchedulerState, ended: EndedRun, nowMs: number, wallMs: number): void {
    const job = state.jobs.get(ended.jobId);
    const step = findStep(state, ended);
    trackWorkerFailures(state, ended, nowMs);
    if (!job || !step || isFinalState(job.state) || step.done.has(ended.taskIndex)) {
        return;
    }
    if (ended.end === runEnds.done && !step.spec.isLongRunning) {
        markChanged(state, job);
        finishTask(state, job, step, ended, wallMs);
        return;
    }
    if (ended.checkpoint !== "") {
        taskProgress(step, ended.taskIndex).checkpoint = ended.checkpoint;
        markChanged(state, job);
    }
    if (ended.end === runEnds.failed && !step.spec.isLongRunning) {
        const progress = attemptsProgress(step, ended.taskIndex);
        if (progress.failedRunIds.includes(ended.runId)) {
            return;
        }
        progress.failedRunIds.push(ended.runId);
        markChanged(state, job);
        const maxAttempts = state.policy.queues.get(job.submission.queueName)?.maxAttempts ?? Number.POSITIVE_INFINITY;
        if (progress.failedRunIds.length >= maxAttempts) {
            endJob(state, job, jobStates.failed, wallMs);
        }
    }
}
