/**
 * Planned starts, and the set of workers on which tasks of a job may run. The store holds a worker in that set before a start
 * is sent to it. After a takeover, the next owner therefore knows which jobs to hold back while a worker does not respond, and
 * can start all others at once.
 */
import { type JobRecord, type StepRecord, stepsOf } from "./jobRecord.js";
import { areRunsKnown } from "./knownRuns.js";
import { commandKinds, detachRun, findStep, markChanged, type SchedulerState } from "./schedulerState.js";
import { isStartPermitted, startValidityAt } from "./startPermission.js";
import { recordSuspectStart } from "./suspectStarts.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";
import { isOvercommitted } from "./workerRoom.js";

/**
 * The workers on which an earlier owner may have started tasks of the job, and whose runs are not known. One that restarts is among them
 * again until it has listed its runs: its new incarnation may carry out starts that were sent to the former one.
 */
export function unknownFormerWorkers(state: SchedulerState, job: JobRecord, nowMs: number): string[] {
    return [...job.formerWorkerIds].filter(workerId => !areRunsKnown(state, workerId, nowMs));
}

/** Whether there are such workers. Only tasks with a run that has been adopted in this term may then start. */
export function isHeldBack(state: SchedulerState, job: JobRecord, nowMs: number): boolean {
    const unknown = unknownFormerWorkers(state, job, nowMs);
    if (nowMs >= state.term.unknownWorkersUntilMs) {
        job.formerWorkerIds = new Set(unknown);
    }
    return unknown.length > 0;
}

/** Lets the progress of the jobs that list a worker be written without it, since it has left: a next owner could not reach it. */
export function forgetWorker(state: SchedulerState, workerId: string): void {
    for (const job of state.jobs.values()) {
        if (job.persistedWorkerIds.has(workerId)) {
            job.formerWorkerIds.delete(workerId);
            markChanged(state, job);
        }
    }
}

/** The worker ids to store with the next write of the job's progress. */
export function possibleWorkerIds(state: SchedulerState, job: JobRecord): Set<string> {
    // Workers without a record count as unknown until `isHeldBack` drops them.
    const workerIds = new Set(unknownFormerWorkers(state, job, Number.NEGATIVE_INFINITY));
    for (const step of stepsOf(job)) {
        for (const runs of step.runs.values()) {
            runs.forEach(run => workerIds.add(run.workerId));
        }
    }
    return workerIds;
}

/** Whether the store lists the worker for the job, and still will after the write in flight has landed. */
export function isWorkerPersisted(job: JobRecord, workerId: string): boolean {
    return job.persistedWorkerIds.has(workerId) && (job.workerIdsInFlight?.has(workerId) ?? true);
}

function isPlanned(run: Run): boolean {
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
    state.plannedRuns.delete(run);
    run.startedAtMs = nowMs;
    run.startValidityMs = startValidityAt(state.startPermission, nowMs);
    if (worker) {
        run.sentToBornWallMs = worker.entry.bornWallMs;
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + state.startLeaseMs);
    }
    state.commands.push({ kind: commandKinds.start, run, payload: job.submission.payload, checkpoint: startCheckpoint(step, run) });
    state.onDecision({ what: "start", jobId: run.jobId, taskName: run.taskName, runId: run.runId, workerId: run.workerId });
}

/** Whether the start may still be sent, and its worker still has the room that was reserved for the run. */
function mayStillStart(state: SchedulerState, { workerId }: Run, nowMs: number): boolean {
    const worker = state.workers.get(workerId);
    return worker !== undefined && !isOvercommitted(worker) && isStartPermitted(state.startPermission, worker, nowMs);
}

/** Whether the store holds what it must before the start is sent. */
function isStartPersisted(job: JobRecord, run: Run): boolean {
    return isWorkerPersisted(job, run.workerId) && run.requiredVersion <= job.persistedVersion;
}

/**
 * Returns the planned starts of the step in groups that are sent or cancelled together: one for a gang, else one each. The checks of a
 * group cost as much as it has members, so a gang is checked once and not once for each member.
 */
function plannedGroups(step: StepRecord): Run[][] {
    const planned = [...step.runs.values()].flat().filter(isPlanned);
    return step.spec.isGang ? [planned].filter(({ length }) => length > 0) : planned.map(run => [run]);
}

/** Whether all members of a gang have a run; a gang that lacks one cannot start. */
function isGangBroken(step: StepRecord): boolean {
    return step.spec.isGang && [...step.runs.values()].flat().length !== step.spec.taskCount;
}

/**
 * Sends the planned starts whose workers the store lists for the job; those of a gang are sent together. The others wait for
 * the next write of the job's progress.
 */
export function sendPersistedStarts(state: SchedulerState, job: JobRecord, nowMs: number): void {
    let hasUnpersisted = false;
    for (const step of stepsOf(job)) {
        const groups = plannedGroups(step);
        groups.flat().forEach(run => recordSuspectStart(state, job, step, run));
        for (const group of groups) {
            if (isGangBroken(step) || !group.every(run => mayStillStart(state, run, nowMs))) {
                group.forEach(run => detachRun(state, run));
            }
            else if (group.every(run => isStartPersisted(job, run))) {
                group.forEach(run => sendStart(state, job, step, run, nowMs));
            }
            else {
                hasUnpersisted = true;
            }
        }
    }
    if (hasUnpersisted && job.workerIdsInFlight === undefined) {
        markChanged(state, job);
    }
}

/**
 * Cancels the planned starts on workers that can no longer run them or have no room left, and those of gangs that have lost a
 * task; all of them while the store takes no writes.
 */
export function cancelStaleStarts(state: SchedulerState, nowMs: number, isSchedulable: (worker: WorkerRecord) => boolean): void {
    const mayStart = (run: Run): boolean => {
        const worker = state.workers.get(run.workerId);
        return state.isStoreWritable && worker !== undefined && isSchedulable(worker) && mayStillStart(state, run, nowMs);
    };
    const checkedGangs = new Set<StepRecord>();
    for (const run of [...state.plannedRuns]) {
        const step = findStep(state, run);
        if (!state.plannedRuns.has(run) || (step && checkedGangs.has(step))) {
            continue;
        }
        const group = step?.spec.isGang ? plannedGroups(step).flat() : [run];
        if (step?.spec.isGang) {
            checkedGangs.add(step);
        }
        if ((step && isGangBroken(step)) || !group.every(mayStart)) {
            group.forEach(each => detachRun(state, each));
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
