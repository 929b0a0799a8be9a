/**
 * The workers on which tasks of a job may run, which the store holds before a start is sent to one of them. The next owner
 * thus knows which jobs to hold back while a worker does not answer, and starts all others at once.
 */
import { type JobRecord, type StepRecord, stepsOf } from "./jobRecord.js";
import { commandKinds, detachRun, findStep, markChanged, type SchedulerState } from "./schedulerState.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/** Whether the present owner knows what runs on the worker. */
function isKnown(state: SchedulerState, workerId: string, nowMs: number): boolean {
    const worker = state.workers.get(workerId);
    return worker ? worker.isRunStateKnown : nowMs >= state.term.unknownWorkersUntilMs;
}

function runsOf(job: JobRecord): Run[] {
    return stepsOf(job).flatMap(step => [...step.runs.values()].flat());
}

/** Whether an earlier owner may have started tasks of the job on a worker of which that is not known yet. */
export function isHeldBack(state: SchedulerState, job: JobRecord, nowMs: number): boolean {
    for (const workerId of job.formerWorkerIds) {
        if (!isKnown(state, workerId, nowMs)) {
            return true;
        }
    }
    job.formerWorkerIds.clear();
    return false;
}

/** The footprint that the next write of the job's progress is to hold. */
export function possibleWorkerIds(job: JobRecord): Set<string> {
    return new Set([...job.formerWorkerIds, ...runsOf(job).map(run => run.workerId)]);
}

/** Whether the store holds the worker in the job's footprint, also once the write under way has landed. */
export function isWorkerPersisted(job: JobRecord, workerId: string): boolean {
    return job.persistedWorkerIds.has(workerId) && (job.workerIdsInFlight?.has(workerId) ?? true);
}

export function isPlanned(run: Run): boolean {
    return run.phase === runPhases.planned;
}

function startCheckpoint(step: StepRecord, run: Run): string {
    if (step.spec.isGang) {
        return [...step.tasks.values()].map(each => each.checkpoint).find(checkpoint => checkpoint !== "") ?? "";
    }
    return step.tasks.get(run.taskIndex)?.checkpoint ?? "";
}

function sendStart(state: SchedulerState, job: JobRecord, step: StepRecord, run: Run, nowMs: number): void {
    const worker = state.workers.get(run.workerId);
    run.phase = runPhases.starting;
    run.startedAtMs = nowMs;
    if (worker) {
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + state.startLeaseMs);
    }
    state.commands.push({ kind: commandKinds.start, run, payload: job.submission.payload, checkpoint: startCheckpoint(step, run) });
    state.onDecision({ what: "start", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId });
}

/** Sends the planned starts that the store's footprint covers; those of a gang together. The others wait for the next write. */
export function sendPersistedStarts(state: SchedulerState, job: JobRecord, nowMs: number): void {
    let isUncovered = false;
    for (const run of runsOf(job)) {
        if (!isPlanned(run)) {
            continue;
        }
        const step = findStep(state, run)!;
        const together = step.spec.isGang ? [...step.runs.values()].flat() : [run];
        const isWhole = !step.spec.isGang || together.length === step.spec.taskCount;
        if (!isWhole) {
            cancelPlannedStart(state, run);
        }
        else if (together.every(each => isWorkerPersisted(job, each.workerId))) {
            sendStart(state, job, step, run, nowMs);
        }
        else {
            isUncovered = true;
        }
    }
    if (isUncovered && job.workerIdsInFlight === undefined) {
        markChanged(state, job);
    }
}

/** Gives up a start that was not sent; its task waits again. */
export function cancelPlannedStart(state: SchedulerState, run: Run): void {
    const step = findStep(state, run);
    const together = step?.spec.isGang ? [...step.runs.values()].flat().filter(isPlanned) : [run];
    together.forEach(each => detachRun(state, each));
}

/** Gives up the planned starts on workers that can no longer take them, and, while nothing can be written, all of them. */
export function cancelStaleStarts(state: SchedulerState, usable: ReadonlySet<WorkerRecord>): void {
    for (const worker of state.workers.values()) {
        if (!state.isStoreWritable || !usable.has(worker)) {
            [...worker.runs.values()].filter(isPlanned).forEach(run => cancelPlannedStart(state, run));
        }
    }
}

/** The write of a job's progress that held this footprint has landed, or may have. */
export function settleWorkerIdsWrite(job: JobRecord, hasLanded: boolean): void {
    const written = job.workerIdsInFlight;
    if (written) {
        job.persistedWorkerIds = hasLanded ? written : new Set([...job.persistedWorkerIds].filter(workerId => written.has(workerId)));
    }
    job.workerIdsInFlight = undefined;
}
