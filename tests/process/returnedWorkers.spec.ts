/** Guards against an outdated snapshot of a worker that was removed and returned: the next owner takes what has started there since for gone. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import type { WriteFault } from "./simulatedStore.js";
import { createTakeoverSimulation, cuts, nodeNames, type TakeoverSimulation } from "./takeoverEndsSimulation.js";

const seed = 2;
const maxWaitMs = 20_000;
const entryLifetimeMs = 3_000;
const cutMs = 12_000;
const calmMs = 20_000;
const returnDelayMs = 200;
/** The response to the write that removes the snapshot is still missing then. */
const ownerEndsAfterMs = 800;
const firstTask = "first.0.0.0";
const secondTask = "second.0.0.0";

async function runUntil(simulation: TakeoverSimulation, what: string, holds: () => boolean): Promise<void> {
    const untilMs = simulation.timers.nowMs() + maxWaitMs;
    while (!holds()) {
        assert.ok(simulation.timers.nowMs() < untilMs, [`not within ${maxWaitMs} ms: ${what}`, ...simulation.events].join("\n"));
        await simulation.run(1, () => undefined);
    }
}

describe("a worker whose entry returns with the same start time", () => {
    it("should run no task twice if the owner is lost while the worker's outdated snapshot is being removed", async () => {
        let lostKey: string | undefined;
        let lostCount = 0;
        const simulation = createTakeoverSimulation({
            random: createSeededRandom(seed),
            hasFaults: () => false,
            isFault: () => false,
            isLeaseCallFaulty: () => false,
            isFailure: () => false,
            chooseWriteFault: (keys): WriteFault | undefined => {
                const isLost = lostKey !== undefined && keys.includes(lostKey);
                lostCount += isLost ? 1 : 0;
                return isLost ? { executedAfterMs: undefined } : undefined;
            },
            chooseCallFault: () => undefined,
        });
        const { workers } = simulation;
        const cutOff = (worker: ModelWorker, durationMs: number): void =>
            nodeNames.forEach(nodeName => simulation.cut(cuts.worker(nodeName, worker), durationMs));
        const setCapacity = (changed: readonly ModelWorker[], capacity: number): void =>
            changed.forEach(each => {
                each.capacity = capacity;
                simulation.returnEntry(each);
            });
        assert.ok(workers.length > 1, "the seed gives one worker only");

        simulation.submit("first", [defaultStep], 60_000);
        await runUntil(simulation, "the first task runs", () => workers.some(({ running }) => running.has(firstTask)));
        const worker = workers.find(({ running }) => running.has(firstTask))!;
        const others = workers.filter(each => each !== worker);
        await simulation.run(1_000, () => undefined);
        cutOff(worker, cutMs);
        await simulation.run(entryLifetimeMs, () => undefined);
        lostKey = jobKeys.workerSnapshotPrefix + worker.id;
        simulation.dropEntry(worker, cutMs - entryLifetimeMs);
        await runUntil(simulation, "the snapshot of the gone worker is removed", () => lostCount > 0);

        // Its entry and the path to it are back before the store has removed the snapshot, and no other worker has room.
        setCapacity(others, 0);
        cutOff(worker, 0);
        await simulation.run(returnDelayMs, () => undefined);
        simulation.returnEntry(worker);
        simulation.submit("second", [defaultStep], 5_000);
        const untilMs = simulation.timers.nowMs() + ownerEndsAfterMs;
        while (simulation.timers.nowMs() < untilMs && !worker.running.has(secondTask)) {
            await simulation.run(1, () => undefined);
        }
        setCapacity(others, 2);
        simulation.endProcess(simulation.ownerNode()!, { stopMs: undefined, returnsAfterMs: 10_000 });
        cutOff(worker, 4_000);
        lostKey = undefined;
        await simulation.run(calmMs, () => undefined);
        simulation.close();
        assert.equal(simulation.violations.length, 0, [...simulation.violations, ...simulation.events].join("\n"));
        assert.equal(simulation.jobState("second"), jobStates.completed);
    });
});
