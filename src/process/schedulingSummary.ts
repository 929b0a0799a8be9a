/** Collects the load of the process that owns the scheduling, and what waits and runs in each pool, for the log. */
import type { TimerService } from "../common/timerService.js";
import { jobLateness } from "../scheduling/jobLateness.js";
import { countPossiblyStarted, countWaitingTasks, isFinalState, readyStepsOf } from "../scheduling/jobRecord.js";
import { unknownFormerWorkers } from "../scheduling/plannedStarts.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { findStartObstacle } from "../scheduling/startObstacle.js";
import { expectedPathMs } from "../scheduling/taskDurations.js";
import { freeResources } from "../scheduling/workerRoom.js";
import { logEvents } from "./logEvents.js";
import type { LogFields, Logger } from "./logger.js";

export interface SchedulingSummary {
    /** Records the duration of one scheduling pass. */
    recordPass(durationMs: number): void;
    /** Logs a summary every second until `signal` aborts. */
    start(signal: AbortSignal, state: () => SchedulerState | undefined): void;
}

const summaryIntervalMs = 1_000;

interface PoolSummary {
    workersCount: number;
    freeCpuMillicores: number;
    capacityCpuMillicores: number;
    runsCount: number;
    /** Planned starts that wait until the store holds what it must. */
    plannedCount: number;
    /** Workers that get no new runs, by the obstacle. */
    obstacles: Map<string, number>;
    /** Waiting tasks by lateness class. */
    waitingCounts: [number, number, number];
    /** Those of them that may not start because their job may run on workers whose runs are not known. */
    heldBackCounts: [number, number, number];
}

function createPoolSummary(): PoolSummary {
    return {
        workersCount: 0,
        freeCpuMillicores: 0,
        capacityCpuMillicores: 0,
        runsCount: 0,
        plannedCount: 0,
        obstacles: new Map(),
        waitingCounts: [0, 0, 0],
        heldBackCounts: [0, 0, 0],
    };
}

function summarizePools(state: SchedulerState, { nowMs, wallMs }: Moment): Map<string, PoolSummary> {
    const pools = new Map<string, PoolSummary>();
    const poolOf = (poolName: string): PoolSummary => {
        const known = pools.get(poolName) ?? createPoolSummary();
        pools.set(poolName, known);
        return known;
    };
    for (const worker of [...state.workers.values()].filter(each => !each.hasEnded)) {
        const { entry, runs, isRegistered } = worker;
        const pool = poolOf(entry.poolName);
        if (isRegistered) {
            pool.workersCount += 1;
            pool.capacityCpuMillicores += entry.capacity.cpuMillicores;
            pool.freeCpuMillicores += Math.max(0, freeResources(worker).cpuMillicores);
        }
        pool.runsCount += runs.size;
        const obstacle = findStartObstacle(state, worker, nowMs);
        if (obstacle !== undefined) {
            pool.obstacles.set(obstacle, (pool.obstacles.get(obstacle) ?? 0) + 1);
        }
    }
    for (const { workerId } of state.plannedRuns) {
        const worker = state.workers.get(workerId);
        if (worker) {
            poolOf(worker.entry.poolName).plannedCount += 1;
        }
    }
    for (const job of state.jobs.values()) {
        const queue = state.policy.queues.get(job.submission.queueName);
        if (!queue || isFinalState(job.state)) {
            continue;
        }
        const pool = poolOf(queue.poolName);
        const isJobHeldBack = unknownFormerWorkers(state, job, nowMs).length > 0;
        for (const { occurrence, step } of readyStepsOf(job, wallMs)) {
            const lateness = jobLateness(job, occurrence, queue, expectedPathMs(state, job, step), wallMs);
            pool.waitingCounts[lateness] += step.waiting.size;
            pool.heldBackCounts[lateness] += isJobHeldBack ? countPossiblyStarted(step) : 0;
        }
    }
    return pools;
}

/** Describes the queues of unfinished jobs that the policy lacks, with what waits in them. */
function describeMissingQueues(state: SchedulerState, wallMs: number): string[] {
    const missing = new Map<string, { jobsCount: number; waitingCount: number }>();
    for (const job of state.jobs.values()) {
        const { queueName } = job.submission;
        if (isFinalState(job.state) || state.policy.queues.has(queueName)) {
            continue;
        }
        const queue = missing.get(queueName) ?? { jobsCount: 0, waitingCount: 0 };
        missing.set(queueName, queue);
        queue.jobsCount += 1;
        queue.waitingCount += countWaitingTasks(job, wallMs);
    }
    return [...missing].map(([name, { jobsCount, waitingCount }]) => `${name}: ${jobsCount} jobs, ${waitingCount} tasks waiting`);
}

function formatPool(poolName: string, pool: PoolSummary): string {
    const [inTime, late, worthless] = pool.waitingCounts;
    const obstacles = [...pool.obstacles].map(([obstacle, count]) => `${count} ${obstacle}`).join(", ");
    return `${poolName}: ${pool.workersCount} workers (without new runs: ${obstacles || "none"}), ` +
        `${pool.runsCount} runs, ${pool.plannedCount} of them planned, ` +
        `${Math.round(pool.freeCpuMillicores / 1000)} of ${Math.round(pool.capacityCpuMillicores / 1000)} cores free, ` +
        `tasks waiting: ${inTime} in time, ${late} late, ${worthless} too late; held back: ${pool.heldBackCounts.join(", ")}`;
}

/** `latenessMs` tells how late this process runs its timers; `takeFigures` returns further figures since it was last called. */
export function createSchedulingSummary(
    timers: TimerService,
    logger: Logger,
    latenessMs: () => number,
    takeFigures: () => LogFields = () => ({}),
): SchedulingSummary {
    let passesCount = 0;
    let passMs = 0;
    let longestPassMs = 0;
    let loggedAtMs = timers.nowMs();
    let cpuUsage = process.cpuUsage();

    const logSummary = (state: SchedulerState): void => {
        const moment: Moment = { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() };
        const plannedAgesMs = [...state.plannedRuns].map(({ startedAtMs }) => moment.nowMs - startedAtMs);
        const used = process.cpuUsage(cpuUsage);
        logger.log(logEvents.schedulingSummarized, {
            periodMs: Math.round(timers.nowMs() - loggedAtMs),
            processorMs: Math.round((used.user + used.system) / 1000),
            passesCount,
            passMs: Math.round(passMs),
            longestPassMs: Math.round(longestPassMs),
            latenessMs: Math.round(latenessMs()),
            ...takeFigures(),
            jobsCount: state.jobs.size,
            unsavedJobsCount: state.unsavedJobs.size,
            isStoreWritable: state.isStoreWritable,
            longestPlannedMs: Math.round(Math.max(0, ...plannedAgesMs)),
            pools: [...summarizePools(state, moment)].map(([name, pool]) => formatPool(name, pool)),
            missingQueues: describeMissingQueues(state, moment.wallMs),
        });
        passesCount = 0;
        passMs = 0;
        longestPassMs = 0;
        loggedAtMs = timers.nowMs();
        cpuUsage = process.cpuUsage();
    };

    return {
        recordPass: durationMs => {
            passesCount += 1;
            passMs += durationMs;
            longestPassMs = Math.max(longestPassMs, durationMs);
        },
        start: (signal, state) => {
            loggedAtMs = timers.nowMs();
            cpuUsage = process.cpuUsage();
            timers.every(summaryIntervalMs, signal, () => {
                const current = state();
                if (current) {
                    logSummary(current);
                }
            });
        },
    };
}
