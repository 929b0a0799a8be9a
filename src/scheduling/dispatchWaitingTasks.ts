/** Assigns waiting tasks to workers, in one pass over all pools. */
import { orderSteps, type StepOrderInput } from "../decisions/orderSteps.js";
import { type PlacementCandidate, placeTask } from "../decisions/placeTask.js";
import { isFinalState, isStepReady, type JobRecord, type StepRecord } from "./jobRecord.js";
import { isServing, reservedResources, type Resources } from "./jobTypes.js";
import { cancelStaleStarts, isFencedByNewerOwner, isHeldBack, isWorkerPersisted, sendPersistedStarts } from "./plannedStarts.js";
import type { Moment } from "./reconcileListing.js";
import { attachRun, detachRun, isWithinTeamLimit, nextRunId, runNeeds, type SchedulerState } from "./schedulerState.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import { createRun, formatTaskName, freeResources, type Run, type WorkerRecord } from "./workerRecord.js";

interface WaitingStep extends StepOrderInput {
    job: JobRecord;
    step: StepRecord;
}

/** A worker gets no new runs once its last response is older than this; it normally responds to a listing about once a second. */
const responseTimeoutMs = 2_500;

function collectWaiting(state: SchedulerState, moment: Moment): Map<string, WaitingStep[]> {
    const byPool = new Map<string, WaitingStep[]>();
    for (const job of state.jobs.values()) {
        const queue = state.policy.queues.get(job.submission.queueName);
        if (!queue || isFinalState(job.state) || isHeldBack(state, job, moment.nowMs)) {
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
                    isLongRunning: isServing(step.spec),
                    workMillicoreS: job.workMillicoreS,
                    isWithinShare: job.isWithinShare,
                    submittedWallMs: occurrence.dueWallMs,
                    deadlineWallMs: occurrence.dueWallMs + queue.criticalPathFactor * job.criticalPathMs + queue.latencyObjectiveMs,
                    criticalPathMs: step.criticalPathMs,
                    hasStarted: job.hasStarted,
                });
            }
        }
    }
    return byPool;
}

/** Whether new runs may start on the worker now. */
function isSchedulable(state: SchedulerState, worker: WorkerRecord, nowMs: number): boolean {
    return worker.isRegistered && isFencedByNewerOwner(state, worker) && worker.snapshotState === snapshotStates.none &&
        !worker.entry.isDraining &&
        !worker.isCordoned &&
        worker.avoidedUntilMs <= nowMs && worker.lastResponseAtMs !== undefined && nowMs - worker.lastResponseAtMs < responseTimeoutMs;
}

/** A worker of the pool with its free resources, which are updated during the pass. */
type Candidate = PlacementCandidate & { worker: WorkerRecord; freeAccelerators: number };

function createCandidate(worker: WorkerRecord): Candidate {
    const { workerId, rack, zone } = worker.entry;
    return { worker, workerId, rack, zone, isStartRecorded: false, sameStepCount: 0, sameStepOnRackCount: 0, ...freeCapacity(worker) };
}

function freeCapacity(
    worker: WorkerRecord,
): Pick<Candidate, "freeCpuMillicores" | "freeMemoryMb" | "freeAccelerators" | "longRunningCount" | "longRunningPart"> {
    const room = freeResources(worker);
    const longRunning = [...worker.runs.values()].filter(run => run.isServing);
    const longRunningCpu = longRunning.reduce((sum, run) => sum + run.reserved.cpuMillicores, 0);
    return {
        freeCpuMillicores: room.cpuMillicores,
        freeMemoryMb: room.memoryMb,
        freeAccelerators: room.accelerators,
        longRunningCount: longRunning.length,
        longRunningPart: longRunningCpu / Math.max(1, worker.entry.capacity.cpuMillicores),
    };
}

/** Counts the step's existing runs per worker and per rack. */
function countStepRuns(candidates: readonly Candidate[], { job, step }: WaitingStep): void {
    const onWorker = new Map<string, number>();
    const onRack = new Map<string, number>();
    const rackOf = new Map(candidates.map(each => [each.workerId, each.rack]));
    for (const run of [...step.runs.values()].flat()) {
        const rack = rackOf.get(run.workerId) ?? "";
        onWorker.set(run.workerId, (onWorker.get(run.workerId) ?? 0) + 1);
        onRack.set(rack, (onRack.get(rack) ?? 0) + 1);
    }
    for (const candidate of candidates) {
        candidate.isStartRecorded = isWorkerPersisted(job, candidate.workerId);
        candidate.sameStepCount = onWorker.get(candidate.workerId) ?? 0;
        candidate.sameStepOnRackCount = onRack.get(candidate.rack) ?? 0;
    }
}

