/**
 * Runs that lapse while their worker is cut off, or while nobody owns the scheduling, and workers that restart with nothing at work:
 * neither is a crash. Workers that crash under a task are counted all the same.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { tasksCount } from "./lapsedJob.js";
import { createLapseSimulation, type LapseSimulation, type LapseSimulationOptions } from "./lapseSimulation.js";

const roundsCount = 4;
const warmUpMs = 12_000;
const cutAfterStartMs = 400;
const settleMs = 5_000;
/** Longer than a lease, so that a task does not end on the worker that is cut off. */
const taskDurationMs = 20_000;
/** Times from a cut to the end of the owner: it has not noticed the cut, has noticed it, or will soon give the run up. */
const ownerKillDelaysMs = [200, 1_500, 4_000];
const noticedAfterMs = 1_500;
const processReturnMs = 1_000;
const unsuspectedAgeMs = 2_500;
const storeOutageMs = 8_000;
/** A lease that a worker takes for ended has ended for the scheduler too after this time. */
const leaseSlackMs = 1_000;
/** A worker's entry stays for this long without a sign of life; it is removed after three heartbeats. */
const entryLifetimesMs = [undefined, 4_500];
/** Shorter than a crashed worker is away. */
const shortEntryLifetimeMs = 2_000;
/** Crashes after which a task is given up, if they are seen. */
const maxCrashes = 3;
/** A task that has crashed three workers may be started twice more. */
const maxStarts = 5;
const silences: readonly [string, readonly number[]][] = [
    ["while their leases last", [3_200]],
    ["for longer than leases last", [7_500, 12_000]],
];

const isFinal = (simulation: LapseSimulation): boolean => ["failed", "completed", "cancelled"].includes(simulation.jobState() ?? "");
const areAllAtWork = (simulation: LapseSimulation): boolean => simulation.atWorkCount() === tasksCount;
const describeDecisions = (simulation: LapseSimulation): string => simulation.decisions.join("\n");

/** Waits until all tasks are at work and the first one has been for a while; returns whether the job still runs. */
async function waitForWork(simulation: LapseSimulation): Promise<boolean> {
    await simulation.runUntil(
        "the tasks run, the first one for a while",
        () => isFinal(simulation) || (areAllAtWork(simulation) && simulation.ageMs(0) >= cutAfterStartMs),
    );
    return !isFinal(simulation);
}

async function startJob(options: LapseSimulationOptions): Promise<LapseSimulation> {
    const simulation = createLapseSimulation(options);
    await simulation.run(warmUpMs);
    simulation.submit();
    return simulation;
}

interface LapseOptions {
    /** The worker comes back in its old life, not in a new one. */
    keepsLife?: boolean;
    killOwnerAfterMs?: number;
}

/** Cuts off the worker of the first task until that task is at work elsewhere, four times, or until the job has ended. */
async function lapseRepeatedly(simulation: LapseSimulation, { keepsLife = false, killOwnerAfterMs }: LapseOptions): Promise<void> {
    for (let round = 0; round < roundsCount && await waitForWork(simulation); round++) {
        const worker = simulation.workerOf(0)!;
        simulation.cut(worker);
        if (killOwnerAfterMs !== undefined) {
            await simulation.run(killOwnerAfterMs);
            simulation.killOwner(processReturnMs);
        }
        await simulation.runUntil("the run lapses", () => worker.running.size === 0);
        await simulation.runUntil("the task starts elsewhere", () => simulation.workerOf(0) !== undefined || isFinal(simulation));
        if (keepsLife) {
            simulation.reconnect(worker);
        }
        else {
            simulation.restart(worker);
        }
    }
}

/** Cuts off the worker of the first task, ends the owner that has noticed it, and restarts the worker while no process is the owner. */
async function lapseBetweenOwners(simulation: LapseSimulation): Promise<void> {
    for (let round = 0; round < roundsCount && await waitForWork(simulation); round++) {
        const worker = simulation.workerOf(0)!;
        simulation.cut(worker);
        await simulation.run(noticedAfterMs);
        simulation.killOwner(processReturnMs);
        simulation.cutStore(storeOutageMs);
        await simulation.runUntil("the run lapses", () => worker.running.size === 0);
        await simulation.run(leaseSlackMs);
        simulation.restart(worker);
    }
}

