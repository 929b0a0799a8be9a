/** Up to which number the ends that a worker lists may be acknowledged; it forgets them then. */
import { runPhases, type WorkerRecord } from "./workerRecord.js";

/** Whether a start got no response, and nothing else has shown what became of it. */
function hasUnansweredStart({ runs }: WorkerRecord): boolean {
    return [...runs.values()].some(({ phase, isStartAccepted, isStartConfirmed }) =>
        (phase === runPhases.unsettled || phase === runPhases.stopping) && !isStartAccepted && !isStartConfirmed
    );
}

/**
 * The highest end number up to which every end is stored. 0 after a start without a response: the worker may have restarted, and would
 * forget ends that nobody has seen.
 */
export function acknowledgedEndNumber(worker: WorkerRecord): number {
    return hasUnansweredStart(worker) ?
        0 :
        worker.unsavedEnds.reduce((lowest, end) => Math.min(lowest, end.endNumber - 1), worker.lastEndNumber);
}
