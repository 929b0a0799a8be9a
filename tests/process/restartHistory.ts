/** Random histories in which workers restart under their ids and are cut off soon after, with long-running tasks and short ones. */
import { createSeededRandom } from "../../harness/random.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { createRestartSimulation, darkMs } from "./restartSimulation.js";

export interface RestartHistory {
    seed: number;
    violations: string[];
    /** Jobs of short tasks that do not show as completed, and long-running tasks without a run, after a calm time. */
    unfinished: string[];
    restartsCount: number;
    startsCount: number;
    /** Late commands without effect because no owner could have prevented it. */
    leftOutCount: number;
    decisions: string[];
}

const roundsCount = 2;
const workersCount = 4;
const tasksPerWorker = 3;
const cutAfterMs = 2_000;
const cutMs = 9_000;
const calmMs = 6_000;
/** Longer than any lease may last after it. */
const finalCalmMs = 12_000;
const longTasksCount = 4;
/** Calls fail from so long before the restarts until so long after them. */
const failsBeforeMs = 2_000;
const failsAfterMs = 3_000;
const unansweredPercent = 20;
const carriedOutLatePercent = 60;
const submissionIntervalMs = 400;

export async function playRandomRestarts(seed: number): Promise<RestartHistory> {
    const random = createSeededRandom(seed);
    const isChance = (percent: number): boolean => random.between(1, 100) <= percent;
    let hasFaults = false;
    let restartsCount = 0;
    let jobsCount = 0;
    let nextSubmissionAtMs = 0;
    const simulation = createRestartSimulation({
        random,
        capacities: Array.from({ length: workersCount }, () => tasksPerWorker),
        chooseFault: () =>
            hasFaults && isChance(unansweredPercent) ?
                { carriedOutAfterMs: isChance(carriedOutLatePercent) ? random.between(2_000, 12_000) : undefined } :
                undefined,
    });
    const run = async (durationMs: number): Promise<void> => {
        const untilMs = simulation.nowMs() + durationMs;
        while (simulation.nowMs() < untilMs) {
            if (simulation.nowMs() >= nextSubmissionAtMs) {
                nextSubmissionAtMs = simulation.nowMs() + submissionIntervalMs;
                const durationChoicesMs = [random.between(100, 600), random.between(600, 4_000)];
                simulation.submit(`short${jobsCount++}`, { durationMs: random.pick(durationChoicesMs), estimatedDurationMs: 1_000 });
            }
            await simulation.run(Math.min(100, untilMs - simulation.nowMs()));
        }
    };

    simulation.submit("long", { tasksCount: longTasksCount });
    await run(3_000);
    for (let round = 0; round < roundsCount; round++) {
        hasFaults = true;
        await run(failsBeforeMs);
        const first = random.between(0, workersCount - 1);
        const restarted = [first, (first + 1) % workersCount].map(index => simulation.workers[index]!);
        restarted.forEach(worker => {
            const clockMs = random.pick([0, 50_000_000, simulation.nowMs() + worker.clockOffsetMs - 20_000]);
            simulation.restart(worker, { clockMs, entryDelayMs: random.pick([0, 0, 500, 3_000]) });
        });
        restartsCount += restarted.length;
        await run(darkMs + cutAfterMs);
        restarted.forEach(worker => simulation.cut(worker, cutMs));
        const killedAfterMs = random.between(0, 3_000);
        await run(Math.min(killedAfterMs, failsAfterMs - cutAfterMs));
        hasFaults = false;
        await run(Math.max(0, killedAfterMs - (failsAfterMs - cutAfterMs)));
        if (isChance(60)) {
            simulation.killOwner(random.between(200, 3_000));
        }
        await run(cutMs - killedAfterMs + calmMs);
    }
    await simulation.run(finalCalmMs);
    simulation.close();
    const { violations, decisions, startsCount, leftOutCount } = simulation;
    const longTasks = Array.from({ length: longTasksCount }, (_, index) => `long.0.0.${index}`);
    const jobIds = Array.from({ length: jobsCount }, (_, index) => `short${index}`);
    return {
        seed,
        violations,
        unfinished: [
            ...jobIds.filter(jobId => simulation.jobState(jobId) !== jobStates.completed),
            ...longTasks.filter(taskName => !simulation.workerOf(taskName)),
        ],
        decisions,
        restartsCount,
        startsCount: jobIds.reduce((sum, jobId) => sum + startsCount(`${jobId}.0.0.0`), 0),
        leftOutCount: leftOutCount(),
    };
}
