/** All of a scheduler's state that can make a difference, so that an explorer can tell states apart. */
import type { JobRecord } from "../../src/scheduling/jobRecord.js";
import type { Scheduler } from "../../src/scheduling/scheduler.js";
import type { WorkerRecord } from "../../src/scheduling/workerRecord.js";

function describeWorker(worker: WorkerRecord): unknown {
    return [
        worker.isSettled,
        worker.entry.bornWallMs,
        worker.leaseEndsAtMs,
        worker.lastEndNumber,
        worker.unsavedEnds,
        worker.avoidedUntilMs,
        worker.lastAnswerAtMs,
        worker.silentSinceMs,
        worker.note,
        [...worker.runs.values()].map(run => [run.taskName, run.runId, run.phase, run.answeredAtMs, run.hasBegun]),
    ];
}

function describeJob(job: JobRecord): unknown {
    const steps = [...job.occurrences.values()].flatMap(occurrence => occurrence.steps);
    return [job.state, job.version - job.persistedVersion, steps.map(step => [[...step.waiting], [...step.heldBack], [...step.done]])];
}

export function describeScheduler({ state }: Scheduler): unknown {
    return [[...state.workers.values()].map(describeWorker), [...state.jobs.values()].map(describeJob)];
}
