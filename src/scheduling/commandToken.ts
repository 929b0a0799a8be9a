/**
 * Fencing tokens of commands to workers. A worker that restarts under its id cannot tell which of its incarnations a command was meant for,
 * so each has tokens of its own: once the new one has received a command, it refuses those that were sent to the former one.
 */
import type { SchedulerState } from "./schedulerState.js";
import type { WorkerRecord } from "./workerRecord.js";

/** Tokens that one worker can have in one term. */
const tokensPerTerm = 100_000;
/** A term in which a worker has had so many must end; the rest is for commands until it has ended. */
const usableTokensPerTerm = tokensPerTerm - 1_000;

/** The present token of commands to the worker: above all tokens of earlier terms, and of those that it had before in this one. */
export function commandToken(termToken: number, worker: Pick<WorkerRecord, "formerTokensCount"> | undefined): number {
    return termToken * tokensPerTerm + Math.min(worker?.formerTokensCount ?? 0, tokensPerTerm - 1);
}

/** Begins the worker's next token. */
export function raiseToken(state: SchedulerState, worker: WorkerRecord): void {
    worker.formerTokensCount += 1;
    worker.hasTokenAcknowledged = false;
    state.areTokensUsedUp ||= worker.formerTokensCount >= usableTokensPerTerm;
}
