/**
 * Measures the processor time of the scheduling owner at grown size: the real scheduler, with workers, store and clock simulated.
 * Passes follow events as in the scheduling service. The digest covers all commands in their
 * order, so that two versions with the same digest made the same decisions.
 * Usage: `node dist/bench/schedulingPass.js [seconds] [scale]`.
 */
import { createHash } from "node:crypto";
import { createSchedulingLoad, createSimulatedWorker, createVirtualTime, type SimulatedWorker } from "../harness/schedulingLoad.js";
import { createManualTimerService } from "../src/common/timerService.js";
import { logEvents } from "../src/process/logEvents.js";
import { createLogger } from "../src/process/logger.js";
import { passDelayMs } from "../src/process/passTrigger.js";
import { commandOutcomes } from "../src/scheduling/commandOutcomes.js";
import { encodeProgress, encodeSubmission } from "../src/scheduling/jobDocuments.js";
import { jobStates, type JobSubmission } from "../src/scheduling/jobTypes.js";
import type { Listing, Moment } from "../src/scheduling/reconcileListing.js";
import { createScheduler } from "../src/scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../src/scheduling/schedulerState.js";
import type { Run } from "../src/scheduling/workerRecord.js";

const seed = 20261204;
const runS = Number(process.argv[2] ?? 36);
const scale = Number(process.argv[3] ?? 1);
const warmUpMs = 2_000;
const linkMs = 2;
const storeMs = 6;
const longPollMs = 1_000;
const leaseMs = 6_000;
const saveIntervalMs = 20;
const maxSaveWaitMs = 40;
const jobsPerWrite = 15;
const maxWritesInFlight = 3;

interface PartTime {
    callsCount: number;
    totalMs: number;
    /** Time of the parts that were measured within this one. */
    innerMs: number;
}

/** Measures the time of each part of the work, without the parts within it. */
function createPartTimes() {
    const parts = new Map<string, PartTime>();
    const open: PartTime[] = [];
    return {
        measure: <T>(name: string, call: () => T): T => {
            const part = parts.get(name) ?? { callsCount: 0, totalMs: 0, innerMs: 0 };
            parts.set(name, part);
            open.push(part);
            const startedMs = performance.now();
            const result = call();
            const elapsedMs = performance.now() - startedMs;
            open.pop();
            part.callsCount += 1;
            part.totalMs += elapsedMs;
            const outer = open.at(-1);
            if (outer) {
                outer.innerMs += elapsedMs;
            }
            return result;
        },
        clear: () => parts.clear(),
        report: (simulatedS: number): void => {
            const rows = [...parts].map(([name, part]) => ({ name, callsCount: part.callsCount, ownMs: part.totalMs - part.innerMs }));
            const sumMs = rows.reduce((sum, row) => sum + row.ownMs, 0);
            for (const { name, callsCount, ownMs } of rows) {
                console.log(
                    `${name.padEnd(20)} ${(ownMs / simulatedS).toFixed(1).padStart(7)} ms/s  ${
                        (callsCount / simulatedS).toFixed(0).padStart(6)
                    } calls/s  ${(1000 * ownMs / Math.max(1, callsCount)).toFixed(1).padStart(7)} µs/call`,
                );
            }
            console.log(`${"sum".padEnd(20)} ${(sumMs / simulatedS).toFixed(1).padStart(7)} ms/s`);
        },
    };
}

const time = createVirtualTime();
const load = createSchedulingLoad(seed, scale);
const parts = createPartTimes();
const digest = createHash("sha256");
const logger = createLogger({
    minimumLevel: "info",
    processFields: { role: "owner", memberId: "bench", zone: "zone-0" },
    write: () => undefined,
    timers: createManualTimerService(),
    signal: new AbortController().signal,
});
const submissions = new Map<string, JobSubmission>();
const workers = new Map<string, SimulatedWorker>();
const moment = (): Moment => ({ nowMs: time.nowMs(), wallMs: time.nowMs() });
const scheduler = createScheduler({
    policy: load.policy,
    term: { token: 1, startedWallMs: 0, unknownWorkersUntilMs: 0 },
    workerLeaseMs: leaseMs,
    taskStopMs: 900,
    onDecision: decision => parts.measure("log", () => logger.log(logEvents.schedulingDecided, { ...decision })),
});
const sessionsWaitingForSave = new Set<string>();
let isPassDue = true;
let lastPassAtMs = 0;
let writesInFlight = 0;
let startsCount = 0;
let endsCount = 0;
let completedJobsCount = 0;
let completionSumMs = 0;
let mostWaitingTasksCount = 0;
let mostJobsCount = 0;

function hasUnsavedEnds(workerId: string): boolean {
    return scheduler.state.workers.get(workerId)!.unsavedEnds.length > 0;
}

function handleListing(workerId: string, listing: Listing, sentAtMs: number): void {
    endsCount += listing.ended.length;
    parts.measure("listing", () => scheduler.listingReceived(workerId, listing, sentAtMs, moment()));
    isPassDue = true;
    if (hasUnsavedEnds(workerId)) {
        sessionsWaitingForSave.add(workerId);
        time.after(maxSaveWaitMs, () => pollAfterSave(workerId));
    }
    else {
        poll(workerId, longPollMs);
    }
}

function list(workerId: string, waitMs: number, handle: (listing: Listing, sentAtMs: number) => void): void {
    const sentAtMs = time.nowMs();
    const acknowledged = parts.measure("acknowledgement", () => scheduler.acknowledgedEndNumber(workerId));
    scheduler.leaseExtensionSent(workerId, leaseMs, sentAtMs);
    time.after(
        linkMs,
        () => workers.get(workerId)!.list(acknowledged, waitMs, listing => time.after(linkMs, () => handle(listing, sentAtMs))),
    );
}

