/** Ways in which the runs of a task are lost although it is not known whether they were at work when their worker ended. */
import assert from "node:assert/strict";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
import type { Run, WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { jobState, lastWorkerId, listAll, workersCount } from "./crashPool.js";
import { createSchedulerHarness, type SchedulerHarness, workerLeaseMs } from "./schedulerHarness.js";

export const lossesCount = 4;
/** All leases and the validity of a start have ended after this time. */
export const leasesEndMs = 20_000;
/** The validity of a start has ended after this time. */
export const startValidityEndsMs = 3_000;
/** A lease may have ended after this time; by the slack for the clocks it may also last longer. */
export const leaseMayEndMs = workerLeaseMs + 100;
export const hourMs = 3_600_000;

export type Loss = (harness: SchedulerHarness, workerId: string) => void;

/** The task has been started again after each of the losses. */
export function assertAtWork(harness: SchedulerHarness, lostCount: number): void {
    assert.ok(["queued", "running"].includes(String(jobState(harness))), `the job is ${jobState(harness)} after ${lostCount} losses`);
    const runs = harness.scheduler.state.jobs.get("job")!.occurrences.get(0)!.steps[0]!.runs.get(0) ?? [];
    assert.deepEqual(runs.map(run => run.phase === "starting" || run.phase === "running"), [true], `not started after ${lostCount} losses`);
}

export function loseRuns(harness: SchedulerHarness, lose: Loss, count = lossesCount): void {
    for (let lostCount = 1; lostCount <= count; lostCount++) {
        lose(harness, lastWorkerId(harness));
        harness.advance(100);
        listAll(harness);
        assertAtWork(harness, lostCount);
    }
}

export function entryOf(harness: SchedulerHarness, workerId: string): WorkerEntry {
    return harness.scheduler.state.workers.get(workerId)!.entry;
}

/** The worker does not respond while its runs lose their leases. */
export function letLeasesEnd(harness: SchedulerHarness, workerId: string): void {
    harness.answerStarts(commandOutcomes.accepted);
    harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
    harness.advance(leasesEndMs);
}

/** The worker's entry and its record are removed once its leases have ended. */
export function letWorkerLeave(harness: SchedulerHarness, workerId: string): WorkerEntry {
    const entry = entryOf(harness, workerId);
    harness.answerStarts(commandOutcomes.accepted);
    harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
    harness.advance(10);
    harness.scheduler.snapshotStateChanged(workerId, snapshotStates.written);
    harness.advance(leasesEndMs);
    harness.scheduler.unregisterWorker(workerId);
    harness.advance(10);
    assert.equal(harness.scheduler.state.workers.has(workerId), false);
    return entry;
}

export type Takeover = (next: SchedulerHarness, run: Run) => void;

/** The worker accepts the latest start, and another owner takes over with the progress that is stored. */
export function takeOverAfterStart(owner: SchedulerHarness, takeOver: Takeover): SchedulerHarness {
    owner.answerStarts(commandOutcomes.accepted);
    const run = owner.commands(commandKinds.start).at(-1)!;
    const progress = progressOf(owner.scheduler.state.jobs.get("job")!);
    const token = owner.scheduler.state.term.token + 10;
    const next = createSchedulerHarness({ workers: workersCount, cpuMillicores: 1_000, token });
    next.submit("job", { taskCount: 1, progress: { ...progress, workerIds: [run.workerId] } });
    takeOver(next, run);
    next.advance(100);
    listAll(next);
    return next;
}

export function registerAt(harness: SchedulerHarness, entry: WorkerEntry): void {
    const now = { nowMs: harness.nowMs(), wallMs: harness.nowMs() };
    harness.scheduler.registerWorker({ ...entry, workerId: `${entry.workerId}b`, bornWallMs: harness.nowMs() }, now);
}
