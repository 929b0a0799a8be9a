/** Guards against a task that crashes each worker that starts it and so goes through the whole pool. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { snapshotStates } from "../../src/scheduling/unresponsiveWorkers.js";
import {
    crashesBeforeGivingUp,
    crashWorkers,
    createPool,
    endConnections,
    jobState,
    listAll,
    unprovenCrashesBeforeGivingUp,
} from "./crashPool.js";
import type { JobInput, SchedulerHarness } from "./schedulerHarness.js";

describe("a task that crashes each worker that starts it", () => {
    const ways: Record<string, (harness: SchedulerHarness, workerId: string) => void> = {
        "before the worker is listed, which starts again under its id": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            endConnections(harness, workerId);
            harness.advance(3_000);
            harness.restartWorker(workerId);
            harness.list(workerId, {});
        },
        "after the worker has listed it": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.list(workerId, { running: ["job.0.0.0"] });
            endConnections(harness, workerId);
            harness.advance(3_000);
            harness.restartWorker(workerId);
            harness.list(workerId, {});
        },
        "and another worker responds at its address": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            endConnections(harness, workerId);
            harness.advance(3_000);
            harness.replaceWorker(workerId);
        },
    };
    /** In these ways, nothing shows that the task was at work when its worker ended. */
    const unprovenWays: typeof ways = {
        "before it responds to the start": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(3_000);
            harness.restartWorker(workerId);
            harness.answerStops(commandOutcomes.accepted);
            harness.advance(10);
            harness.list(workerId, {});
        },
        "before it responds to the start, and another worker responds at its address": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.unknown);
            harness.advance(3_000);
            harness.replaceWorker(workerId);
        },
        "which starts again under its id after its leases have ended": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
            harness.advance(20_000);
            harness.restartWorker(workerId);
            listAll(harness);
        },
        "and another one registers at its address after its leases and its entry have ended": (harness, workerId) => {
            harness.answerStarts(commandOutcomes.accepted);
            harness.scheduler.workerUnresponsive(workerId, harness.nowMs());
            const { entry } = harness.scheduler.state.workers.get(workerId)!;
            harness.scheduler.unregisterWorker(workerId);
            harness.advance(10);
            harness.scheduler.snapshotStateChanged(workerId, snapshotStates.written);
            harness.advance(20_000);
            assert.equal(harness.scheduler.state.workers.has(workerId), false);
            harness.scheduler.registerWorker({ ...entry, workerId: `${workerId}b`, bornWallMs: harness.nowMs() }, {
                nowMs: harness.nowMs(),
                wallMs: harness.nowMs(),
            });
            listAll(harness);
        },
    };
    const crash = (harness: SchedulerHarness, way: (harness: SchedulerHarness, workerId: string) => void): number => {
        harness.submit("job", { taskCount: 1 });
        const crashesCount = crashWorkers(harness, workerId => way(harness, workerId));
        assert.equal(harness.scheduler.takeUnsavedJobs(10)[0]?.progress.state ?? jobState(harness), "failed");
        return crashesCount;
    };
    for (const [name, way] of Object.entries(ways)) {
        it(`should be given up instead of crashing the whole pool: ${name}`, () => {
            assert.equal(crash(createPool(), way), crashesBeforeGivingUp);
        });
    }
    for (const [name, way] of Object.entries(unprovenWays)) {
        it(`should be given up as soon as the rule demands it: ${name}`, () => {
            assert.equal(crash(createPool(), way), unprovenCrashesBeforeGivingUp);
        });
    }

    const replace = (harness: SchedulerHarness, workerId: string): void => {
        harness.answerStarts(commandOutcomes.accepted);
        endConnections(harness, workerId);
        harness.advance(3_000);
        harness.replaceWorker(workerId);
    };

    const kinds: Record<string, JobInput> = {
        "long-running": { taskCount: 1, isLongRunning: true },
        "an occurrence of a repeated job": { taskCount: 1, repeat: { firstDueWallMs: 0, intervalMs: 1_000_000, count: 2 } },
    };
    for (const [kind, input] of Object.entries(kinds)) {
        it(`should be given up if it is ${kind}`, () => {
            const harness = createPool();
            harness.submit("job", input);
            assert.equal(crashWorkers(harness, workerId => replace(harness, workerId)), crashesBeforeGivingUp);
        });
    }

    it("should be given up if it is part of a gang, whichever task crashes its worker", () => {
        const harness = createPool({ cpuMillicores: 2_000 });
        harness.submit("job", { taskCount: 2, isGang: true, request: { cpuMillicores: 2_000, memoryMb: 100, accelerators: 0 } });
        for (let crashed = 1; crashed <= crashesBeforeGivingUp; crashed++) {
            const runs = harness.commands(commandKinds.start).slice(-2);
            assert.equal(harness.startedTasks().length, 2 * crashed);
            harness.answerStarts(commandOutcomes.accepted);
            harness.advance(1_000);
            const [victim, other] = crashed % 2 === 0 ? runs : runs.reverse();
            harness.replaceWorker(victim!.workerId);
            harness.list(other!.workerId, { ended: [{ taskName: other!.taskName, end: "broken" }] });
            listAll(harness);
        }
        assert.equal(jobState(harness), "failed");
        assert.equal(harness.startedTasks().length, 2 * crashesBeforeGivingUp);
    });

    it("should end its whole job, stop the job's other tasks, and stay ended for the next owner", () => {
        const harness = createPool({ isSavedManually: true });
        harness.submit("job", { taskCount: 2, laterSteps: [{ taskCount: 1 }] });
        harness.saveAll();
        const other = harness.commands(commandKinds.start).find(run => run.taskName === "job.0.0.1")!;
        harness.answerStarts(commandOutcomes.accepted);
        for (let crashed = 1; crashed <= crashesBeforeGivingUp; crashed++) {
            harness.advance(1_000);
            harness.replaceWorker(harness.commands(commandKinds.start).findLast(run => run.taskName === "job.0.0.0")!.workerId);
            listAll(harness);
            harness.list(other.workerId, { running: ["job.0.0.1"] });
            if (crashed < crashesBeforeGivingUp) {
                harness.saveAll();
                harness.answerStarts(commandOutcomes.accepted);
            }
        }
        assert.deepEqual(harness.commands(commandKinds.stop).map(run => run.taskName), ["job.0.0.1"]);
        assert.equal(jobState(harness), "failed");
        const [saved] = harness.scheduler.takeUnsavedJobs(10);
        assert.equal(saved!.progress.state, "failed");

        const next = createPool({ token: 20 });
        next.submit("job", { taskCount: 2, progress: saved!.progress });
        listAll(next);
        assert.deepEqual(next.startedTasks(), []);
    });

    it("should be logged with the runs under which workers crashed", () => {
        const decisions: string[] = [];
        const harness = createPool({
            onDecision: ({ what, taskName, reason, detail }) => decisions.push([what, taskName, reason, detail].join("|")),
        });
        harness.submit("job", { taskCount: 1 });
        crashWorkers(harness, workerId => replace(harness, workerId));
        const runIds = harness.commands(commandKinds.start).map(run => run.runId).join(", ");
        assert.ok(decisions.includes(`give up task|job.0.0.0|3 workers crashed under it|runs ${runIds}`), decisions.join("\n"));
    });
});
