/** Why a worker gets no new runs now. */
import { mustWaitForAcknowledgement } from "./acknowledgedEnds.js";
import type { SchedulerState } from "./schedulerState.js";
import { isStartPermitted } from "./startPermission.js";
import { snapshotStates } from "./unresponsiveWorkers.js";
import type { WorkerRecord } from "./workerRecord.js";

export const startObstacles = {
    /** The store holds no readable entry of it, or none of its present incarnation. */
    noEntry: "no entry",
    /** It has not listed its runs to this owner, or not since a response by another clock. */
    notListed: "not listed",
    /** It has been silent for too long. */
    silent: "silent",
    /** The store may hold a snapshot of it. */
    snapshot: "snapshot",
    /** It drains, has ended or is cordoned, or nothing may start in its zone. */
    leaving: "leaving",
    /** It has refused starts or failed runs. */
    avoided: "avoided",
    /** Its ends have to be acknowledged first. */
    unacknowledged: "unacknowledged",
    /** A newer owner may exist, whose commands the worker would not know. */
    unfenced: "unfenced",
} as const;
export type StartObstacle = (typeof startObstacles)[keyof typeof startObstacles];

/** A worker gets no new runs once its last response is older than this; listings are answered within two seconds. */
export const responseTimeoutMs = 2_500;

/** Whether a newer owner would keep this process from starting a task on the worker that it starts too. */
function isFencedByNewerOwner(state: SchedulerState, worker: WorkerRecord): boolean {
    return state.isOwnershipProven || worker.hasRespondedToProvenOwner;
}

/** Returns why the worker gets no new runs; `undefined` if it may get some. */
export function findStartObstacle(state: SchedulerState, worker: WorkerRecord, nowMs: number): StartObstacle | undefined {
    if (worker.hasEnded || worker.isCordoned || worker.entry.isDraining || !isStartPermitted(state.startPermission, worker, nowMs)) {
        return startObstacles.leaving;
    }
    if (!worker.isRegistered || !worker.isEntryCurrent) {
        return startObstacles.noEntry;
    }
    if (worker.snapshotState !== snapshotStates.none) {
        return startObstacles.snapshot;
    }
    if (!worker.hasListed || worker.doubtedAtMs !== undefined) {
        return startObstacles.notListed;
    }
    if (worker.lastResponseAtMs === undefined || nowMs - worker.lastResponseAtMs >= responseTimeoutMs) {
        return startObstacles.silent;
    }
    if (worker.avoidedUntilMs > nowMs) {
        return startObstacles.avoided;
    }
    if (!isFencedByNewerOwner(state, worker)) {
        return startObstacles.unfenced;
    }
    return mustWaitForAcknowledgement(worker, nowMs) ? startObstacles.unacknowledged : undefined;
}
