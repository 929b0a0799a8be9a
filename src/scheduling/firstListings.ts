/** In which order a new owner asks the workers what they run. */
import { countWaitingTasks, isFinalState } from "./jobRecord.js";
import type { SchedulerState } from "./schedulerState.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import type { WorkerRecord } from "./workerRecord.js";

interface Needs {
    /** Tasks that could start on any worker of the pool. */
    byPool: Map<string, number>;
    /** Tasks of jobs that start nothing before the worker is known. */
    byWorker: Map<string, number>;
}

function add(counts: Map<string, number>, key: string, count: number): void {
    counts.set(key, (counts.get(key) ?? 0) + count);
}

function countNeeds(state: SchedulerState, wallMs: number): Needs {
    const needs: Needs = { byPool: new Map(), byWorker: new Map() };
    for (const job of state.jobs.values()) {
        const poolName = state.policy.queues.get(job.submission.queueName)?.poolName;
        if (poolName === undefined || isFinalState(job.state)) {
            continue;
        }
        const waitingCount = countWaitingTasks(job, wallMs);
        if (job.formerWorkerIds.size > 0) {
            job.formerWorkerIds.forEach(workerId => add(needs.byWorker, workerId, waitingCount));
        }
        else {
            add(needs.byPool, poolName, waitingCount);
        }
    }
    return needs;
}

/**
 * Returns the workers in the order in which they let waiting tasks start. Those with a snapshot come first, since their leases are not extended before;
 * those without an entry come last, since they get no starts.
 */
export function orderFirstListings(state: SchedulerState, workers: readonly WorkerRecord[], wallMs: number): WorkerRecord[] {
    const { byPool, byWorker } = countNeeds(state, wallMs);
    const rank = ({ isRegistered, snapshotState, entry: { workerId, poolName } }: WorkerRecord): number => {
        if (snapshotState !== snapshotStates.none) {
            return Number.POSITIVE_INFINITY;
        }
        return isRegistered ? (byPool.get(poolName) ?? 0) + (byWorker.get(workerId) ?? 0) : -1;
    };
    const ranked = workers.map(worker => ({ worker, rank: rank(worker) }));
    return ranked.sort((a, b) => b.rank === a.rank ? 0 : b.rank - a.rank).map(({ worker }) => worker);
}
