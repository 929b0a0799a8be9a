/** All state of a scheduler that can affect its behaviour, so that an explorer can tell states apart. */
import type { JobRecord } from "../../src/scheduling/jobRecord.js";
import type { Scheduler } from "../../src/scheduling/scheduler.js";
import type { WorkerRecord } from "../../src/scheduling/workerRecord.js";
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";

function describeWorker(worker: WorkerRecord): unknown {
    return [
        worker.isRegistered,
        worker.isRunStateKnown,
        worker.hasListed,
        worker.doubtedAtMs,
        worker.formerTokensCount,
        worker.hasTokenAcknowledged,
        worker.acknowledgedEndNumber,
        worker.forgottenEndNumber,
        worker.acknowledgementHeldUpSinceMs,
        worker.strayLeasesEndAtMs,
        worker.hasRespondedToProvenOwner,
        worker.entry.bornWallMs,
        worker.entry.capacity.cpuMillicores,
        worker.lastContactAtMs,
        worker.unexplainedRuns.map(({ run }) => run.runId),
        worker.leaseEndsAtMs,
        worker.lastEndNumber,
        worker.unsavedEnds,
        worker.avoidedUntilMs,
        worker.lastResponseAtMs,
        worker.unresponsiveSinceMs,
        worker.snapshotState,
        [...worker.runs.values()].map(
            run => [
                run.taskName,
                run.runId,
                run.phase,
                run.respondedAtMs,
                run.isStartConfirmed,
                run.suspectOfRestart?.isProven,
                run.isStartAccepted,
            ],
        ),
    ];
}

function describeJob(job: JobRecord): unknown {
    const steps = [...job.occurrences.values()].flatMap(occurrence => occurrence.steps);
    const workerIds = [job.formerWorkerIds, job.persistedWorkerIds].map(each => [...each]);
    return [
        job.state,
        job.version - job.persistedVersion,
        workerIds,
        job.workerIdsInFlight && [...job.workerIdsInFlight],
        steps.map(step => [[...step.waiting], [...step.heldBack], [...step.adopted], [...step.done], [...step.tasks]]),
    ];
}

export function describeScheduler({ state }: Scheduler): unknown {
    return [[...state.workers.values()].map(describeWorker), [...state.jobs.values()].map(describeJob), [...state.departedWorkers]];
}

export function describePendingCommand(pending: PendingCommand): unknown {
    const { kind, run } = pending.command;
    return [
        pending.isSentBeforeShrinkage,
        pending.owner,
        pending.token,
        kind,
        run.taskName,
        run.runId,
        run.workerId,
        pending.sentAtMs,
        pending.isLate,
        pending.bornWallMs,
        pending.isSettled,
    ];
}

export function describeModelWorker(worker: ModelWorker): unknown {
    return [worker.capacity, worker.bornWallMs, worker.leftAtMs, worker.highestToken, worker.leaseEndsAtMs, [...worker.running], [
        ...worker.highestEndedRunIds,
    ], worker.ends];
}

export function describeOwner(owner: ModelOwner): unknown {
    const incarnations = [[...owner.unansweredListings], [...owner.reachedIncarnations]];
    return [owner.token, owner.isProven, [...owner.partitionedFrom], incarnations, describeScheduler(owner.scheduler)];
}
