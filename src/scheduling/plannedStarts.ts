/**
 * Planned starts, and the set of workers on which tasks of a job may run. The store holds a worker in that set before a start
 * is sent to it. After a takeover, the next owner therefore knows which jobs to hold back while a worker does not respond, and
 * can start all others at once.
 */
import { type JobRecord, type StepRecord, stepsOf } from "./jobRecord.js";
import { commandKinds, detachRun, findStep, markChanged, type SchedulerState } from "./schedulerState.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

/** Whether the current owner knows which runs the worker has. */
function isWorkerStateKnown(state: SchedulerState, workerId: string, nowMs: number): boolean {
    const worker = state.workers.get(workerId);
    return worker ? worker.isRunStateKnown : nowMs >= state.term.unknownWorkersUntilMs;
}

function runsOf(job: JobRecord): Run[] {
    return stepsOf(job).flatMap(step => [...step.runs.values()].flat());
}

/** Whether an earlier owner may have started tasks of the job on a worker whose runs are not known yet. */
export function isHeldBack(state: SchedulerState, job: JobRecord, nowMs: number): boolean {
    for (const workerId of job.formerWorkerIds) {
        if (!isWorkerStateKnown(state, workerId, nowMs)) {
            return true;
        }
    }
    job.formerWorkerIds.clear();
    return false;
}

/** The worker ids to store with the next write of the job's progress. */
export function possibleWorkerIds(job: JobRecord): Set<string> {
    return new Set([...job.formerWorkerIds, ...runsOf(job).map(run => run.workerId)]);
}

/** Whether the store lists the worker for the job, and still will after the write in flight has landed. */
export function isWorkerPersisted(job: JobRecord, workerId: string): boolean {
    return job.persistedWorkerIds.has(workerId) && (job.workerIdsInFlight?.has(workerId) ?? true);
}

/** Whether a newer owner would keep this process from starting a task on the worker that it starts too. */
export function isFencedByNewerOwner(state: SchedulerState, worker: WorkerRecord): boolean {
    return state.isOwnershipProven || worker.hasRespondedToProvenOwner;
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

/**
 * Sends the planned starts whose workers the store lists for the job; those of a gang are sent together. The others wait for
 * the next write of the job's progress.
 */
export function sendPersistedStarts(state: SchedulerState, job: JobRecord, nowMs: number): void {
    let hasUnpersisted = false;
    for (const run of runsOf(job)) {
        if (!isPlanned(run)) {
            continue;
        }
        const step = findStep(state, run)!;
        const group = step.spec.isGang ? [...step.runs.values()].flat() : [run];
        const isComplete = !step.spec.isGang || group.length === step.spec.taskCount;
        if (!isComplete) {
            cancelPlannedStart(state, run);
        }
        else if (group.every(each => isWorkerPersisted(job, each.workerId))) {
            sendStart(state, job, step, run, nowMs);
        }
        else {
            hasUnpersisted = true;
        }
    }
    if (hasUnpersisted && job.workerIdsInFlight === undefined) {
        markChanged(state, job);
    }
}

/** Cancels a start that was not sent, and with it those of its whole gang; the tasks wait again. */
export function cancelPlannedStart(state: SchedulerState, run: Run): void {
    const step = findStep(state, run);
    const group = step?.spec.isGang ? [...step.runs.values()].flat().filter(isPlanned) : [run];
    group.forEach(each => detachRun(state, each));
}

/** Cancels the planned starts on workers that can no longer run them, or all of them while the store takes no writes. */
export function cancelStaleStarts(state: SchedulerState, schedulable: ReadonlySet<WorkerRecord>): void {
    for (const worker of state.workers.values()) {
        if (!state.isStoreWritable || !schedulable.has(worker)) {
            [...worker.runs.values()].filter(isPlanned).forEach(run => cancelPlannedStart(state, run));
        }
    }
}

/** Records the result of the write in flight. If it may not have landed, only workers in both the old and the new set count. */
export function settleWorkerIdsWrite(job: JobRecord, hasLanded: boolean): void {
    const written = job.workerIdsInFlight;
    if (written) {
        job.persistedWorkerIds = hasLanded ? written : new Set([...job.persistedWorkerIds].filter(workerId => written.has(workerId)));
    }
    job.workerIdsInFlight = undefined;
}
