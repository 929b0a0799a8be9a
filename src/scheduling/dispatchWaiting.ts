/** Gives waiting tasks to workers: one pass over all pools. */
import { orderSteps, type StepOrderInput } from "../decisions/orderSteps.js";
import { type PlacementCandidate, placeTask } from "../decisions/placeTask.js";
import { isFinalState, isStepReady, type JobRecord, type StepRecord } from "./jobRecord.js";
import { fitsWithin, type QueuePolicy, reservedBy } from "./jobTypes.js";
import type { Moment } from "./reconcileListing.js";
import { attachRun, commandKinds, detachRun, isWithinTeamLimit, nextRunId, type SchedulerState } from "./schedulerState.js";
import { formatTaskName, roomOf, type Run, runPhases, type WorkerRecord } from "./workerRecord.js";

interface WaitingStep extends StepOrderInput {
    job: JobRecord;
    step: StepRecord;
    queue: QueuePolicy;
}

/** A worker that has not answered for so long gets no new runs: its holds come every second or so. */
const silentAfterMs = 2_500;

/** Whether a run of an earlier owner that nobody has seen yet may exist. */
function mayOldRunsExist(state: SchedulerState, nowMs: number): boolean {
    return nowMs < state.term.unknownWorkersUntilMs || [...state.workers.values()].some(worker => !worker.isSettled);
}

function collectWaiting(state: SchedulerState, moment: Moment): Map<string, WaitingStep[]> {
    const isHeldBack = mayOldRunsExist(state, moment.nowMs);
    const byPool = new Map<string, WaitingStep[]>();
    for (const job of state.jobs.values()) {
        const queue = state.policy.queues.get(job.submission.queueName);
        if (!queue || isFinalState(job.state) || (isHeldBack && job.acceptedRevision < state.term.token)) {
            continue;
        }
        for (const occurrence of job.occurrences.values()) {
            if (occurrence.dueWallMs > moment.wallMs) {
                continue;
            }
            for (const step of occurrence.steps) {
                if (step.waiting.size === 0 || !isStepReady(occurrence, step)) {
                    continue;
                }
                const waiting = byPool.get(queue.poolName) ?? [];
                byPool.set(queue.poolName, waiting);
                waiting.push({
                    job,
                    step,
                    queue,
                    isLongRunning: step.spec.isLongRunning && !step.spec.isFiller,
                    priority: queue.priority,
                    workMillicoreS: job.workMillicoreS,
                    submittedWallMs: occurrence.dueWallMs,
                    objectiveWallMs: occurrence.dueWallMs + queue.chainFactor * job.chainMs + queue.latencyObjectiveMs,
                    chainMs: step.chainMs,
                    hasStarted: job.hasStarted,
                });
            }
        }
    }
    return byPool;
}

function isUsable(worker: WorkerRecord, poolName: string, nowMs: number): boolean {
    return worker.entry.poolName === poolName && worker.isAnnounced && worker.note === "none" && !worker.entry.isDraining &&
        !worker.isCordoned &&
        worker.avoidedUntilMs <= nowMs && worker.lastAnswerAtMs !== undefined && nowMs - worker.lastAnswerAtMs < silentAfterMs;
}

type Candidate = PlacementCandidate & { worker: WorkerRecord };

function candidatesFor(workers: readonly WorkerRecord[], step: StepRecord): Candidate[] {
    const { spec } = step;
    const needed = reservedBy(spec);
    const onWorker = new Map<string, number>();
    const onRack = new Map<string, number>();
    const rackOf = new Map(workers.map(worker => [worker.entry.workerId, worker.entry.rack]));
    for (const run of [...step.runs.values()].flat()) {
        onWorker.set(run.workerId, (onWorker.get(run.workerId) ?? 0) + 1);
        const rack = rackOf.get(run.workerId) ?? "";
        onRack.set(rack, (onRack.get(rack) ?? 0) + 1);
    }
    const candidates: Candidate[] = [];
    for (const worker of workers) {
        const { workerId, rack, zone, labels } = worker.entry;
        const room = roomOf(worker);
        const sameStepCount = onWorker.get(workerId) ?? 0;
        const isAllowed = fitsWithin(needed, room) && (spec.requiredLabel === undefined || labels.includes(spec.requiredLabel)) &&
            (spec.maxTasksPerWorker === undefined || sameStepCount < spec.maxTasksPerWorker);
        if (isAllowed) {
            candidates.push({
                worker,
                workerId,
                rack,
                zone,
                sameStepCount,
                sameStepOnRackCount: onRack.get(rack) ?? 0,
                freeCpuMillicores: room.cpuMillicores,
                freeMemoryMb: room.memoryMb,
                longRunningCount: [...worker.runs.values()].filter(run => run.isServing).length,
            });
        }
    }
    return candidates;
}