/** Each worker that is to start the first task is cut off before the start reaches it, and restarts when the next one is. */
async function restartByTurns(simulation: LapseSimulation): Promise<void> {
    const { lostStarts } = simulation;
    for (let round = 1; round < roundsCount && !isFinal(simulation); round++) {
        await simulation.runUntil("the next start is lost", () => lostStarts.length > round || isFinal(simulation));
        simulation.restart(lostStarts[round - 1]!);
    }
    await waitForWork(simulation);
}

async function checkRunning(simulation: LapseSimulation): Promise<void> {
    await simulation.run(settleMs);
    simulation.close();
    const log = describeDecisions(simulation);
    assert.deepEqual(simulation.violations, [], log);
    assert.equal(simulation.jobState(), "running", log);
    assert.equal(simulation.atWorkCount(), tasksCount, log);
}

async function checkCompleted(simulation: LapseSimulation): Promise<void> {
    await simulation.runUntil("the job ends", () => isFinal(simulation));
    simulation.close();
    assert.deepEqual(simulation.violations, [], describeDecisions(simulation));
    assert.equal(simulation.jobState(), "completed", describeDecisions(simulation));
}

/**
 * Ends the owner and cuts off the store until all leases have ended, four times. The workers whose runs lapsed restart by turns: while
 * they have nothing at work, or after the new owner's runs have been at work for longer than a run may be suspected.
 */
async function lapseWithStore(simulation: LapseSimulation, restartsBeforeTerm: boolean): Promise<void> {
    for (let round = 0; round < roundsCount && await waitForWork(simulation); round++) {
        const holders = Array.from({ length: tasksCount }, (_, taskIndex) => simulation.workerOf(taskIndex)!);
        simulation.killOwner(processReturnMs);
        simulation.cutStore(storeOutageMs);
        await simulation.runUntil("the runs lapse", () => simulation.atWorkCount() === 0);
        if (!restartsBeforeTerm) {
            await simulation.runUntil("the tasks run again", () => areAllAtWork(simulation) || isFinal(simulation));
            await simulation.run(unsuspectedAgeMs);
        }
        for (const worker of holders) {
            simulation.restart(worker);
            await simulation.run(cutAfterStartMs);
        }
    }
}

async function checkGivenUp(simulation: LapseSimulation, maxStarts: number, description: string): Promise<void> {
    await simulation.runUntil(`the job is given up, ${description}`, () => isFinal(simulation));
    await simulation.run(settleMs);
    simulation.close();
    const log = `${description}\n${describeDecisions(simulation)}`;
    assert.deepEqual(simulation.violations, [], log);
    assert.equal(simulation.jobState(), "failed", log);
    assert.ok(simulation.startsCount(0) <= maxStarts, `${simulation.startsCount(0)} starts, ${log}`);
}

for (const entryLifetimeMs of entryLifetimesMs) {
    const kind = entryLifetimeMs === undefined ? "whose entries stay" : "whose entries are removed meanwhile";

    describe(`runs that lapse on workers that are cut off, ${kind}`, () => {
        // Guards against lapsed runs that are counted as crashes when their worker restarts later: the lasting job was shown as failed.
        it("should leave a long-running job running when the workers restart after the task has started elsewhere", async () => {
            const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs });
            await lapseRepeatedly(simulation, {});
            await checkRunning(simulation);
        });

        // Guards against the same count for tasks that end by themselves.
        it("should let a job of tasks that do not last complete when the workers restart after the task has started elsewhere", async () => {
            const simulation = await startJob({ taskDurationMs, entryLifetimeMs });
            await lapseRepeatedly(simulation, {});
            await checkCompleted(simulation);
        });

        // Guards against snapshots and starts of an earlier owner that the next one counts although the runs lapsed.
        for (const killOwnerAfterMs of ownerKillDelaysMs) {
            it(`should leave a long-running job running when the owner is killed ${killOwnerAfterMs} ms after each cut`, async () => {
                const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs });
                await lapseRepeatedly(simulation, { killOwnerAfterMs });
                await checkRunning(simulation);
            });
        }

        // Guards against a stored snapshot that the next owner counts although the worker restarted after its leases had ended.
        it("should leave a long-running job running when the workers restart before the next owner begins", async () => {
            const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs });
            await lapseBetweenOwners(simulation);
            await checkRunning(simulation);
        });

        // Guards against starts that never reached their worker and are counted when it restarts.
        it("should leave a long-running job running when the workers are cut off before the start", async () => {
            const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs, lostStartsCount: roundsCount });
            await restartByTurns(simulation);
            await checkRunning(simulation);
        });

        // Guards against counting workers that never ended.
        it("should leave a long-running job running when the workers come back in their old life", async () => {
            const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs });
            await lapseRepeatedly(simulation, { keepsLife: true });
            await checkRunning(simulation);
        });
    });
}

