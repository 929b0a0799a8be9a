/**
 * Ends of tasks as done in a simulation. A task must not start after one that is acknowledged then or later, unless the lease of its worker
 * lapsed before the acknowledgement: the owner could then not know of the end.
 */
import type { ListedEnd } from "../../src/scheduling/reconcileListing.js";

export interface EndLedger {
    recordStart(taskName: string, workerId: string): void;
    recordDone(workerId: string, end: ListedEnd): void;
    recordAcknowledged(end: ListedEnd): void;
    /** The lease of the worker that keeps these ends has lapsed. */
    recordLapse(ends: readonly ListedEnd[]): void;
}

interface DoneEnd {
    workerId: string;
    atMs: number;
    isLapsed: boolean;
    acknowledgedAtMs: number | undefined;
}

export function createEndLedger(nowMs: () => number, violations: string[]): EndLedger {
    const doneEnds = new Map<ListedEnd, DoneEnd>();
    const starts: { taskName: string; workerId: string; atMs: number }[] = [];

    const check = (taskName: string, done: DoneEnd, start: { workerId: string; atMs: number }): void => {
        if (start.atMs > done.atMs) {
            violations.push(
                `${taskName} starts on ${start.workerId} at ${start.atMs} after it ended as done on ${done.workerId} at ${done.atMs}, ` +
                    `acknowledged at ${done.acknowledgedAtMs}`,
            );
        }
    };
    return {
        recordStart: (taskName, workerId) => {
            const start = { taskName, workerId, atMs: nowMs() };
            starts.push(start);
            for (const [end, done] of doneEnds) {
                if (end.taskName === taskName && done.acknowledgedAtMs !== undefined) {
                    check(taskName, done, start);
                }
            }
        },
        recordDone: (workerId, end) => {
            doneEnds.set(end, { workerId, atMs: nowMs(), isLapsed: false, acknowledgedAtMs: undefined });
        },
        recordAcknowledged: end => {
            const done = doneEnds.get(end);
            if (done && !done.isLapsed) {
                done.acknowledgedAtMs = nowMs();
                starts.filter(({ taskName }) => taskName === end.taskName).forEach(start => check(end.taskName, done, start));
            }
        },
        recordLapse: ends => {
            for (const end of ends) {
                const done = doneEnds.get(end);
                if (done) {
                    done.isLapsed = true;
                }
            }
        },
    };
}
