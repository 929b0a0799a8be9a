/**
 * Measures what jobs of many small tasks take at the owner: memory by task that waits, memory of what is under way, and the time of the first
 * pass. Starts are never answered.
 * Usage: `node --expose-gc dist/bench/jobSize.js`.
 */
import { defaultStep } from "../harness/defaultStep.js";
import { encodeSubmission } from "../src/scheduling/jobDocuments.js";
import { createScheduler, type Scheduler } from "../src/scheduling/scheduler.js";

const tasksCounts = [5_000, 20_000, 60_000];
const gangTasksCount = 2_000;
const waitingJobsCount = 20;
const tasksPerWaitingJob = 50_000;
const workersCount = 3;
const workerCapacity = { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 };
const request = { cpuMillicores: 1, memoryMb: 1, accelerators: 0 };
const moment = { nowMs: 0, wallMs: 0 };
const queue = { name: "queue", poolName: "pool", priority: 0, maxAttempts: 2, criticalPathFactor: 2, latencyObjectiveMs: 1_000 };
const policy = {
    version: 1,
    queues: new Map([[queue.name, queue]]),
    pools: new Map([["pool", { name: "pool", isStandby: false }]]),
    teams: new Map(),
};

function usedBytes(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

function createIdleOwner(): Scheduler {
    const scheduler = createScheduler({
        policy,
        term: { token: 1, unknownWorkersUntilMs: 0 },
        workerLeaseMs: 6_000,
        maxWorkerLeaseMs: 6_000,
        taskStopMs: 900,
        onDecision: () => undefined,
    });
    for (let index = 0; index < workersCount; index++) {
        const workerId = `w${index}`;
        const place = { address: workerId, poolName: "pool", zone: "zone", rack: workerId, labels: [], isDraining: false };
        scheduler.registerWorker({ workerId, bornWallMs: 0, capacity: workerCapacity, ...place }, moment);
        scheduler.listingReceived(workerId, { bornWallMs: 0, running: [], ended: [] }, 0, moment);
    }
    return scheduler;
}

function addJob(scheduler: Scheduler, jobId: string, taskCount: number, isGang = false): void {
    const steps = [{ ...defaultStep, taskCount, request, isGang }];
    const submission = { jobId, queueName: queue.name, teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs: 0 };
    scheduler.addJob(encodeSubmission(submission), undefined, false, 0);
}

function measureWaiting(): string {
    const scheduler = createIdleOwner();
    const emptyBytes = usedBytes();
    for (let index = 0; index < waitingJobsCount; index++) {
        addJob(scheduler, `job${index}`, tasksPerWaitingJob);
    }
    const bytesPerTask = (usedBytes() - emptyBytes) / (scheduler.state.jobs.size * tasksPerWaitingJob);
    return `${waitingJobsCount} jobs of ${tasksPerWaitingJob} tasks that wait: ${bytesPerTask.toFixed(0)} bytes a task`;
}

function measureStarts(taskCount: number, isGang = false): string {
    const scheduler = createIdleOwner();
    addJob(scheduler, "job", taskCount, isGang);
    const waitingBytes = usedBytes();
    const startedMs = performance.now();
    scheduler.step(moment);
    scheduler.takeUnsavedJobs(1).forEach(job => scheduler.progressSaved(job.jobId, job.version, 0));
    const passMs = performance.now() - startedMs;
    const commands = scheduler.takeCommands();
    const underWayMb = (usedBytes() - waitingBytes) / 1e6;
    return `${taskCount} tasks${isGang ? " in a gang" : ""}: first pass ${passMs.toFixed(0)} ms, ` +
        `${commands.filter(({ kind }) => kind === "start").length} starts under way, ${underWayMb.toFixed(1)} MB for them`;
}

console.log(measureWaiting());
tasksCounts.forEach(taskCount => console.log(measureStarts(taskCount)));
console.log(measureStarts(gangTasksCount, true));
