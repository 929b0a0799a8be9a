/**
 * Fencing tokens of commands to workers. A worker that restarts under its id cannot tell which of its incarnations a command was meant for,
 * so each has a token of its own: once the new one has received a command, it refuses those that were sent to the former one.
 */
import type { WorkerRecord } from "./workerRecord.js";

/** More than the incarnations of a worker that one term ever knows. */
const incarnationsPerTerm = 100_000;

/** Returns a token that rises with the term, and within it with each incarnation of the worker. */
export function commandToken(termToken: number, worker: Pick<WorkerRecord, "formerIncarnationsCount"> | undefined): number {
    return termToken * incarnationsPerTerm + Math.min(worker?.formerIncarnationsCount ?? 0, incarnationsPerTerm - 1);
}
