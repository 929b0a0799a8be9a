/**
 * Guards what a new owner owes to the workers that it lists last: their leases, which go on from the former owner's last listing, and the
 * stops of what it knows to run there.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { callKinds, type WorkerCall } from "./lateCommands.js";
import { createTakeoverFleet, pools, type TakeoverFleet } from "./takeoverFleet.js";

const runningCount = 8;
/** Three for each other worker: after the cut of a zone, 347 of 488 workers left the new owner's calls without a response. */
const silentCount = 24;
/** Longer than any lease may last after the former owner's end. */
const leasesMs = 8_000;
/** After a worker can be reached again. */
const stoppedWithinMs = 2_000;

const taskOf = (worker: ModelWorker): string | undefined => [...worker.running.keys()][0];
const explain = ({ violations, events }: TakeoverFleet): string => [...violations, ...events].join("\n");

/** Long-running tasks on all workers of a pool without waiting work, and waiting tasks in a pool with more workers. */
async function createBusyFleet(isLost: (call: WorkerCall) => boolean = () => false): Promise<TakeoverFleet> {
    const fleet = createTakeoverFleet({ workersCount: { waiting: silentCount, running: runningCount }, isLost });
    fleet.submit("service", pools.running, { taskCount: runningCount, isLongRunning: true, maxTasksPerWorker: 1 });
    fleet.submit("queued", pools.waiting, { taskCount: 3 * silentCount });
    await fleet.runUntil("all tasks run", () => fleet.workersOf(pools.running).every(({ running }) => running.size === 1));
    // Nothing of this job runs, which the next owner knows from the store.
    fleet.submit("waiting", pools.waiting, { taskCount: 1 });
    await fleet.run(4_000);
    return fleet;
}

describe("a new owner beside workers that leave its calls without a response", () => {
    for (const lostNumber of [1, 2]) {
        // At any time between two listings of the former owner.
        for (const killAfterMs of [0, 300, 600, 900]) {
            it(`should extend all other leases in time if listing ${lostNumber} of each worker is lost, killed after ${killAfterMs} ms`, async () => {
                const listingsCounts = new Map<ModelWorker, number>();
                let isTakenOver = false;
                const fleet = await createBusyFleet(({ kind, worker }) => {
                    if (!isTakenOver || kind !== callKinds.list) {
                        return false;
                    }
                    const listingsCount = (listingsCounts.get(worker) ?? 0) + 1;
                    listingsCounts.set(worker, listingsCount);
                    return listingsCount === lostNumber;
                });
                await fleet.run(killAfterMs);
                const running = fleet.workersOf(pools.running);
                const tasks = running.map(taskOf);
                // What runs on a worker goes on after its entry is removed.
                fleet.removeEntry(running[0]!);
                fleet.setReachable(fleet.workersOf(pools.waiting), false);
                isTakenOver = true;
                await fleet.killOwner();
                await fleet.run(leasesMs);
                fleet.close();
                assert.deepEqual(running.map(taskOf), tasks, explain(fleet));
                const lapsed = fleet.violations.filter(line => running.some(({ id }) => line.includes(id)));
                assert.deepEqual(lapsed, [], explain(fleet));
                assert.ok(running.every(worker => listingsCounts.get(worker)! > lostNumber), explain(fleet));
            });
        }
    }
});

describe("a run that a new owner knows from a snapshot", () => {
    it("should be stopped if its job is cancelled as soon as the term begins, and its worker can be reached again", async () => {
        const fleet = await createBusyFleet();
        const [worker] = fleet.workersOf(pools.running);
        const task = taskOf(worker!)!;
        fleet.setReachable([worker!], false);
        await fleet.runUntil("the owner has stored the snapshot", () => fleet.hasSnapshot(worker!));
        await fleet.killOwner();
        fleet.cancel("service");
        await fleet.run(100);
        fleet.setReachable([worker!], true);
        assert.ok(worker!.running.has(task), "its lease has not ended yet");
        await fleet.run(stoppedWithinMs);
        fleet.close();
        assert.ok(!worker!.running.has(task), explain(fleet));
        assert.deepEqual(fleet.violations, [], explain(fleet));
    });
});
