/** Measures which ready tasks wait for each pool, in the process that owns the scheduling. */
import { jobLateness } from "../scheduling/jobLateness.js";
import { isFinalState, readyStepsOf, type StepRecord } from "../scheduling/jobRecord.js";
import { fitsInto, type Resources } from "../scheduling/jobTypes.js";
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { isInEvacuatedZone } from "../scheduling/startPermission.js";
import { expectedPathMs } from "../scheduling/taskDurations.js";
import type { WorkerRecord } from "../scheduling/workerRecord.js";
import { freeResources } from "../scheduling/workerRoom.js";

/** CPU that ready waiting tasks request in a pool. */
export interface WaitingDemand {
    /** Of jobs that can be in time. */
    inTimeMillicores: number;
    /** The part of that whose tasks fit on no worker of the pool now, but on an empty one. */
    unplaceableMillicores: number;
    /** VMs that those need whose step limits how many of its tasks share one. */
    apartVmCount: number;
    overdueMillicores: number;
}

export const noWaitingDemand: Readonly<WaitingDemand> = {
    inTimeMillicores: 0,
    unplaceableMillicores: 0,
    apartVmCount: 0,
    overdueMillicores: 0,
};

/** Whether the worker gets new tasks if it has room. */
function isAvailable({ isRegistered, hasEnded, isCordoned, unresponsiveSinceMs }: WorkerRecord): boolean {
    return isRegistered && !hasEnded && !isCordoned && unresponsiveSinceMs === undefined;
}

interface Room {
    workerId: string;
    free: Resources;
}

const noWorkers: ReadonlySet<string> = new Set();

/** Workers that run as many tasks of the step as one worker may; without them, a pool keeps too few VMs for such a step for good. */
function workersAtStepLimit({ spec, runs }: StepRecord): ReadonlySet<string> {
    const { maxTasksPerWorker } = spec;
    if (maxTasksPerWorker === undefined) {
        return noWorkers;
    }
    const counts = new Map<string, number>();
    for (const run of [...runs.values()].flat()) {
        counts.set(run.workerId, (counts.get(run.workerId) ?? 0) + 1);
    }
    return new Set([...counts].filter(([, count]) => count >= maxTasksPerWorker).map(([workerId]) => workerId));
}

/** Returns the CPU that waits for each pool; without an entry, none does. */
export function measureWaitingDemand(state: SchedulerState, wallMs: number): Map<string, WaitingDemand> {
    const workers = [...state.workers.values()].filter(worker => isAvailable(worker) && !isInEvacuatedZone(state.startPermission, worker));
    const roomsByPool = new Map<string, Room[]>();
    for (const worker of workers) {
        const { poolName, workerId } = worker.entry;
        const rooms = roomsByPool.get(poolName) ?? [];
        roomsByPool.set(poolName, rooms);
        rooms.push({ workerId, free: freeResources(worker) });
    }
    const countsStepLimits = state.features.adaptivePools || state.features.stepLimits;
    const isUnplaceable = (step: StepRecord, poolName: string): boolean => {
        const { request } = step.spec;
        const fullWorkerIds = countsStepLimits ? workersAtStepLimit(step) : noWorkers;
        return !(roomsByPool.get(poolName) ?? []).some(room => !fullWorkerIds.has(room.workerId) && fitsInto(request, room.free)) &&
            workers.some(worker => fitsInto(request, worker.entry.capacity));
    };

    const demandByPool = new Map<string, WaitingDemand>();
    for (const job of state.jobs.values()) {
        const queue = state.policy.queues.get(job.submission.queueName);
        if (queue === undefined || isFinalState(job.state)) {
            continue;
        }
        for (const { occurrence, step } of readyStepsOf(job, wallMs)) {
            const demand = demandByPool.get(queue.poolName) ?? { ...noWaitingDemand };
            demandByPool.set(queue.poolName, demand);
            const { spec } = step;
            const waitingMillicores = step.waiting.size * spec.request.cpuMillicores;
            if (!spec.isLongRunning && jobLateness(job, occurrence, queue, expectedPathMs(state, job, step), wallMs) > 0) {
                demand.overdueMillicores += waitingMillicores;
                continue;
            }
            demand.inTimeMillicores += waitingMillicores;
            if (isUnplaceable(step, queue.poolName)) {
                demand.unplaceableMillicores += waitingMillicores;
                // Tasks of different steps may share these VMs.
                demand.apartVmCount = Math.max(demand.apartVmCount, Math.ceil(step.waiting.size / (spec.maxTasksPerWorker ?? Infinity)));
            }
        }
    }
    return demandByPool;
}
