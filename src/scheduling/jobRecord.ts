/** The scheduler's state of one job: which tasks wait, run and are done, per occurrence and step. */
import { type CrashCounts, noCrashes } from "./crashCounts.js";
import type { JobProgress, StepProgress, TaskProgress } from "./jobDocuments.js";
import {
    estimateCriticalPathMs,
    estimateWork,
    type JobState,
    jobStates,
    type JobSubmission,
    type Resources,
    smallestNeed,
    type StepSpec,
} from "./jobTypes.js";
import type { Run } from "./workerRecord.js";

export interface StepRecord {
    spec: StepSpec;
    index: number;
    occurrence: number;
    /** Indices of the tasks that wait for a worker. */
    waiting: Set<number>;
    /** Tasks that must not start again until the ownership is proven. */
    heldBack: Set<number>;
    /** Tasks of which a run of an earlier owner was listed in this term: no other run that such an owner started can exist. */
    adopted: Set<number>;
    done: Set<number>;
    /** Runs that may be active, by task index. */
    runs: Map<number, Run[]>;
    tasks: Map<number, TaskProgress>;
    /** Estimated time from the start of this step to the end of the job. */
    criticalPathMs: number;
}

export interface OccurrenceRecord {
    number: number;
    dueWallMs: number;
    steps: StepRecord[];
}

export interface JobRecord {
    jobId: string;
    submission: JobSubmission;
    state: JobState;
    hasStarted: boolean;
    endedWallMs: number | undefined;
    occurrences: Map<number, OccurrenceRecord>;
    workMillicoreS: number;
    /** No task of the job reserves less than this in any of its resources. */
    smallestNeed: Resources;
    /** Whether the job was within its team's share when it was submitted. */
    isWithinShare: boolean;
    /** Estimated duration of the longest chain of dependent steps. */
    criticalPathMs: number;
    /** Incremented by every change that must be stored; the progress in the store has `persistedVersion`. */
    version: number;
    persistedVersion: number;
    /** Workers on which an earlier owner may have started tasks of the job; forgotten once its starts cannot arrive any more. */
    formerWorkerIds: Set<string>;
    /** Workers on which tasks of the job may run according to the store; a start is sent to no other worker. */
    persistedWorkerIds: Set<string>;
    /** The worker ids in the write that is in flight. */
    workerIdsInFlight: Set<string> | undefined;
}

export function isFinalState(state: JobState): boolean {
    return state === jobStates.completed || state === jobStates.failed || state === jobStates.cancelled;
}

function createStep(
    spec: StepSpec,
    index: number,
    occurrence: number,
    criticalPathMs: number,
    progress: StepProgress | undefined,
): StepRecord {
    const all = Array.from({ length: spec.taskCount }, (_, task) => task);
    const done = new Set(progress?.done === "all" ? all : progress?.done ?? []);
    const tasks = new Map(
        Object.entries(progress?.tasks ?? {}).map(([task, each]) => [Number(task), structuredClone(each)]),
    );
    return {
        spec,
        index,
        occurrence,
        waiting: new Set(all.filter(task => !done.has(task))),
        heldBack: new Set(),
        adopted: new Set(),
        done,
        runs: new Map(),
        tasks,
        criticalPathMs,
    };
}

export function createOccurrence(job: JobRecord, number: number, progress: readonly StepProgress[] | undefined): OccurrenceRecord {
    const { steps, repeat, submittedWallMs } = job.submission;
    const criticalPathMs = estimateCriticalPathMs(steps);
    const occurrence: OccurrenceRecord = {
        number,
        dueWallMs: repeat ? repeat.firstDueWallMs + number * repeat.intervalMs : submittedWallMs,
        steps: steps.map((spec, index) => createStep(spec, index, number, criticalPathMs[index]!, progress?.[index])),
    };
    job.occurrences.set(number, occurrence);
    return occurrence;
}

/** Creates the record of an accepted job from its stored documents. */
export function createJobRecord(submission: JobSubmission, progress: JobProgress | undefined): JobRecord {
    const job: JobRecord = {
        jobId: submission.jobId,
        submission,
        state: progress?.state ?? jobStates.queued,
        hasStarted: progress !== undefined && progress.state !== jobStates.queued,
        endedWallMs: progress?.endedWallMs,
        occurrences: new Map(),
        workMillicoreS: estimateWork(submission.steps),
        smallestNeed: smallestNeed(submission.steps),
        isWithinShare: true,
        criticalPathMs: Math.max(0, ...estimateCriticalPathMs(submission.steps)),
        version: 0,
        persistedVersion: 0,
        formerWorkerIds: new Set(progress?.workerIds),
        persistedWorkerIds: new Set(progress?.workerIds),
        workerIdsInFlight: undefined,
    };
    const count = submission.repeat?.count ?? 1;
    for (let number = 0; number < count && !isFinalState(job.state); number++) {
        const occurrence = createOccurrence(job, number, progress?.occurrences?.[String(number)]);
        if (isOccurrenceDone(occurrence)) {
            job.occurrences.delete(number);
        }
    }
    return job;
}

