/** A pool of workers that crash, and the job whose tasks run on them. */
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness, type SchedulerHarnessOptions } from "./schedulerHarness.js";

export const workersCount = 8;
export const crashesBeforeGivingUp = 3;
/** Bounds a test in which nothing is given up. */
const maxCrashes = 3 * workersCount;

/** Workers with room for one task of the default size. */
export function createPool(options: Partial<SchedulerHarnessOptions> = {}): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: workersCount, cpuMillicores: 1_000, ...options });
    listAll(harness);
    return harness;
}

/** All workers that respond list that they run nothing. */
export function listAll(harness: SchedulerHarness): void {
    for (const worker of harness.scheduler.state.workers.values()) {
        if (worker.runs.size === 0 && worker.isRegistered) {
            harness.list(worker.entry.workerId, { sentAtMs: harness.nowMs() });
        }
    }
}

export function lastWorkerId(harness: SchedulerHarness): string {
    return harness.commands(commandKinds.start).at(-1)!.workerId;
}

/** Lets the worker of the latest start crash until no more starts follow, and returns how many workers have crashed. */
export function crashWorkers(harness: SchedulerHarness, crash: (workerId: string) => void): number {
    let crashesCount = 0;
    while (harness.startedTasks().length > crashesCount && crashesCount < maxCrashes) {
        crashesCount = harness.startedTasks().length;
        crash(lastWorkerId(harness));
        harness.advance(100);
        listAll(harness);
    }
    return crashesCount;
}

export function jobState(harness: SchedulerHarness): string | undefined {
    return harness.scheduler.state.jobs.get("job")?.state;
}

/** Counted crashes of the job's first task. */
export function countedCrashes(harness: SchedulerHarness): number {
    const job = harness.scheduler.state.jobs.get("job")!;
    return job.occurrences.get(0)!.steps[0]!.tasks.get(0)?.crashedRunIds?.length ?? 0;
}