describe("runs that lapse on workers that nobody owns while the store is away", () => {
    // Guards against restarts that count against runs that lapsed there before the new owner's runs.
    it("should leave a long-running job running when the workers restart after the next owner's runs have lasted", async () => {
        const simulation = await startJob({ taskDurationMs: undefined });
        await lapseWithStore(simulation, false);
        await checkRunning(simulation);
    });

    // Guards against a new owner that takes restarts during the outage for crashes under the runs of the earlier owner.
    it("should leave a long-running job running when the workers restart before the next owner begins", async () => {
        const simulation = await startJob({ taskDurationMs: undefined });
        await lapseWithStore(simulation, true);
        await checkRunning(simulation);
    });
});

describe("a task that crashes each worker that starts it", () => {
    for (const returnsAsOther of [false, true]) {
        const kind = returnsAsOther ? "under another id" : "under the same id";

        // Guards against crashes that no longer count because lapsed runs do not.
        it(`should be given up after three crashes of workers that come back ${kind}`, async () => {
            for (const entryLifetimeMs of [undefined, shortEntryLifetimeMs]) {
                const simulation = await startJob({ taskDurationMs: undefined, entryLifetimeMs, isDeadly: true, returnsAsOther });
                await checkGivenUp(simulation, maxCrashes, `entries removed after ${entryLifetimeMs} ms`);
            }
        });

        // Guards against a task that goes through the whole pool because its workers fall silent.
        for (const [howLong, crashedDurationsMs] of silences) {
            it(`should be given up in time if its workers fall silent ${howLong} and come back ${kind}`, async () => {
                for (const crashedDurationMs of crashedDurationsMs) {
                    for (const entryLifetimeMs of [undefined, shortEntryLifetimeMs]) {
                        const options = { isDeadly: true, isCrashSilent: true, crashedDurationMs, entryLifetimeMs, returnsAsOther };
                        const simulation = await startJob({ taskDurationMs: undefined, ...options });
                        await checkGivenUp(simulation, maxStarts, `silent for ${crashedDurationMs} ms, entries stay ${entryLifetimeMs} ms`);
                    }
                }
            });
        }

        // Guards against crashes that are forgotten with the owner.
        it(`should be given up over changes of the owner when the workers come back ${kind}`, async () => {
            for (const killsAtStarts of [[1], [2], [3], [1, 2], [1, 3], [2, 3]]) {
                for (const killDelayMs of [20, ...ownerKillDelaysMs]) {
                    const simulation = await startJob({ taskDurationMs: undefined, isDeadly: true, returnsAsOther });
                    for (const startsCount of killsAtStarts) {
                        await simulation.runUntil(
                            `start ${startsCount}`,
                            () => simulation.startsCount(0) >= startsCount || isFinal(simulation),
                        );
                        await simulation.run(killDelayMs);
                        simulation.killOwner(processReturnMs);
                    }
                    await checkGivenUp(
                        simulation,
                        maxStarts,
                        `owner killed ${killDelayMs} ms after starts ${killsAtStarts.join()}`,
                    );
                }
            }
        });
    }
});
