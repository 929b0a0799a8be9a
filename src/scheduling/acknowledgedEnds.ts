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

/** A listing that told the worker to forget ends. */
export interface SentAcknowledgement {
    endNumber: number;
    token: number;
    sentAtMs: number;
}

/** Tells, for the log, which starts without a response the listing may overtake or follow. */
export function describeAcknowledgement(worker: WorkerRecord, { endNumber, token, sentAtMs }: SentAcknowledgement, nowMs: number): string {
    const starts = [...worker.runs.values()].filter(run => run.startedAtMs > sentAtMs && !run.isStartConfirmed && !run.isStartAccepted);
    const later = starts.map(({ taskName, runId }) => `${taskName}#${runId}`).join(", ");
    return `up to ${endNumber}, token ${token}, sent ${Math.round(nowMs - sentAtMs)} ms ago; unanswered starts since: ${later || "none"}`;
}
