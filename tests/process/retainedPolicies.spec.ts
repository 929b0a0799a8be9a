/** Guards against jobs of a removed queue that stop when another process, which never knew the queue, becomes the owner. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { describeAcceptance, jobStates, type JobSubmission, type SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker } from "../scheduling/modelWorker.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { createWorkerConnector } from "./simulatedWorkerClient.js";

const jobId = "job";
const taskDurationMs = 2_000;

const sentTo = (poolName: string, version: number): SchedulingPolicy => ({
    ...modelPolicy,
    version,
    queues: new Map([["queue", { ...modelPolicy.queues.get("queue")!, poolName }]]),
});
const withoutQueue = (version: number): SchedulingPolicy => ({ ...modelPolicy, version, queues: new Map() });

/** A process that has ended sends nothing more. */
const silencedAfterEnd = (client: WorkerClient, hasEnded: () => boolean): WorkerClient => ({
    ...client,
    start: order => hasEnded() ? new Promise(() => undefined) : client.start(order),
    list: order => hasEnded() ? new Promise(() => undefined) : client.list(order),
});

/** One worker, in "pool", and processes that all follow the same store. */
function createFixture() {
    const timers = createManualTimerService();
    const random = createSeededRandom(1);
    const store = createSimulatedStore(timers, random, false);
    const startedAtMs = new Map<string, number>();
    const worker = createModelWorker("w1", taskName => startedAtMs.set(taskName, timers.nowMs()), () => undefined);
    const connectWorker = createWorkerConnector({ timers, random, isFault: () => false, hasFaults: () => false });
    const running: SimulatedProcess[] = [];
    let membersCount = 0;
    return {
        putPolicies: (text: string): void => store.put(jobKeys.retainedPolicies, text),
        startedTasks: (): string[] => [...startedAtMs.keys()],
        submit: (acceptedUnder: SchedulingPolicy | undefined): void => {
            const steps = [defaultStep, { ...defaultStep, dependsOn: [0] }];
            const submission: JobSubmission = {
                jobId,
                queueName: "queue",
                teamName: undefined,
                payload: "",
                steps,
                repeat: undefined,
                submittedWallMs: 0,
                acceptedUnder: acceptedUnder && describeAcceptance(acceptedUnder, "queue", undefined),
            };
            store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
        },
        start: (policy: SchedulingPolicy): void => {
            const started = startSimulatedProcess({
                nodeName: `node${++membersCount}`,
                memberId: `member${membersCount}`,
                timers,
                random,
                store,
                processStore: store.connect(() => false),
                policy,
                workerEntries: [entryOf(worker)],
                workerLeaseMs,
                connectWorker: () => silencedAfterEnd(connectWorker(worker), () => started.lifetime.signal.aborted),
                onUnreadable: key => assert.fail(key),
                onTermStarted: () => undefined,
            });
            running.push(started);
        },
        configure: (policy: SchedulingPolicy): void => running.forEach(({ service }) => service.onPolicyChanged(policy)),
        killAll: (): void => running.splice(0).forEach(({ lifetime }) => lifetime.abort()),
        killOwner: (): void => {
            const index = running.findIndex(({ ownership }) => ownership.isLeaseValid());
            assert.notEqual(index, -1);
            running.splice(index, 1)[0]!.lifetime.abort();
        },
        run: async (durationMs: number): Promise<void> => {
            for (const untilMs = timers.nowMs() + durationMs; timers.nowMs() < untilMs;) {
                timers.advance(20);
                for (const taskName of [...worker.running.keys()]) {
                    if (timers.nowMs() - startedAtMs.get(taskName)! >= taskDurationMs) {
                        worker.end(taskName, "done");
                    }
                }
                running.forEach(each => each.follow());
                await new Promise(resolve => setImmediate(resolve));
                await new Promise(resolve => setImmediate(resolve));
            }
        },
        jobState: (): string | undefined => {
            const progress = store.valueOf(jobKeys.progressPrefix + jobId);
            return progress === undefined ? undefined : decodeProgress(progress).state;
        },
        storedPolicies: (): string | undefined => store.valueOf(jobKeys.retainedPolicies),
    };
}

describe("a job of a removed queue", () => {
    it("should run where the queue was sent last, under an owner that starts after all others have ended", async () => {
        const fixture = createFixture();
        fixture.submit(sentTo("empty pool", 1));
        fixture.start(sentTo("pool", 2));
        await fixture.run(1_000);
        assert.deepEqual(fixture.startedTasks(), ["job.0.0.0"]);
        fixture.configure(withoutQueue(3));
        await fixture.run(800);
        fixture.killAll();
        fixture.start(withoutQueue(3));
        await fixture.run(20_000);
        fixture.killAll();
        assert.deepEqual(fixture.startedTasks(), ["job.0.0.0", "job.0.1.0"]);
        assert.equal(fixture.jobState(), jobStates.completed);
    });

    it("should run on under a process that has followed the configuration when the owner ends at once after the removal", async () => {
        const fixture = createFixture();
        fixture.submit(undefined);
        fixture.start(sentTo("pool", 1));
        fixture.start(sentTo("pool", 1));
        await fixture.run(1_000);
        assert.deepEqual(fixture.startedTasks(), ["job.0.0.0"]);
        fixture.configure(withoutQueue(2));
        fixture.killOwner();
        await fixture.run(20_000);
        fixture.killAll();
        assert.equal(fixture.jobState(), jobStates.completed);
    });

    it("should leave nothing in the store once it has ended", async () => {
        const fixture = createFixture();
        fixture.submit(undefined);
        fixture.start(sentTo("pool", 1));
        await fixture.run(1_000);
        assert.equal(fixture.storedPolicies(), undefined, "the configuration has the queue");
        fixture.configure(withoutQueue(2));
        await fixture.run(800);
        assert.match(fixture.storedPolicies() ?? "", /"poolName":"pool"/);
        await fixture.run(8_000);
        fixture.killAll();
        assert.equal(fixture.jobState(), jobStates.completed);
        assert.equal(fixture.storedPolicies(), '{"queues":[],"teams":[]}');
    });

    for (
        const text of [
            "{",
            "{}",
            '{"queues":[{"configurationVersion":1}],"teams":[]}',
            '{"queues":[],"teams":[{"configurationVersion":1,"policy":{}}]}',
        ]
    ) {
        it(`should run by its own policy if the stored ones cannot be read: ${text}`, async () => {
            const fixture = createFixture();
            fixture.putPolicies(text);
            fixture.submit(sentTo("pool", 1));
            fixture.start(withoutQueue(2));
            await fixture.run(8_000);
            assert.notEqual(fixture.storedPolicies(), text, "the unreadable ones are replaced");
            fixture.killAll();
            assert.equal(fixture.jobState(), jobStates.completed);
        });
    }
});
