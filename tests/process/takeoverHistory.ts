/** Random histories of several owners in a row, with faults that come and go. */
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import type { WriteFault } from "./simulatedStore.js";
import type { CallFault } from "./simulatedWorkerClient.js";
import { createTakeoverSimulation, cuts, nodeNames, ownerLeaseMs } from "./takeoverEndsSimulation.js";

export interface TakeoverHistory {
    seed: number;
    violations: string[];
    /** Jobs that do not show as completed after a calm time. */
    unfinished: string[];
    events: string[];
    termsCount: number;
    startsCount: number;
    /** Ends as done that were acknowledged. */
    acknowledgedCount: number;
    snapshotsCount: number;
}

/** How likely the faults of a round are, in per cent of the writes, calls or turns. */
interface FaultRates {
    progressWrites: number;
    snapshotWrites: number;
    otherWrites: number;
    leaseCalls: number;
    workerCalls: number;
    silences: number;
    missingEntries: number;
    restarts: number;
    changesDelays: number;
    zoneCuts: number;
    /** Changes of the owner soon after the cut of a zone, or after a write of progress whose response is late or lost. */
    takeovers: number;
}

const roundsCount = 3;
const quietMs = 1_500;
/** Longer than any lease may last after it. */
const finalCalmMs = 14_000;
/** Enough for the jobs that are left then, one task at a time. */
const finishMs = 30_000;
const maxUnfinishedJobs = 8;
const failedPercent = 5;
const entryLifetimeMs = 3_000;
const maxWriteLatenessMs = 2_500;
const maxCallLatenessMs = 4_000;
const takeoverDelayMs = 1_500;
/** A job may be given up once this many workers have crashed under one of its tasks. */
const crashesBeforeGivingUp = 2;