/** The steps of all occurrences that are not done. */
export function stepsOf(job: JobRecord): StepRecord[] {
    return [...job.occurrences.values()].flatMap(occurrence => occurrence.steps);
}

export function isStepDone(step: StepRecord): boolean {
    return step.done.size === step.spec.taskCount;
}

export function isOccurrenceDone(occurrence: OccurrenceRecord): boolean {
    return occurrence.steps.every(isStepDone);
}

/** Whether all steps that the given one depends on are done. */
export function isStepReady(occurrence: OccurrenceRecord, step: StepRecord): boolean {
    return step.spec.dependsOn.every(before => isStepDone(occurrence.steps[before]!));
}

/** A step with waiting tasks, and its occurrence. */
export interface ReadyStep {
    occurrence: OccurrenceRecord;
    step: StepRecord;
}

/** The steps of the job that are due, ready and have waiting tasks. */
export function readyStepsOf(job: JobRecord, wallMs: number): ReadyStep[] {
    return [...job.occurrences.values()].filter(occurrence => occurrence.dueWallMs <= wallMs).flatMap(occurrence =>
        occurrence.steps.filter(step => step.waiting.size > 0 && isStepReady(occurrence, step)).map(step => ({ occurrence, step }))
    );
}

/** How many tasks of the job wait and are due and ready. */
export function countWaitingTasks(job: JobRecord, wallMs: number): number {
    return readyStepsOf(job, wallMs).reduce((sum, { step }) => sum + step.waiting.size, 0);
}

/** How many waiting tasks of the step an earlier owner may have started, as far as workers that are not known may tell. */
export function countPossiblyStarted(step: StepRecord): number {
    return [...step.waiting].filter(task => !step.adopted.has(task)).length;
}

function stepProgress(step: StepRecord): StepProgress {
    const done = isStepDone(step) ? "all" as const : [...step.done];
    const tasks = [...step.tasks].filter(([task]) => !step.done.has(task));
    return tasks.length > 0 ? { done, tasks: Object.fromEntries(tasks.map(([task, each]) => [String(task), each])) } : { done };
}

/** The job's progress in the form in which it is stored. */
export function progressOf(job: JobRecord): JobProgress {
    if (isFinalState(job.state)) {
        return { state: job.state, endedWallMs: job.endedWallMs };
    }
    const count = job.submission.repeat?.count ?? 1;
    const occurrences: Record<string, StepProgress[]> = {};
    for (let number = 0; number < count; number++) {
        const occurrence = job.occurrences.get(number);
        occurrences[String(number)] = occurrence ?
            occurrence.steps.map(stepProgress) :
            job.submission.steps.map(() => ({ done: "all" }));
    }
    return { state: job.state, occurrences, workerIds: [...job.workerIdsInFlight ?? job.persistedWorkerIds] };
}

/** A gang's failures and crashes are counted once, with its first task. */
function countingTask(step: StepRecord, task: number): number {
    return step.spec.isGang ? 0 : task;
}

/** The crashes of workers under the runs of the task. */
export function countCrashes(step: StepRecord, task: number): CrashCounts {
    const progress = step.tasks.get(countingTask(step, task));
    return progress ? crashCountsOf(progress) : noCrashes;
}

/** The runs of the task that are known to have failed. */
export function failedRunIdsOf(step: StepRecord, task: number): readonly number[] {
    return step.tasks.get(countingTask(step, task))?.failedRunIds ?? [];
}

export function crashCountsOf({ crashedRunIds = [], provenCrashRunIds = [] }: TaskProgress): CrashCounts {
    return { provenCount: provenCrashRunIds.length, possibleCount: crashedRunIds.length - provenCrashRunIds.length };
}

/** Removes the stored start of the run; `false` if there is none. */
export function forgetSuspectStart(step: StepRecord, { taskIndex, runId }: Run): boolean {
    const progress = step.tasks.get(taskIndex);
    if (progress?.suspectStart?.runId !== runId) {
        return false;
    }
    progress.suspectStart = undefined;
    return true;
}

/** Returns the progress that holds the failures and crashes of a task, and creates it if there is none yet. */
export function attemptsProgress(step: StepRecord, task: number): TaskProgress {
    return taskProgress(step, countingTask(step, task));
}

/** Returns the progress of a task, and creates it if there is none yet. */
export function taskProgress(step: StepRecord, task: number): TaskProgress {
    const known = step.tasks.get(task) ?? { failedRunIds: [], checkpoint: "" };
    step.tasks.set(task, known);
    return known;
}