function canRun(state: SchedulerState, candidate: Candidate, { spec }: StepRecord, needed: Resources): boolean {
    return needed.cpuMillicores <= candidate.freeCpuMillicores && needed.memoryMb <= candidate.freeMemoryMb &&
        needed.accelerators <= candidate.freeAccelerators &&
        (state.isStoreWritable || candidate.isStartRecorded) &&
        (spec.requiredLabel === undefined || candidate.worker.entry.labels.includes(spec.requiredLabel)) &&
        (spec.maxTasksPerWorker === undefined || candidate.sameStepCount < spec.maxTasksPerWorker);
}

/** Reserves resources for one task on the best worker that can run it. */
function planTask(
    state: SchedulerState,
    waiting: WaitingStep,
    taskIndex: number,
    candidates: readonly Candidate[],
    runId: number,
    nowMs: number,
): Run | undefined {
    const { job, step } = waiting;
    const { spec } = step;
    if (!isWithinTeamLimit(state, job.submission.teamName, spec.request)) {
        return undefined;
    }
    const needed = reservedResources(spec);
    const best = placeTask(
        {
            isLongRunning: spec.isLongRunning,
            isFiller: spec.isFiller,
            preferredRack: spec.preferredRack,
        },
        candidates.filter(each => canRun(state, each, step, needed)),
    );
    if (!best) {
        return undefined;
    }
    const run = createRun(
        {
            taskName: formatTaskName(job.jobId, step.occurrence, step.index, taskIndex),
            jobId: job.jobId,
            occurrence: step.occurrence,
            stepIndex: step.index,
            taskIndex,
            runId,
            workerId: best.workerId,
        },
        runNeeds(job, step),
        nowMs,
    );
    attachRun(state, best.worker, step, run);
    Object.assign(best, freeCapacity(best.worker));
    best.sameStepCount += 1;
    candidates.filter(each => each.rack === best.rack).forEach(each => each.sameStepOnRackCount += 1);
    return run;
}

/** Plans starts for all tasks of a gang, or for none. */
function planGang(state: SchedulerState, waiting: WaitingStep, candidates: readonly Candidate[], nowMs: number): void {
    const { step } = waiting;
    if (step.runs.size > 0) {
        return;
    }
    const racks = step.spec.isRackBound ? [...new Set(candidates.map(each => each.rack))] : [undefined];
    for (const rack of racks) {
        const rackCandidates = rack === undefined ? candidates : candidates.filter(each => each.rack === rack);
        const runId = nextRunId(state);
        const runs: Run[] = [];
        for (const taskIndex of [...step.waiting]) {
            const run = planTask(state, waiting, taskIndex, rackCandidates, runId, nowMs);
            if (!run) {
                break;
            }
            runs.push(run);
        }
        if (runs.length === step.spec.taskCount) {
            return;
        }
        runs.forEach(run => detachRun(state, run));
        rackCandidates.forEach(each => Object.assign(each, freeCapacity(each.worker)));
    }
}

function planStep(state: SchedulerState, waiting: WaitingStep, candidates: readonly Candidate[], nowMs: number): void {
    countStepRuns(candidates, waiting);
    if (waiting.step.spec.isGang) {
        planGang(state, waiting, candidates, nowMs);
    }
    else {
        for (const taskIndex of [...waiting.step.waiting]) {
            if (!planTask(state, waiting, taskIndex, candidates, nextRunId(state), nowMs)) {
                break;
            }
        }
    }
    sendPersistedStarts(state, waiting.job, nowMs);
}

/** Plans starts for the waiting tasks that fit now, and sends those that need no write to the store first. */
export function dispatchWaitingTasks(state: SchedulerState, moment: Moment): void {
    const schedulable = new Set([...state.workers.values()].filter(worker => isSchedulable(state, worker, moment.nowMs)));
    cancelStaleStarts(state, schedulable);
    for (const [poolName, waiting] of collectWaiting(state, moment)) {
        const candidates = [...schedulable].filter(worker => worker.entry.poolName === poolName).map(createCandidate);
        if (candidates.length > 0) {
            orderSteps(waiting, moment.wallMs).forEach(each => planStep(state, each, candidates, moment.nowMs));
        }
    }
}