export async function playTakeovers(seed: number): Promise<TakeoverHistory> {
    const random = createSeededRandom(seed);
    const jobIds: string[] = [];
    let rates: FaultRates | undefined;

    const isChance = (percent: number): boolean => random.between(1, 1_000) <= percent * 10;
    const isFault = (percent: number): boolean => rates !== undefined && isChance(percent);
    const chooseRates = (): FaultRates => ({
        progressWrites: random.pick([0, 10, 50, 90]),
        snapshotWrites: random.pick([0, 0, 30, 90]),
        otherWrites: random.pick([0, 0, 20]),
        leaseCalls: random.pick([0, 0, 10]),
        workerCalls: random.pick([0, 3, 10, 25]),
        silences: random.pick([0, 0.5, 2]),
        missingEntries: random.pick([0, 0.3, 1.5]),
        restarts: random.pick([0, 0, 0, 0.3]),
        changesDelays: random.pick([0, 2]),
        zoneCuts: random.pick([0, 0, 0.5]),
        takeovers: random.pick([0, 5, 20]),
    });
    const chooseWriteFault = (keys: readonly string[]): WriteFault | undefined => {
        const isOf = (prefix: string): boolean => keys.some(key => key.startsWith(prefix));
        const isProgress = isOf(jobKeys.progressPrefix);
        if (
            !rates ||
            !isChance(isProgress ? rates.progressWrites : isOf(jobKeys.workerSnapshotPrefix) ? rates.snapshotWrites : rates.otherWrites)
        ) {
            return undefined;
        }
        if (isProgress && isChance(rates.takeovers)) {
            simulation.timers.after(random.between(0, takeoverDelayMs), replaceOwner);
        }
        const executedAfterMs = isChance(30) ? undefined : random.between(0, maxWriteLatenessMs);
        const isAnswered = executedAfterMs !== undefined && isChance(40);
        return { executedAfterMs, respondedAfterMs: isAnswered ? executedAfterMs + random.between(0, 600) : undefined };
    };
    const chooseCallFault = (): CallFault | undefined => {
        if (!isFault(rates?.workerCalls ?? 0)) {
            return undefined;
        }
        const lateMs = isChance(50) ? random.between(0, 400) : random.between(0, maxCallLatenessMs);
        return { carriedOutAfterMs: isChance(70) ? lateMs : undefined };
    };
    const simulation = createTakeoverSimulation({
        random,
        hasFaults: () => rates !== undefined,
        isFault,
        isLeaseCallFaulty: () => isFault(rates?.leaseCalls ?? 0),
        isFailure: () => isFault(failedPercent),
        chooseWriteFault,
        chooseCallFault,
    });
    const { workers, timers } = simulation;

    /** The node and the workers of its zone reach each other only; entries of workers that cannot write them are removed after a while. */
    const cutZone = (nodeName: string, durationMs: number): void => {
        simulation.cut(cuts.store(nodeName), durationMs);
        for (const worker of workers) {
            const isInZone = simulation.zoneOf(worker) === nodeName;
            nodeNames.filter(other => (other === nodeName) !== isInZone)
                .forEach(other => simulation.cut(cuts.worker(other, worker), durationMs));
            if (isInZone && durationMs > entryLifetimeMs) {
                const returnsAfterMs = random.pick([random.between(0, 300), random.between(0, 2_000)]);
                timers.after(entryLifetimeMs, () => simulation.dropEntry(worker, durationMs - entryLifetimeMs + returnsAfterMs));
            }
        }
        if (isFault(4 * (rates?.takeovers ?? 0))) {
            timers.after(durationMs + random.between(0, takeoverDelayMs), replaceOwner);
        }
    };
    const replaceOwner = (): void => {
        const nodeName = simulation.ownerNode();
        if (nodeName === undefined) {
            return;
        }
        const returnsAfterMs = random.pick([200, 1_000, 6_000]);
        const durationMs = random.between(ownerLeaseMs, 8_000);
        random.pick([
            () => simulation.endProcess(nodeName, { stopMs: undefined, returnsAfterMs }),
            () => simulation.endProcess(nodeName, { stopMs: random.between(20, 600), returnsAfterMs }),
            () => simulation.cut(cuts.store(nodeName), durationMs),
            () => simulation.cut(cuts.pause(nodeName), durationMs),
            () => cutZone(nodeName, durationMs),
            () => {
                simulation.cut(cuts.store(nodeName), durationMs);
                workers.filter(() => isChance(50)).forEach(worker =>
                    simulation.cut(cuts.worker(nodeName, worker), random.between(500, 5_000))
                );
            },
        ])();
    };
    const causeTrouble = ({ silences, missingEntries, restarts, changesDelays, zoneCuts }: FaultRates): void => {
        for (const worker of workers) {
            if (isChance(silences)) {
                simulation.silence(worker, isChance(60) ? random.between(20, 900) : random.between(900, 4_000));
            }
            if (isChance(silences)) {
                simulation.cut(cuts.worker(random.pick(nodeNames), worker), random.between(200, 3_000));
            }
            if (isChance(missingEntries)) {
                simulation.dropEntry(worker, random.between(100, 3_000));
            }
            if (isChance(restarts)) {
                simulation.restart(worker, random.between(200, 1_000), random.pick([0, 0, 500, 2_000]));
            }
        }
        if (isChance(changesDelays)) {
            simulation.cut(cuts.changes(random.pick(nodeNames)), random.between(100, 2_000));
        }
        if (isChance(zoneCuts)) {
            cutZone(random.pick(nodeNames), random.pick([random.between(500, 9_000), random.between(6_000, 8_000)]));
        }
    };

    const isUnfinished = (jobId: string): boolean => {
        const state = simulation.jobState(jobId);
        return state !== jobStates.completed &&
            (state !== jobStates.failed || simulation.counts().restartsCount < crashesBeforeGivingUp);
    };
    const submitShortJob = (): void => {
        const step = { ...defaultStep, estimatedDurationMs: 600 };
        const steps = random.pick([
            [step],
            [{ ...step, taskCount: 3 }],
            [{ ...step, taskCount: 2 }, { ...step, dependsOn: [0] }],
        ]);
        const jobId = `job${jobIds.length}`;
        jobIds.push(jobId);
        simulation.submit(jobId, steps, random.pick([random.between(60, 400), random.between(300, 1_800)]));
    };
    const run = (durationMs: number, submitPercent: number): Promise<void> =>
        simulation.run(durationMs, () => {
            if (isChance(submitPercent) && jobIds.filter(isUnfinished).length < maxUnfinishedJobs) {
                submitShortJob();
            }
            if (rates) {
                causeTrouble(rates);
            }
        });

    const longTasksCount = random.pick([0, 0, Math.min(2, workers.length)]);
    if (longTasksCount > 0) {
        simulation.submit("long", [{ ...defaultStep, taskCount: longTasksCount, isLongRunning: true }], Number.POSITIVE_INFINITY);
    }
    await run(1_000, 20);
    for (let round = 0; round < roundsCount; round++) {
        rates = chooseRates();
        simulation.record("faults", JSON.stringify(rates));
        await run(random.between(300, random.pick([2_500, 10_000])), 10);
        replaceOwner();
        await run(random.between(300, 3_000), 10);
        rates = undefined;
        simulation.record("no faults");
        await run(quietMs, 5);
    }
    await run(finalCalmMs, 0);
    const finishUntilMs = timers.nowMs() + finishMs;
    while (jobIds.some(isUnfinished) && timers.nowMs() < finishUntilMs) {
        await run(1, 0);
    }
    simulation.close();
    const { violations, events, counts } = simulation;
    return { seed, violations, unfinished: jobIds.filter(isUnfinished), events, ...counts() };
}
