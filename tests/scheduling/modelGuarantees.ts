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
    /** Must be called before a worker starts the task. */
    checkStart(taskName: string, workers: readonly ModelWorker[]): void;
    /** Must be called when progress was stored. */
    checkStored(progress: JobProgress): void;
    endFirstRun(worker: ModelWorker, end: RunEnd): void;
}

export function createModelGuarantees(): ModelGuarantees {
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
        checkStart: (taskName, workers) => {
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
        checkStored: ({ state }) => {
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
