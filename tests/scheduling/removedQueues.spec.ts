/** Guards against accepted jobs that stop for good, or run beyond their team's limit, when the configuration removes their queue or team. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { progressOf } from "../../src/scheduling/jobRecord.js";
import { describeAcceptance, jobStates, type SchedulingPolicy, type TeamPolicy } from "../../src/scheduling/jobTypes.js";
import { modelPolicy } from "./modelJob.js";
import { createSchedulerHarness, type SchedulerHarness } from "./schedulerHarness.js";

const team: TeamPolicy = { name: "team", weight: 1, limit: { cpuMillicores: 2_000, memoryMb: 0, accelerators: 0 } };
const request = { cpuMillicores: 1_000, memoryMb: 10, accelerators: 0 };

const createHarness = (options: { token?: number; workers?: number } = {}): SchedulerHarness => {
    const harness = createSchedulerHarness({ workers: 1, teams: [team], ...options });
    harness.list("w1", { sentAtMs: 0 });
    return harness;
};
const withPool = (poolName: string, version: number): SchedulingPolicy => ({
    ...modelPolicy,
    version,
    queues: new Map([["queue", { ...modelPolicy.queues.get("queue")!, poolName }]]),
});
/** A configuration without the queue, its pool and the team. */
const withoutQueue = (version: number): SchedulingPolicy => ({ version, queues: new Map(), pools: new Map(), teams: new Map() });
const finishTasks = (harness: SchedulerHarness, taskNames: readonly string[]): void => {
    harness.answerStarts(commandOutcomes.accepted);
    harness.advance(10);
    harness.list("w1", { ended: taskNames.map(taskName => ({ taskName, end: "done" })) });
    harness.advance(10);
};
const stateOf = (harness: SchedulerHarness): string | undefined => harness.scheduler.state.jobs.get("job")?.state;

describe("a job whose queue is removed from the configuration", () => {
    it("should run its later steps, and its tasks that fail again", () => {
        const harness = createHarness();
        harness.submit("job", { taskCount: 1, laterSteps: [{ taskCount: 1 }] });
        harness.scheduler.setPolicy(withoutQueue(2));
        finishTasks(harness, ["job.0.0.0"]);
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0", "job.0.1.0"]);
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w1", { ended: [{ taskName: "job.0.1.0", end: "failed" }] });
        assert.equal(harness.startedTasks().length, 3);
        finishTasks(harness, ["job.0.1.0"]);
        assert.equal(stateOf(harness), jobStates.completed);
    });

    it("should start if no task has started before", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.submit("job", { taskCount: 1 });
        harness.scheduler.setPolicy(withoutQueue(2));
        harness.scheduler.setPolicy(withoutQueue(3));
        harness.list("w1", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should run under an owner that has never known the queue", () => {
        const earlier = createHarness({ token: 10 });
        const acceptedUnder = describeAcceptance(modelPolicy, "queue", undefined);
        earlier.submit("job", { taskCount: 1, laterSteps: [{ taskCount: 1 }], acceptedUnder });
        finishTasks(earlier, ["job.0.0.0"]);
        const progress = progressOf(earlier.scheduler.state.jobs.get("job")!);
        const next = createSchedulerHarness({ workers: 1, token: 20 });
        next.scheduler.setPolicy(withoutQueue(2));
        next.list("w1", { sentAtMs: 0 });
        next.submit("job", { taskCount: 1, laterSteps: [{ taskCount: 1 }], acceptedUnder, progress });
        assert.deepEqual(next.startedTasks(), ["job.0.1.0"]);
    });

    it("should run where the last configuration with the queue sent it", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.updateEntry("w2", { poolName: "later pool" });
        harness.submit("job", { taskCount: 1, acceptedUnder: describeAcceptance(modelPolicy, "queue", undefined) });
        harness.scheduler.setPolicy(withPool("later pool", 2));
        harness.scheduler.setPolicy(withoutQueue(3));
        harness.list("w1", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should go by the configuration again once that has the queue", () => {
        const harness = createSchedulerHarness({ workers: 2 });
        harness.updateEntry("w2", { poolName: "later pool" });
        harness.submit("job", { taskCount: 1 });
        harness.scheduler.setPolicy(withoutQueue(2));
        harness.scheduler.setPolicy(withPool("later pool", 3));
        harness.list("w1", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), []);
        harness.list("w2", { sentAtMs: 0 });
        assert.deepEqual(harness.startedTasks(), ["job.0.0.0"]);
    });

    it("should keep its pool among those that can get VMs until it has ended", () => {
        const harness = createHarness();
        harness.submit("job", { taskCount: 1 });
        harness.scheduler.setPolicy(withoutQueue(2));
        assert.deepEqual([...harness.scheduler.state.policy.pools.keys()], ["pool"]);
        finishTasks(harness, ["job.0.0.0"]);
        harness.scheduler.retainedPolicies();
        assert.deepEqual([...harness.scheduler.state.policy.pools.keys()], []);
    });
});

describe("a team that is removed from the configuration", () => {
    it("should stay within the limit that it had when it was removed", () => {
        const harness = createHarness();
        harness.submit("job", { taskCount: 5, request, teamName: "team" });
        assert.equal(harness.startedTasks().length, 2);
        harness.scheduler.setPolicy({ ...modelPolicy, version: 2 });
        harness.advance(10);
        assert.equal(harness.startedTasks().length, 2);
        harness.answerStarts(commandOutcomes.accepted);
        harness.list("w1", { running: ["job.0.0.1"], ended: [{ taskName: "job.0.0.0", end: "done" }] });
        assert.equal(harness.startedTasks().length, 3);
    });

    it("should stay within the limit under which its job was accepted, under an owner that has never known the team", () => {
        const harness = createSchedulerHarness({ workers: 1 });
        harness.list("w1", { sentAtMs: 0 });
        const acceptedUnder = describeAcceptance({ ...modelPolicy, teams: new Map([["team", team]]) }, "queue", "team");
        harness.submit("job", { taskCount: 5, request, teamName: "team", acceptedUnder });
        assert.equal(harness.startedTasks().length, 2);
    });
});
