/**
 * Measures the processor time of the scheduling owner at grown size: the real scheduler, with workers, store and clock simulated.
 * Passes follow events as in the scheduling service. The digest covers all commands in their
 * order, so that two versions with the same digest made the same decisions.
 * Usage: `node dist/bench/schedulingPass.js [seconds] [scale] [features]`; features by their names in the settings, separated by commas.
 */
import { createHash } from "node:crypto";
import { createSchedulingLoad, createSimulatedWorker, createVirtualTime, type SimulatedWorker } from "../harness/schedulingLoad.js";
import { createSimulatedOwner, workerLeaseMs } from "../harness/simulatedOwner.js";
import { createManualTimerService } from "../src/common/timerService.js";
import { logEvents } from "../src/process/logEvents.js";
import { createLogger } from "../src/process/logger.js";
import { encodeProgress, encodeSubmission } from "../src/scheduling/jobDocuments.js";
import { jobStates, type JobSubmission } from "../src/scheduling/jobTypes.js";
import type { Moment } from "../src/scheduling/reconcileListing.js";
import { createScheduler, type Scheduler } from "../src/scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../src/scheduling/schedulerState.js";
import { parseSchedulingFeatures } from "../src/scheduling/schedulingFeatures.js";

const seed = 20261204;
const runS = Number(process.argv[2] ?? 36);
const scale = Number(process.argv[3] ?? 1);
const warmUpMs = 2_000;

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
    term: { token: 1, unknownWorkersUntilMs: 0 },
    workerLeaseMs,
    maxWorkerLeaseMs: workerLeaseMs,
    taskStopMs: 900,
    features: parseSchedulingFeatures(process.argv[4]).expect("features"),
    onDecision: decision => parts.measure("log", () => logger.log(logEvents.schedulingDecided, { ...decision })),
});
let startsCount = 0;
let endsCount = 0;
let writesCount = 0;
let completedJobsCount = 0;
let completionSumMs = 0;
let mostWaitingTasksCount = 0;
let mostJobsCount = 0;

/** The scheduler, with the time of each part of its work measured. */
const measuredScheduler: Scheduler = {
    ...scheduler,
    takeAcknowledgement: (workerId, nowMs) => parts.measure("acknowledgement", () => scheduler.takeAcknowledgement(workerId, nowMs)),
    listingReceived: (workerId, listing, sentAtMs, now) => {
        endsCount += listing.ended.length;
        parts.measure("listing", () => scheduler.listingReceived(workerId, listing, sentAtMs, now));
    },
    takeUnsavedJobs: maxJobs => parts.measure("take unsaved", () => scheduler.takeUnsavedJobs(maxJobs)),
    progressSaved: (jobId, version, nowMs) => parts.measure("progress saved", () => scheduler.progressSaved(jobId, version, nowMs)),
    startResponseReceived: (run, outcome, reason, now) =>
        parts.measure("start response", () => scheduler.startResponseReceived(run, outcome, reason, now)),
    stopResponseReceived: (run, outcome, now) => parts.measure("stop response", () => scheduler.stopResponseReceived(run, outcome, now)),
    step: now => parts.measure("pass", () => scheduler.step(now)),
    hasPlannedStarts: () => parts.measure("planned starts", () => scheduler.hasPlannedStarts()),
};

function countCompleted(jobId: string): void {
    completedJobsCount += 1;
    completionSumMs += time.nowMs() - submissions.get(jobId)!.submittedWallMs;
}

function recordCommand(command: SchedulerCommand): void {
    digest.update(`${time.nowMs()} ${command.kind} `);
    if (command.kind === commandKinds.start || command.kind === commandKinds.stop) {
        digest.update(`${command.run.taskName} ${command.run.workerId}`);
        startsCount += command.kind === commandKinds.start ? 1 : 0;
    }
}

const owner = createSimulatedOwner({
    time,
    scheduler: measuredScheduler,
    findWorker: workerId => workers.get(workerId),
    runDurationMs: run => run.isServing ? undefined : load.drawTaskMs(submissions.get(run.jobId)!, run.stepIndex),
    onCommand: recordCommand,
    onWriteStarted: jobs => {
        writesCount += 1;
        parts.measure("encode progress", () => jobs.forEach(job => encodeProgress(job.progress)));
    },
    onSaved: jobs => jobs.filter(job => job.progress.state === jobStates.completed).forEach(job => countCompleted(job.jobId)),
});

function submit(submission: JobSubmission): void {
    submissions.set(submission.jobId, submission);
    const text = encodeSubmission(submission);
    parts.measure("job added", () => scheduler.addJob(text, undefined, false, time.nowMs()));
    owner.requestPass();
}

function countWaitingTasks(): number {
    return [...scheduler.state.jobs.values()].flatMap(job => [...job.occurrences.values()].flatMap(occurrence => occurrence.steps))
        .reduce((sum, step) => sum + step.waiting.size, 0);
}

function runMillisecond(): void {
    time.advance();
    const nowMs = time.nowMs();
    load.arrivals(nowMs).forEach(submit);
    owner.advance();
    if (nowMs % 100 === 0) {
        mostWaitingTasksCount = Math.max(mostWaitingTasksCount, countWaitingTasks());
        mostJobsCount = Math.max(mostJobsCount, scheduler.state.jobs.size);
    }
}

for (const entry of load.workers) {
    scheduler.registerWorker(entry, moment());
    workers.set(entry.workerId, createSimulatedWorker(time, load.workRandom));
    owner.follow(entry.workerId);
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
    `${load.workers.length} workers, ${submissions.size} jobs, ${completedJobsCount} completed, ${startsCount} starts, ${endsCount} listed ends, ${writesCount} writes of progress; ` +
        `at most ${mostJobsCount} jobs and ${mostWaitingTasksCount} waiting tasks at a time`,
);
parts.report(runS);
console.log(`mean time from the submission of a job to its stored completion: ${(completionSumMs / completedJobsCount).toFixed(0)} ms`);
console.log(`processor time of the whole process, the simulation included: ${((cpu.user + cpu.system) / 1000 / runS).toFixed(0)} ms/s`);
console.log(`digest of all commands: ${digest.digest("hex").slice(0, 16)}`);
