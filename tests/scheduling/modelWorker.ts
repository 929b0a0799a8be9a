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
    /** When the lease ends, on the simulation's clock. */
    leaseEndsAtMs: number;
    /** By how much the clock of this incarnation is ahead of the simulation's. */
    clockOffsetMs: number;
    /** How many tasks the worker has room for, as its entry says; it starts whatever it is told to. */
    capacity: number;
    /** Running tasks and their run ids. */
    running: Map<string, number>;
    /** Highest run id that was stopped or ended, by task. */
    highestEndedRunIds: Map<string, number>;
    ends: ListedEnd[];
    /** Executes a start, which expires at `untilMs` on the worker's clock; returns `false` if it is refused. */
    start(command: ModelCommand & { untilMs: number }, nowMs: number): boolean;
    /** Extends the lease until a time on the worker's clock; a longer lease than the maximum is shortened to it. */
    extendLease(untilClockMs: number, nowMs: number): void;
    /** Forgets the ends up to this number. */
    acknowledge(endNumber: number): void;
    stop(command: ModelCommand): boolean;
    end(taskName: string, end: RunEnd): void;
    /** Begins another incarnation, which knows nothing of the previous one and has its own clock. */
    restart(clockOffsetMs?: number): void;
}

const defaultMaxLeaseMs = 6_000;

export interface ModelWorkerOptions {
    /** Longest lease that the worker grants; 6 s if not set. */
    maxLeaseMs?: number;
    /** Called with each end that the worker forgets because it was acknowledged. */
    onAcknowledged?(end: ListedEnd): void;
}

export function createModelWorker(
    id: string,
    onStart: (taskName: string) => void,
    onDone: (taskName: string) => void,
    { maxLeaseMs = defaultMaxLeaseMs, onAcknowledged = () => undefined }: ModelWorkerOptions = {},
): ModelWorker {
    let nextEndNumber = 1;
    const worker: ModelWorker = {
        id,
        bornWallMs: 1,
        leftAtMs: undefined,
        highestToken: 0,
        leaseEndsAtMs: 0,
        clockOffsetMs: 0,
        capacity: 1,
        running: new Map(),
        highestEndedRunIds: new Map(),
        ends: [],
        start: ({ taskName, runId, token, untilMs }, nowMs) => {
            if (
                token < worker.highestToken || nowMs + worker.clockOffsetMs > untilMs ||
                runId <= (worker.highestEndedRunIds.get(taskName) ?? 0)
            ) {
                return false;
            }
            worker.highestToken = token;
            if (worker.running.get(taskName) !== runId) {
                onStart(taskName);
                worker.running.set(taskName, runId);
                worker.extendLease(untilMs, nowMs);
            }
            return true;
        },
        extendLease: (untilClockMs, nowMs) => {
            const untilMs = Math.min(untilClockMs - worker.clockOffsetMs, nowMs + maxLeaseMs);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, untilMs);
        },
        acknowledge: endNumber => {
            const acknowledged = worker.ends.filter(end => end.endNumber <= endNumber);
            worker.ends = worker.ends.filter(end => end.endNumber > endNumber);
            acknowledged.forEach(onAcknowledged);
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
        restart: (clockOffsetMs = 0) => {
            worker.running.clear();
            worker.highestEndedRunIds.clear();
            worker.ends = [];
            nextEndNumber = 1;
            worker.highestToken = 0;
            worker.clockOffsetMs = clockOffsetMs;
            worker.bornWallMs += 1;
        },
    };
    return worker;
}