function poll(workerId: string, waitMs: number): void {
    list(workerId, waitMs, (listing, sentAtMs) => handleListing(workerId, listing, sentAtMs));
}

function pollAfterSave(workerId: string): void {
    if (sessionsWaitingForSave.delete(workerId)) {
        poll(workerId, longPollMs);
    }
}

function listOnce(workerId: string): void {
    list(workerId, 0, (listing, sentAtMs) => {
        parts.measure("listing", () => scheduler.listingReceived(workerId, listing, sentAtMs, moment()));
        isPassDue = true;
    });
}

function flushProgress(): void {
    while (writesInFlight < maxWritesInFlight) {
        const taken = parts.measure("take unsaved", () => scheduler.takeUnsavedJobs(jobsPerWrite));
        if (taken.length === 0) {
            return;
        }
        parts.measure("encode progress", () => taken.forEach(job => encodeProgress(job.progress)));
        writesInFlight += 1;
        time.after(storeMs, () => {
            writesInFlight -= 1;
            parts.measure("progress saved", () => taken.forEach(job => scheduler.progressSaved(job.jobId, job.version, time.nowMs())));
            taken.filter(job => job.progress.state === jobStates.completed).forEach(job => countCompleted(job.jobId));
            [...sessionsWaitingForSave].filter(workerId => !hasUnsavedEnds(workerId)).forEach(pollAfterSave);
            isPassDue = true;
        });
    }
}

function countCompleted(jobId: string): void {
    completedJobsCount += 1;
    completionSumMs += time.nowMs() - submissions.get(jobId)!.submittedWallMs;
}

function answerStart(run: Run): void {
    parts.measure("start response", () => scheduler.startResponseReceived(run, commandOutcomes.accepted, "", moment()));
    isPassDue = true;
}

function answerStop(run: Run): void {
    parts.measure("stop response", () => scheduler.stopResponseReceived(run, commandOutcomes.accepted, moment()));
    isPassDue = true;
}

function execute(command: SchedulerCommand): void {
    digest.update(`${time.nowMs()} ${command.kind} `);
    if (command.kind === commandKinds.list) {
        listOnce(command.workerId);
    }
    else if (command.kind === commandKinds.start) {
        const { run } = command;
        digest.update(`${run.taskName} ${run.workerId}`);
        startsCount += 1;
        const submission = submissions.get(run.jobId)!;
        const durationMs = run.isServing ? undefined : load.drawTaskMs(submission, run.stepIndex);
        time.after(linkMs, () => workers.get(run.workerId)!.start(run, durationMs));
        time.after(2 * linkMs, () => answerStart(run));
    }
    else if (command.kind === commandKinds.stop) {
        const { run } = command;
        digest.update(`${run.taskName} ${run.workerId}`);
        time.after(linkMs, () => workers.get(run.workerId)!.stop(run));
        time.after(2 * linkMs, () => answerStop(run));
    }
}

function runPass(): void {
    isPassDue = false;
    lastPassAtMs = time.nowMs();
    parts.measure("pass", () => scheduler.step(moment()));
    if (parts.measure("planned starts", () => scheduler.hasPlannedStarts())) {
        flushProgress();
    }
    scheduler.takeCommands().forEach(execute);
}

function submit(submission: JobSubmission): void {
    submissions.set(submission.jobId, submission);
    const text = encodeSubmission(submission);
    parts.measure("job added", () => scheduler.addJob(text, undefined, false, time.nowMs()));
    isPassDue = true;
}

function countWaitingTasks(): number {
    return [...scheduler.state.jobs.values()].flatMap(job => [...job.occurrences.values()].flatMap(occurrence => occurrence.steps))
        .reduce((sum, step) => sum + step.waiting.size, 0);
}

function runMillisecond(): void {
    time.advance();
    const nowMs = time.nowMs();
    load.arrivals(nowMs).forEach(submit);
    if (nowMs % saveIntervalMs === 0) {
        flushProgress();
    }
    isPassDue ||= nowMs % 100 === 0;
    if (isPassDue && passDelayMs(lastPassAtMs, nowMs) === 0) {
        runPass();
    }
    if (nowMs % 100 === 0) {
        mostWaitingTasksCount = Math.max(mostWaitingTasksCount, countWaitingTasks());
        mostJobsCount = Math.max(mostJobsCount, scheduler.state.jobs.size);
    }
}

for (const entry of load.workers) {
    scheduler.registerWorker(entry, moment());
    workers.set(entry.workerId, createSimulatedWorker(time, load.workRandom));
    poll(entry.workerId, 0);
}
load.longRunningJobs.forEach(submit);
while (time.nowMs() < warmUpMs) {
    runMillisecond();
}
parts.clear();
const cpuBefore = process.cpuUsage();
while (time.nowMs() < warmUpMs + runS * 1000) {
    runMillisecond();
}
const cpu = process.cpuUsage(cpuBefore);
console.log(
    `${load.workers.length} workers, ${submissions.size} jobs, ${completedJobsCount} completed, ${startsCount} starts, ${endsCount} listed ends; ` +
        `at most ${mostJobsCount} jobs and ${mostWaitingTasksCount} waiting tasks at a time`,
);
parts.report(runS);
console.log(`mean time from the submission of a job to its stored completion: ${(completionSumMs / completedJobsCount).toFixed(0)} ms`);
console.log(`processor time of the whole process, the simulation included: ${((cpu.user + cpu.system) / 1000 / runS).toFixed(0)} ms/s`);
console.log(`digest of all commands: ${digest.digest("hex").slice(0, 16)}`);
