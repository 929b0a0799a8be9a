/**
 * Replays a surge over 160 workers with seven short tasks each, which end one by one, and 220 idle workers, against an owner whose
 * processor handles one call after the other. Without pauses it spends its time on listings, and its orders are late.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom, type SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import { listingPauseMs, listingWaitMs, retryDelayMs } from "../../src/decisions/paceListings.js";
import { createLatenessMeter } from "../../src/process/latenessMeter.js";
import { responseTimeoutMs } from "../../src/scheduling/startObstacle.js";

const busyWorkersCount = 160;
const idleWorkersCount = 220;
const tasksPerWorker = 7;
const taskMs = 640;
const simulatedMs = 8_000;
const warmUpMs = 2_000;
const saveMs = 25;

interface Pacing {
    pauseMs(latenessMs: number): number;
    idleWaitMs: number;
}

interface Worker {
    /** Ends that no listing has returned yet. */
    ends: number[];
    isListingOpen: boolean;
}

/** Runs the surge; returns the mean time from the end of a task to the order that replaces it, and the owner's calls a second. */
function replay(pacing: Pacing, callMs: number, random: SeededRandom): { meanDelayMs: number; callsPerS: number } {
    const events: { atMs: number; run: (nowMs: number) => void }[] = [];
    const at = (atMs: number, run: (nowMs: number) => void): void => void events.push({ atMs, run });
    let tick: (nowMs: number) => void = () => undefined;
    let tickMs = 0;
    const meter = createLatenessMeter({
        ...createManualTimerService(),
        every: (intervalMs, _, callback) => [tickMs, tick] = [intervalMs, callback],
    });
    meter.start(new AbortController().signal);
    let freeAtMs = 0;
    let callsCount = 0;
    const delays: number[] = [];
    /** Calls `done` once the owner has handled what became due now, after all that was due before. */
    const handle = (nowMs: number, costMs: number, done: (doneAtMs: number) => void): void => {
        freeAtMs = Math.max(freeAtMs, nowMs) + costMs;
        callsCount += costMs > 0 ? 1 : 0;
        at(freeAtMs, done);
    };
    const handleTick = (nowMs: number): void =>
        handle(nowMs, 0, doneAtMs => {
            tick(doneAtMs);
            at(doneAtMs + tickMs, handleTick);
        });
    at(tickMs, handleTick);

    const returnEnds = (worker: Worker, nowMs: number): void => {
        worker.isListingOpen = false;
        const ends = worker.ends.splice(0);
        handle(nowMs, callMs, handledAtMs => {
            ends.forEach(endedAtMs =>
                handle(handledAtMs + saveMs, callMs, startedAtMs => {
                    if (startedAtMs > warmUpMs) {
                        delays.push(startedAtMs - endedAtMs);
                    }
                    start(worker, startedAtMs);
                })
            );
            at(handledAtMs + Math.max(saveMs, pacing.pauseMs(meter.latenessMs())), listedAtMs => {
                worker.isListingOpen = true;
                if (worker.ends.length > 0) {
                    returnEnds(worker, listedAtMs);
                }
            });
        });
    };
    const start = (worker: Worker, nowMs: number): void =>
        at(nowMs + taskMs * (0.7 + 0.6 * random.unit()), endedAtMs => {
            worker.ends.push(endedAtMs);
            if (worker.isListingOpen) {
                returnEnds(worker, endedAtMs);
            }
        });
    for (let index = 0; index < busyWorkersCount; index++) {
        const worker: Worker = { ends: [], isListingOpen: true };
        Array.from({ length: tasksPerWorker }, () => start(worker, random.unit() * taskMs));
    }
    const listIdle = (nowMs: number): void => handle(nowMs, callMs, doneAtMs => at(doneAtMs + pacing.idleWaitMs, listIdle));
    Array.from({ length: idleWorkersCount }, () => at(random.unit() * pacing.idleWaitMs, listIdle));

    for (let nowMs = 0; nowMs < simulatedMs && events.length > 0;) {
        const next = events.reduce((first, each, index) => each.atMs < events[first]!.atMs ? index : first, 0);
        const [event] = events.splice(next, 1);
        nowMs = event!.atMs;
        event!.run(nowMs);
    }
    return { meanDelayMs: delays.reduce((sum, each) => sum + each, 0) / delays.length, callsPerS: callsCount / (simulatedMs / 1000) };
}

const paced: Pacing = { pauseMs: listingPauseMs, idleWaitMs: listingWaitMs(0) };
/** One listing for each end, and one a second for an idle worker. */
const unpaced: Pacing = { pauseMs: () => 0, idleWaitMs: 1_000 };

describe("listings in a surge over hundreds of workers", () => {
    for (const seed of [1, 2, 3]) {
        it(`should leave an owner that is short of time more of it for orders: seed ${seed}`, () => {
            const before = replay(unpaced, 0.6, createSeededRandom(seed));
            const after = replay(paced, 0.6, createSeededRandom(seed));
            assert.ok(after.meanDelayMs < 0.75 * before.meanDelayMs, `${before.meanDelayMs} ms before, ${after.meanDelayMs} ms after`);
        });

        it(`should not delay the next task of an owner that keeps up: seed ${seed}`, () => {
            const before = replay(unpaced, 0.2, createSeededRandom(seed));
            const after = replay(paced, 0.2, createSeededRandom(seed));
            assert.ok(after.meanDelayMs < before.meanDelayMs + 10, `${before.meanDelayMs} ms before, ${after.meanDelayMs} ms after`);
            assert.ok(after.callsPerS < before.callsPerS, "idle workers are listed less often");
        });
    }

    it("should be repeated within half a second if they fail, or within two if the worker has left", () => {
        const delaysMs = (hasDeparted: boolean): number[] =>
            Array.from({ length: 100 }, (_, index) => retryDelayMs(index + 1, hasDeparted));
        assert.ok(Math.max(...delaysMs(false)) <= 500 && Math.max(...delaysMs(true)) <= 2_000);
        assert.equal(delaysMs(true)[0], delaysMs(false)[0], "a single failure says nothing of a worker");
    });

    it("should be answered before a worker gets no more runs, also if the answer takes half a second", () => {
        assert.ok(Math.max(listingWaitMs(0), listingWaitMs(1)) + 500 < responseTimeoutMs);
    });
});
