/** The state of the scheduler and the changes that its parts share. */
import type { ShareTokenBucket } from "../decisions/teamShare.js";
import { isFinalState, isOccurrenceDone, type JobRecord, type StepRecord, stepsOf, taskProgress } from "./jobRecord.js";
import {
    addResources,
    isServing,
    type JobState,
    jobStates,
    noResources,
    reservedResources,
    type Resources,
    type SchedulingPolicy,
} from "./jobTypes.js";
import type { WorkerSnapshot } from "./unresponsiveWorkers.js";
import { addRun, removeRun, type Run, runKey, runPhases, type WorkerRecord } from "./workerRecord.js";

export const commandKinds = {
    start: "start",
    stop: "stop",
    pace: "pace",
    /** Asks for a listing at once. */
    look: "look",
    /** Writes down that a worker is silent, and removes that. */
    writeSnapshot: "writeNote",
    removeSnapshot: "removeNote",
} as const;

export interface StartCommand {
    kind: typeof commandKinds.start;
    run: Run;
    payload: string;
    checkpoint: string;
}

/** What the scheduler asks of a worker, or of the store about one. */
export type SchedulerCommand =
    | StartCommand
    | { kind: typeof commandKinds.stop; run: Run; reason: string }
    | { kind: typeof commandKinds.pace; run: Run; percent: number }
    | { kind: typeof commandKinds.look; workerId: string }
    | { kind: typeof commandKinds.writeSnapshot; workerId: string; snapshot: WorkerSnapshot }
    | { kind: typeof commandKinds.removeSnapshot; workerId: string };

/** One period for which this process owns the scheduling. */
export interface Term {
    /** Fencing token of every order; higher than any earlier owner's. */
    token: number;
    startedWallMs: number;
    /**
     * Until then, workers that nobody announces may still run tasks of an earlier owner: jobs that were accepted before the
     * term start nothing.
     */
    unknownWorkersUntilMs: number;
}

/** One decision, for the log. */
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
    policy: SchedulingPolicy;
    term: Term;
    jobs: Map<string, JobRecord>;
    workers: Map<string, WorkerRecord>;
    teamUsed: Map<string, Resources>;
    /** What each team may still hand in within its share. */
    teamAllowance: Map<string, ShareTokenBucket>;
    /** How long, by this process's clock, a start may still be carried out and hold a lease of its own. */
    startLeaseMs: number;
    /** Longest time that a worker takes to stop a task. */
    taskStopMs: number;
    /** Whether this process is sure to be the owner. Without proof, what was lost is not started again: another may have. */
    isOwnershipProven: boolean;
    /** Whether the store takes writes; without, starts go only where it allows them already. */
    isStoreWritable: boolean;
    commands: SchedulerCommand[];
    /** Jobs whose progress the store does not hold yet. */
    unsavedJobs: Set<string>;
    nextRunNumber: number;
    onDecision(decision: Decision): void;
}

export const runEnds = {
    done: "done",
    failed: "failed",
    stopped: "stopped",
    lapsed: "lapsed",
    /** Another task of its gang ended. */
    broken: "broken",
    /** The rest of its gang did not come. */
    alone: "alone",
    /** The worker is gone, or never had the run. */
    lost: "lost",
} as const;
export type RunEnd = (typeof runEnds)[keyof typeof runEnds];

/** Run ids of one term lie between its token times this and the next; more than a term ever starts. */
const runsPerTerm = 1_000_000;
/** Jobs that fail in a row on a worker before it is avoided: some jobs fail anywhere. */
const failuresBeforeAvoiding = 3;
/** How long a worker that fails everything is avoided; it is then tried again. */
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

function teamUse(state: SchedulerState, teamName: string | undefined): Resources {
    const known = state.teamUsed.get(teamName ?? "") ?? { ...noResources };
    state.teamUsed.set(teamName ?? "", known);
    return known;
}

/** Whether the team may have that much more running. */
export function isWithinTeamLimit(state: SchedulerState, teamName: string | undefined, more: Resources): boolean {
    const limit = teamName === undefined ? undefined : state.policy.teams.get(teamName)?.limit;
    if (!limit) {
        return true;
    }
    const used = teamUse(state, teamName);
    return (Object.keys(noResources) as (keyof Resources)[]).every(each => limit[each] === 0 || used[each] + more[each] <= limit[each]);
}

