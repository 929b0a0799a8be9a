/** A pool of workers that crash, and the job whose tasks run on them. */
import { countCrashes } from "../../src/scheduling/jobRecord.js";
import { holdLease, minLeaseMs } from "../../src/scheduling/leases.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { createSchedulerHarness, type SchedulerHarness, type SchedulerHarnessOptions, workerLeaseMs } from "./schedulerHarness.js";

export const workersCount = 8;
export const crashesBeforeGivingUp = 3;
/** A task that has crashed three workers may be started twice more. */
export const unprovenCrashesBeforeGivingUp = crashesBeforeGivingUp + 2;
/** Bounds a test in which nothing is given up. */
const maxCrashes = 3 * workersCount;

/** Workers with room for one task of the default size. */
export function createPool(options: Partial<SchedulerHarnessOptions> = {}): SchedulerHarness {
    const harness = createSchedulerHarness({ workers: workersCount, cpuMillicores: 1_000, ...options });
    listAll(harness);
    return harness;
}

/** All workers that respond list that they run nothing, and hold their leases from now on. */
export function listAll(harness: SchedulerHarness): void {
    for (const worker of harness.scheduler.state.workers.values()) {
        if (worker.runs.size === 0 && worker.isRegistered) {
            harness.list(worker.entry.workerId, { sentAtMs: harness.nowMs(), isExtension: true });
        }
    }
}

export function lastWorkerId(harness: SchedulerHarness): string {
    return harness.commands(commandKinds.start).at(-1)!.workerId;
}

/** All workers confirm that their leases are extended, as they do to an owner that polls them. */
function extendLeases({ scheduler, nowMs }: SchedulerHarness): void {
    for (const [workerId, worker] of scheduler.state.workers) {
        scheduler.leaseExtensionSent(workerId, workerLeaseMs, nowMs());
        holdLease(worker, nowMs() + minLeaseMs(workerLeaseMs));
    }
}

/** The connections to the worker end, and its address refuses others, as when its process ends. */
export function endConnections({ scheduler, nowMs }: SchedulerHarness, workerId: string): void {
    scheduler.workerUnresponsive(workerId, nowMs(), "other side closed", true);
}

/** Lets the worker of the latest start crash until no more starts follow, and returns how many workers have crashed. */
export function crashWorkers(harness: SchedulerHarness, crash: (workerId: string) => void): number {
    let crashesCount = 0;
    while (harness.startedTasks().length > crashesCount && crashesCount < maxCrashes) {
        crashesCount = harness.startedTasks().length;
        extendLeases(harness);
        crash(lastWorkerId(harness));
        harness.advance(100);
        listAll(harness);
    }
    return crashesCount;
}

export function jobState(harness: SchedulerHarness): string | undefined {
    return harness.scheduler.state.jobs.get("job")?.state;
}

/** Crashes that are counted for the job's first task, proven or not. */
export function countedCrashes(harness: SchedulerHarness): number {
    const { provenCount, possibleCount } = countCrashes(harness.scheduler.state.jobs.get("job")!.occurrences.get(0)!.steps[0]!, 0);
    return provenCount + possibleCount;
}
