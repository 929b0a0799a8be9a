/** Workers of a simulation that run tasks for a given time. Records runs of a task that overlap, and starts after an end as done that was acknowledged. */
import type { SeededRandom } from "../../harness/random.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { createEndLedger } from "./endLedger.js";

export interface CheckedWorkersOptions {
    random: SeededRandom;
    nowMs(): number;
    /** Whether a run that ends now fails. */
    isFailure(): boolean;
    violations: string[];
    record(...parts: unknown[]): void;
}

export interface CheckedWorkers {
    workers: readonly ModelWorker[];
    setDuration(jobId: string, durationMs: number): void;
    /** Ends the runs whose time is over, or whose leases have lapsed. */
    advance(): void;
    counts(): { startsCount: number; acknowledgedCount: number };
}

export const grantedLeaseMs = 10_000;
const maxWorkers = 3;

export function createCheckedWorkers({ random, nowMs, isFailure, violations, record }: CheckedWorkersOptions): CheckedWorkers {
    const durationsMs = new Map<string, number>();
    const startedAtMs = new Map<string, number>();
    let startsCount = 0;
    let acknowledgedCount = 0;

    const ledger = createEndLedger(nowMs, violations);
    const workers: ModelWorker[] = Array.from({ length: random.between(1, maxWorkers) }, (_, index) => {
        const id = `w${index + 1}`;
        const worker: ModelWorker = createModelWorker(
            id,
            taskName => {
                const other = workers.find(each => each.running.has(taskName));
                if (other) {
                    violations.push(`${taskName} starts on ${id} at ${nowMs()} while it runs on ${other.id}`);
                }
                startsCount += 1;
                record(id, "starts", taskName);
                ledger.recordStart(taskName, id);
                startedAtMs.set(`${id} ${taskName}`, nowMs());
            },
            () => undefined,
            {
                maxLeaseMs: grantedLeaseMs,
                onAcknowledged: end => {
                    acknowledgedCount += end.end === runEnds.done ? 1 : 0;
                    record(id, "forgets", `end ${end.endNumber}`, end.taskName, `run ${end.runId}`, end.end);
                    ledger.recordAcknowledged(end);
                },
            },
        );
        worker.capacity = random.between(2, 4);
        worker.clockOffsetMs = 500_000 * (index + 1);
        return worker;
    });
    const advance = (): void => {
        for (const worker of workers) {
            const isLapsed = nowMs() > worker.leaseEndsAtMs;
            if (isLapsed) {
                ledger.recordLapse(worker.ends);
            }
            for (const taskName of [...worker.running.keys()]) {
                if (isLapsed) {
                    record(worker.id, "lapsed", taskName);
                    worker.end(taskName, runEnds.lapsed);
                }
                else if (nowMs() - startedAtMs.get(`${worker.id} ${taskName}`)! >= durationsMs.get(taskName.split(".")[0]!)!) {
                    const isFailed = isFailure();
                    worker.end(taskName, isFailed ? runEnds.failed : runEnds.done);
                    const end = worker.ends.at(-1)!;
                    record(worker.id, end.end, taskName, `run ${end.runId}, end ${end.endNumber}`);
                    if (!isFailed) {
                        ledger.recordDone(worker.id, end);
                    }
                }
            }
        }
    };
    return {
        workers,
        setDuration: (jobId, durationMs) => void durationsMs.set(jobId, durationMs),
        advance,
        counts: () => ({ startsCount, acknowledgedCount }),
    };
}