/** What a run of the step needs, and for whom it runs. */
export function runNeeds(job: JobRecord, step: StepRecord): Pick<Run, "isServing" | "teamName" | "requested" | "reserved"> {
    return {
        isServing: isServing(step.spec),
        teamName: job.submission.teamName,
        requested: step.spec.request,
        reserved: reservedResources(step.spec),
    };
}

/** Registers a run with its worker, its step and its team. */
export function attachRun(state: SchedulerState, worker: WorkerRecord, step: StepRecord | undefined, run: Run): void {
    addRun(worker, run);
    addResources(teamUse(state, run.teamName), run.requested, 1);
    if (step) {
        step.waiting.delete(run.taskIndex);
        step.runs.set(run.taskIndex, [...(step.runs.get(run.taskIndex) ?? []), run]);
    }
}

/** Forgets a run that has surely ended, and lets its task wait again where it must run again. */
export function detachRun(state: SchedulerState, run: Run): void {
    const worker = state.workers.get(run.workerId);
    if (worker?.runs.has(runKey(run.taskName, run.runId))) {
        removeRun(worker, run);
        addResources(teamUse(state, run.teamName), run.requested, -1);
    }
    const job = state.jobs.get(run.jobId);
    const step = findStep(state, run);
    if (!job || !step) {
        return;
    }
    const left = (step.runs.get(run.taskIndex) ?? []).filter(each => each !== run);
    if (left.length > 0) {
        step.runs.set(run.taskIndex, left);
        return;
    }
    step.runs.delete(run.taskIndex);
    if (!step.done.has(run.taskIndex) && !isFinalState(job.state)) {
        (state.isOwnershipProven ? step.waiting : step.heldBack).add(run.taskIndex);
    }
}

/** Lets tasks wait again that were held back while the ownership was not proven. */
export function releaseHeldBack(state: SchedulerState): void {
    for (const job of state.jobs.values()) {
        for (const step of stepsOf(job)) {
            step.heldBack.forEach(taskIndex => step.waiting.add(taskIndex));
            step.heldBack.clear();
        }
    }
}

/** Orders a run to stop, unless that was done. */
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

/** Ends a job; what still runs of it is stopped. */
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

/** Avoids a worker that fails the tasks of several jobs in a row; one job's failures are its own. */
function noteWorkerHealth(state: SchedulerState, { workerId, jobId, end }: EndedRun, nowMs: number): void {
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

function finishTask(state: SchedulerState, job: JobRecord, step: StepRecord, taskIndex: number, wallMs: number): void {
    const indices = step.spec.isGang ? Array.from({ length: step.spec.taskCount }, (_, index) => index) : [taskIndex];
    for (const index of indices) {
        step.done.add(index);
        step.waiting.delete(index);
        step.heldBack.delete(index);
        step.tasks.delete(index);
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

/** What is known of an end of a run. */
export interface EndedRun {
    jobId: string;
    occurrence: number;
    stepIndex: number;
    taskIndex: number;
    runId: number;
    workerId: string;
    end: RunEnd;
    checkpoint: string;
}

/** Takes an end into the job's progress. Call `detachRun` for the run afterwards. */
export function applyEnd(state: SchedulerState, ended: EndedRun, nowMs: number, wallMs: number): void {
    const job = state.jobs.get(ended.jobId);
    const step = findStep(state, ended);
    noteWorkerHealth(state, ended, nowMs);
    if (!job || !step || isFinalState(job.state) || step.done.has(ended.taskIndex)) {
        return;
    }
    if (ended.end === runEnds.done && !step.spec.isLongRunning) {
        markChanged(state, job);
        finishTask(state, job, step, ended.taskIndex, wallMs);
        return;
    }
    if (ended.checkpoint !== "") {
        taskProgress(step, ended.taskIndex).checkpoint = ended.checkpoint;
        markChanged(state, job);
    }
    if (ended.end === runEnds.failed && !step.spec.isLongRunning) {
        // A gang has one count of attempts, kept with its first task.
        const progress = taskProgress(step, step.spec.isGang ? 0 : ended.taskIndex);
        if (progress.failedRunIds.includes(ended.runId)) {
            return;
        }
        progress.failedRunIds.push(ended.runId);
        markChanged(state, job);
        const maxAttempts = state.policy.queues.get(job.submission.queueName)?.maxAttempts ?? 1;
        if (progress.failedRunIds.length >= maxAttempts) {
            endJob(state, job, jobStates.failed, wallMs);
        }
    }
}
