/**
 * Up to which number the ends that a worker lists may be acknowledged; it forgets them then. A worker that restarts under its id counts its
 * ends anew, and the next incarnation may carry out a start and a listing that were sent to the former one, in any order. Its end of such a
 * run must not be forgotten unseen: no listing acknowledges ends while a start has no response, and starts that follow a listing which did
 * have a higher fencing token, so that whoever has carried out one of them refuses that listing.
 */
import { commandToken, raiseToken } from "./commandToken.js";
import type { SchedulerState } from "./schedulerState.js";
import { runPhases, type WorkerRecord } from "./workerRecord.js";

/**
 * A worker whose acknowledgements were held up by starts for this long, or that has so many ends to forget, gets no new starts until those
 * under way have responses. An owner that is late has starts under way all the time. Platforms expect acknowledgements within 4 s or more.
 */
const maxHeldUpMs = 2_000;
const maxHeldUpEnds = 100;

/** Whether a start has no response, and nothing else has shown what became of it. */
function hasOpenStart({ runs }: WorkerRecord): boolean {
    const { starting, unsettled, stopping } = runPhases;
    return [...runs.values()].some(({ phase, isStartAccepted, isStartConfirmed }) =>
        (phase === starting || phase === unsettled || phase === stopping) && !isStartAccepted && !isStartConfirmed
    );
}

/** The highest end number up to which every end is stored. */
function storedEndNumber(worker: WorkerRecord): number {
    return worker.unsavedEnds.reduce((lowest, end) => Math.min(lowest, end.endNumber - 1), worker.lastEndNumber);
}

/** Whether ends that are stored wait for the responses to starts before they can be acknowledged. */
export function isAcknowledgementHeldUp(worker: WorkerRecord): boolean {
    return storedEndNumber(worker) > worker.acknowledgedEndNumber && hasOpenStart(worker);
}

/** Whether new starts would hold up the acknowledgements of the worker's ends for longer than they may. */
export function mustWaitForAcknowledgement(worker: WorkerRecord, nowMs: number): boolean {
    const { acknowledgementHeldUpSinceMs: sinceMs, lastEndNumber, acknowledgedEndNumber } = worker;
    return sinceMs !== undefined && (nowMs - sinceMs >= maxHeldUpMs || lastEndNumber - acknowledgedEndNumber >= maxHeldUpEnds);
}

/** Returns the end number for a listing that is sent now; 0 acknowledges nothing. */
export function takeAcknowledgement(worker: WorkerRecord, nowMs: number): number {
    if (hasOpenStart(worker)) {
        worker.acknowledgementHeldUpSinceMs = isAcknowledgementHeldUp(worker) ? worker.acknowledgementHeldUpSinceMs ?? nowMs : undefined;
        return 0;
    }
    worker.acknowledgementHeldUpSinceMs = undefined;
    const endNumber = storedEndNumber(worker);
    worker.acknowledgedEndNumber = endNumber;
    worker.hasTokenAcknowledged ||= endNumber > 0;
    return endNumber;
}

/** The token of a start that is sent now: above that of each listing that has acknowledged ends. */
export function takeStartToken(state: SchedulerState, worker: WorkerRecord): number {
    if (worker.hasTokenAcknowledged) {
        raiseToken(state, worker);
    }
    return commandToken(state.term.token, worker);
}

/** Why a listing that acknowledged ends was not seen to take effect. */
export const acknowledgementFailures = {
    /** It got no response, and a later incarnation of the worker may carry it out. */
    unanswered: "unanswered",
    /** A start that was sent later came before it, so that the worker refused it. */
    overtaken: "overtaken",
} as const;
export type AcknowledgementFailure = (typeof acknowledgementFailures)[keyof typeof acknowledgementFailures];

/** A listing that told the worker to forget ends. */
export interface SentAcknowledgement {
    endNumber: number;
    token: number;
    sentAtMs: number;
}

/** The listing was not seen to take effect: a later one acknowledges the ends again. */
export function repeatAcknowledgement(worker: WorkerRecord): void {
    worker.acknowledgedEndNumber = worker.forgottenEndNumber;
}

/** Tells, for the log, which starts without a response the listing may be carried out after. */
export function describeAcknowledgement(worker: WorkerRecord, { endNumber, token, sentAtMs }: SentAcknowledgement, nowMs: number): string {
    const starts = [...worker.runs.values()].filter(run => run.startedAtMs > sentAtMs && !run.isStartConfirmed && !run.isStartAccepted);
    const later = starts.map(({ taskName, runId }) => `${taskName}#${runId}`).join(", ");
    return `up to ${endNumber}, token ${token}, sent ${Math.round(nowMs - sentAtMs)} ms ago; unanswered starts since: ${later || "none"}`;
}
