/** Random histories of outages, each followed by a calm time in which only single runs fail. */
import { createSeededRandom, type SeededRandom } from "../../harness/random.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { createOutageSimulation, type OutageSimulation } from "./outageSimulation.js";

export interface Fault {
    name: string;
    /** Since the first fault may strike. */
    atMs: number;
    /** When everything that the fault affects is as before, or is gone for good. */
    endsAtMs: number;
    strike(simulation: OutageSimulation): void;
}

export interface OutageHistory {
    description: string;
    violations: string[];
    /** By how much a task exceeded the time that it may be without a run; negative if none did. */
    worstExcessMs: number;
    termsCount: number;
}

const calmDurationMs = 16_000;
/** A task may be without a run for this long, and for this long after the last fault. */
const maxIdleMs = 9_000;
const maxIdleInCalmMs = 7_000;
const workersCount = 4;

const lastingFault = (name: string, atMs: number, durationMs: number, strike: (simulation: OutageSimulation) => void): Fault => ({
    name: `${name} for ${durationMs} ms`,
    atMs,
    endsAtMs: atMs + durationMs,
    strike,
});
const finalFault = (name: string, atMs: number, strike: (simulation: OutageSimulation) => void): Fault => ({
    name,
    atMs,
    endsAtMs: atMs,
    strike,
});
const workerLoss = (worker: number, atMs: number): Fault =>
    finalFault(`w${worker} is lost`, atMs, simulation => simulation.crashWorker(worker));
const ownerLoss = (atMs: number): Fault => finalFault("the owner is lost", atMs, simulation => simulation.killOwner());
const ownerRestart = (atMs: number, durationMs: number): Fault =>
    finalFault(`the owner is killed and returns after ${durationMs} ms`, atMs, simulation => simulation.killOwner(durationMs));
const ownerStop = (atMs: number, durationMs: number): Fault =>
    finalFault(`the owner is stopped and returns after ${durationMs} ms`, atMs, simulation => simulation.stopOwner(durationMs));

/** A worker is lost. */
export function chooseLoss(random: SeededRandom): Fault[] {
    return [workerLoss(random.between(0, workersCount - 1), 0)];
}

/** A worker is lost, and once the owner must have noticed, that owner is killed, and at times the next one too. */
export function chooseNoticedLoss(random: SeededRandom): Fault[] {
    const killedAtMs = random.between(1_700, 6_000);
    const nextKilledAtMs = killedAtMs + random.between(2_500, 5_000);
    return [
        workerLoss(random.between(0, workersCount - 1), 0),
        ownerLoss(killedAtMs),
        ...(random.between(0, 1) === 0 ? [ownerLoss(nextKilledAtMs)] : []),
    ];
}

/** An owner is killed or stopped, and a worker is lost about then, so that no owner knows what ran on it. */
export function chooseUnnoticedLoss(random: SeededRandom): Fault[] {
    const endOwner = random.pick([ownerRestart, ownerStop]);
    return [
        endOwner(1_500, random.between(300, 1_000)),
        workerLoss(random.between(0, workersCount - 1), random.between(100, 2_500)),
    ].sort((a, b) => a.atMs - b.atMs);
}

/** A worker is cut off for a while; when it is back, the owner is cut off from the store, and then the worker again. */
export function chooseReturnDuringCut(random: SeededRandom): Fault[] {
    const worker = random.between(0, workersCount - 1);
    const durationMs = random.between(1_600, 2_600);
    const cutWorker = (atMs: number, forMs: number): Fault =>
        lastingFault(`w${worker} is cut off`, atMs, forMs, simulation => simulation.cutWorker(worker, forMs));
    return [
        cutWorker(0, durationMs),
        lastingFault("the owner is cut off", durationMs, 6_000, simulation => simulation.cutOwner(6_000)),
        cutWorker(durationMs + random.between(800, 1_700), 6_000),
    ];
}

/** Two to four faults of any kind. */
export function chooseAnyFaults(random: SeededRandom): Fault[] {
    const lostWorkers = new Set<number>();
    const chooseFault = (atMs: number): Fault => {
        const durationMs = random.between(200, 4_000);
        const worker = random.between(0, workersCount - 1);
        const nodeName = random.between(0, 1) === 0 ? undefined : `node${random.between(0, 2)}`;
        if (random.between(0, 3) === 0 && lostWorkers.size < workersCount / 2 && !lostWorkers.has(worker)) {
            lostWorkers.add(worker);
            return workerLoss(worker, atMs);
        }
        const faults: Fault[] = [
            ownerLoss(atMs),
            ownerRestart(atMs, Math.round(durationMs / 4)),
            ownerStop(atMs, Math.round(durationMs / 4)),
            lastingFault("the owner is cut off", atMs, durationMs, simulation => simulation.cutOwner(durationMs)),
            lastingFault("answers are lost", atMs, durationMs, simulation => simulation.loseAnswers(durationMs)),
            lastingFault(`w${worker} is cut off`, atMs, durationMs, simulation => simulation.cutWorker(worker, durationMs, nodeName)),
            ...(lostWorkers.has(worker) ? [] : [
                lastingFault(`w${worker} crashes`, atMs, durationMs, simulation => simulation.crashWorker(worker, durationMs)),
            ]),
        ];
        return random.pick(faults);
    };
    return Array.from({ length: random.between(2, 4) }, () => random.between(0, 5_000)).sort((a, b) => a - b).map(chooseFault);
}

export async function playHistory(
    seed: number,
    chooseFaults: (random: SeededRandom) => Fault[],
    maxLeaseMs = workerLeaseMs,
): Promise<OutageHistory> {
    const random = createSeededRandom(seed);
    const simulation = createOutageSimulation(random, maxLeaseMs);
    await simulation.run(random.between(6_000, 16_000));
    const startedAtMs = simulation.nowMs();
    const faults = chooseFaults(random);
    for (const fault of faults) {
        await simulation.run(startedAtMs + fault.atMs - simulation.nowMs());
        fault.strike(simulation);
    }
    const calmSinceMs = startedAtMs + Math.max(...faults.map(each => each.endsAtMs));
    let worstExcessMs = Number.NEGATIVE_INFINITY;
    let failsAtMs = calmSinceMs + random.between(0, 4_000);
    while (simulation.nowMs() < calmSinceMs + calmDurationMs) {
        await simulation.run(100);
        const idleMs = Math.max(...simulation.idleMsByTask().values());
        const idleInCalmMs = Math.min(idleMs, simulation.nowMs() - calmSinceMs);
        worstExcessMs = Math.max(worstExcessMs, Math.min(idleMs - maxIdleMs, idleInCalmMs - maxIdleInCalmMs));
        if (simulation.nowMs() > failsAtMs) {
            simulation.failTask();
            failsAtMs = simulation.nowMs() + random.between(1_000, 4_000);
        }
    }
    simulation.close();
    return {
        description: `seed ${seed}: ${faults.map(({ name, atMs }) => `${name} at ${startedAtMs + atMs} ms`).join(", ")}`,
        violations: simulation.violations,
        worstExcessMs,
        termsCount: simulation.termsCount(),
    };
}
