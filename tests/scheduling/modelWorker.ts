/**
 * A worker in the model. It refuses commands with an outdated fencing token, runs its tasks under one lease, and repeats
 * ends until they are acknowledged.
 */
import type { ListedEnd } from "../../src/scheduling/reconcileListing.js";
import { type RunEnd, runEnds } from "../../src/scheduling/schedulerState.js";

export interface ModelCommand {
    taskName: string;
    runId: number;
    token: number;
}

export interface ModelWorker {
    id: string;
    bornWallMs: number;
    /** When the worker ended for good; `undefined` while it runs. */
    leftAtMs: number | undefined;
    highestToken: number;
    leaseEndsAtMs: number;
    /** How many tasks the worker has room for, as its entry says; it starts whatever it is told to. */
    capacity: number;
    /** Running tasks and their run ids. */
    running: Map<string, number>;
    /** Highest run id that was stopped or ended, by task. */
    highestEndedRunIds: Map<string, number>;
    ends: ListedEnd[];
    /** Executes a start; returns `false` if it is refused. */
    start(command: ModelCommand & { untilMs: number }, nowMs: number): boolean;
    stop(command: ModelCommand): boolean;
    end(taskName: string, end: RunEnd): void;
    /** Begins another incarnation, which knows nothing of the previous one. */
    restart(): void;
}

export function createModelWorker(id: string, onStart: (taskName: string) => void, onDone: (taskName: string) => void): ModelWorker {
    let nextEndNumber = 1;
    const worker: ModelWorker = {
        id,
        bornWallMs: 1,
        leftAtMs: undefined,
        highestToken: 0,
        leaseEndsAtMs: 0,
        capacity: 1,
        running: new Map(),
        highestEndedRunIds: new Map(),
        ends: [],
        start: ({ taskName, runId, token, untilMs }, nowMs) => {
            if (token < worker.highestToken || nowMs > untilMs || runId <= (worker.highestEndedRunIds.get(taskName) ?? 0)) {
                return false;
            }
            worker.highestToken = token;
            if (worker.running.get(taskName) !== runId) {
                onStart(taskName);
                worker.running.set(taskName, runId);
                worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, untilMs);
            }
            return true;
        },
        stop: ({ taskName, runId, token }) => {
            if (token < worker.highestToken) {
                return false;
            }
            worker.highestToken = token;
            worker.highestEndedRunIds.set(taskName, Math.max(runId, worker.highestEndedRunIds.get(taskName) ?? 0));
            if (worker.running.get(taskName) === runId) {
                worker.end(taskName, runEnds.stopped);
            }
            return true;
        },
        end: (taskName, end) => {
            const runId = worker.running.get(taskName)!;
            worker.running.delete(taskName);
            worker.highestEndedRunIds.set(taskName, Math.max(runId, worker.highestEndedRunIds.get(taskName) ?? 0));
            worker.ends.push({ endNumber: nextEndNumber++, taskName, runId, end, checkpoint: "" });
            if (end === runEnds.done) {
                onDone(taskName);
            }
        },
        restart: () => {
            worker.running.clear();
            worker.highestEndedRunIds.clear();
            worker.ends = [];
            nextEndNumber = 1;
            worker.highestToken = 0;
            worker.bornWallMs += 1;
        },
    };
    return worker;
}
