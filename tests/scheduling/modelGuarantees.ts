/** The guarantees that the model checks, and what they refer to: which tasks have ended, and which ends were acknowledged. */
import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { type RunEnd, runEnds } from "../../src/scheduling/schedulerState.js";
import type { ModelWorker } from "./modelWorker.js";

export interface ModelGuarantees {
    doneTasks: Set<string>;
    /** Tasks whose end as done was acknowledged to their worker. */
    acknowledgedDone: Set<string>;
    /** Number of failed runs, by task. */
    failedRuns: Map<string, number>;
    /** The first guarantee that was violated. */
    violation(): string | undefined;
    /** Starts of the deadly task. */
    deadlyStartsCount(): number;
    /** Must be called before a worker starts the task. */
    checkStart(taskName: string, workers: readonly ModelWorker[]): void;
    /** Must be called before a worker starts a task in response to a command that was sent when its room was known. */
    checkRoom(worker: ModelWorker, runsCount: number): void;
    /** Must be called when progress was stored. */
    checkStored(progress: JobProgress): void;
    endFirstRun(worker: ModelWorker, end: RunEnd): void;
}

/** A task that has crashed three workers may be started twice more. */
const maxDeadlyStarts = 5;
/** A task may be given up after two crashes. */
const minCrashesBeforeGivingUp = 2;

/** `deadlyTask` crashes each worker that starts it. */
export function createModelGuarantees(deadlyTask?: string): ModelGuarantees {
    let deadlyStartsCount = 0;
    const doneTasks = new Set<string>();
    const acknowledgedDone = new Set<string>();
    const failedRuns = new Map<string, number>();
    let violation: string | undefined;
    const report = (text: string): void => {
        violation ??= text;
    };
    return {
        doneTasks,
        acknowledgedDone,
        failedRuns,
        violation: () => violation,
        deadlyStartsCount: () => deadlyStartsCount,
        checkStart: (taskName, workers) => {
            deadlyStartsCount += taskName === deadlyTask ? 1 : 0;
            if (deadlyStartsCount > maxDeadlyStarts) {
                report(`${taskName} has crashed ${maxDeadlyStarts} workers and starts again`);
            }
            if (workers.some(each => each.running.has(taskName))) {
                report(`${taskName} runs twice`);
            }
            if (acknowledgedDone.has(taskName)) {
                report(`${taskName} starts after its end was acknowledged`);
            }
            if (taskName === "job.0.1.0" && !doneTasks.has("job.0.0.0")) {
                report("a step starts before the one that it depends on is done");
            }
        },
        checkRoom: (worker, runsCount) => {
            if (runsCount >= worker.capacity) {
                report(`${worker.id} starts a task for which it has no room`);
            }
        },
        checkStored: ({ state }) => {
            if (state === jobStates.failed && deadlyTask !== undefined && deadlyStartsCount < minCrashesBeforeGivingUp) {
                report("the job shows as failed before two workers have crashed");
            }
            if (state === jobStates.completed && doneTasks.size < 2) {
                report("the job shows as completed before its tasks are done");
            }
        },
        endFirstRun: (worker, end) => {
            const taskName = [...worker.running.keys()][0]!;
            worker.end(taskName, end);
            if (end === runEnds.failed) {
                failedRuns.set(taskName, (failedRuns.get(taskName) ?? 0) + 1);
            }
        },
    };
}