function startTask(
    state: SchedulerState,
    waiting: WaitingStep,
    taskIndex: number,
    worker: WorkerRecord,
    runId: number,
    nowMs: number,
): Run {
    const { job, step } = waiting;
    const run: Run = {
        taskName: formatTaskName(job.jobId, step.occurrence, step.index, taskIndex),
        jobId: job.jobId,
        occurrence: step.occurrence,
        stepIndex: step.index,
        taskIndex,
        runId,
        workerId: worker.entry.workerId,
        phase: runPhases.starting,
        isServing: step.spec.isLongRunning && !step.spec.isFiller,
        teamName: job.submission.teamName,
        requested: step.spec.request,
        reserved: reservedBy(step.spec),
        startedAtMs: nowMs,
        isPresumed: false,
        hasBegun: false,
        answeredAtMs: undefined,
        percent: 0,
        measured: 0,
        pacePercent: 100,
        checkpoint: "",
    };
    attachRun(state, worker, step, run);
    worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + state.startLeaseMs);
    return run;
}

function checkpointOf(step: StepRecord, taskIndex: number): string {
    return step.tasks.get(taskIndex)?.checkpoint ?? "";
}

/** Starts all waiting tasks of a gang, or none. */
function startGang(state: SchedulerState, waiting: WaitingStep, workers: readonly WorkerRecord[], nowMs: number): void {
    const { step, job } = waiting;
    if (step.runs.size > 0) {
        return;
    }
    const racks = step.spec.isRackBound ? [...new Set(workers.map(worker => worker.entry.rack))] : [undefined];
    for (const rack of racks) {
        const runId = nextRunId(state);
        const runs: Run[] = [];
        const own = rack === undefined ? workers : workers.filter(worker => worker.entry.rack === rack);
        for (const taskIndex of [...step.waiting]) {
            const best = isWithinTeamLimit(state, job.submission.teamName, step.spec.request) ?
                placeTask(needsOf(waiting), candidatesFor(own, step)) :
                undefined;
            if (!best) {
                break;
            }
            runs.push(startTask(state, waiting, taskIndex, best.worker, runId, nowMs));
        }
        if (runs.length === step.spec.taskCount) {
            const saved = [...step.tasks.values()].map(each => each.checkpoint).find(checkpoint => checkpoint !== "") ?? "";
            runs.forEach(run => pushStart(state, waiting, run, saved));
            return;
        }
        runs.forEach(run => detachRun(state, run));
    }
}

function needsOf(waiting: WaitingStep): Parameters<typeof placeTask>[0] {
    const { spec } = waiting.step;
    return {
        isLongRunning: spec.isLongRunning,
        isFiller: spec.isFiller,
        cpuMillicores: spec.request.cpuMillicores,
        preferredRack: spec.preferredRack,
    };
}

function pushStart(state: SchedulerState, waiting: WaitingStep, run: Run, checkpoint: string): void {
    state.commands.push({ kind: commandKinds.start, run, payload: waiting.job.submission.payload, checkpoint });
    state.onDecision({
        what: "start",
        jobId: run.jobId,
        taskName: run.taskName,
        runId: run.runId,
        workerId: run.workerId,
        detail: `objective at ${Math.round(waiting.objectiveWallMs)}`,
    });
}

function startStep(state: SchedulerState, waiting: WaitingStep, workers: readonly WorkerRecord[], nowMs: number): void {
    const { step, job } = waiting;
    if (step.spec.isGang) {
        startGang(state, waiting, workers, nowMs);
        return;
    }
    for (const taskIndex of [...step.waiting]) {
        if (!isWithinTeamLimit(state, job.submission.teamName, step.spec.request)) {
            return;
        }
        const best = placeTask(needsOf(waiting), candidatesFor(workers, step));
        if (!best) {
            return;
        }
        const run = startTask(state, waiting, taskIndex, best.worker, nextRunId(state), nowMs);
        pushStart(state, waiting, run, checkpointOf(step, taskIndex));
    }
}

/** Starts what can start now. */
export function dispatchWaiting(state: SchedulerState, moment: Moment): void {
    for (const [poolName, waiting] of collectWaiting(state, moment)) {
        const workers = [...state.workers.values()].filter(worker => isUsable(worker, poolName, moment.nowMs));
        if (workers.length > 0) {
            orderSteps(waiting, moment.wallMs).forEach(each => startStep(state, each, workers, moment.nowMs));
        }
    }
}
