/**
 * Guards against answers to calls of one term that change what the scheduler of a later term of the same process believes, and
 * checks what a term begins with.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { defaultStep } from "../../harness/defaultStep.js";
import { type LogEvent, logEvents } from "../../src/process/logEvents.js";
import type { LogFields } from "../../src/process/logger.js";
import { encodeProgress, encodeSubmission, jobKeys, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import type { StepSpec } from "../../src/scheduling/jobTypes.js";
import { createTermFixture, saved, workerEntry } from "./schedulingTermFixture.js";

const listedEnd = { endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done", checkpoint: "" } as const;

describe("a later term of the same process", () => {
    it("should not acknowledge an end because a write of an earlier term is answered", async () => {
        const { swaps, lists, startedTasks, store, acquire, lose, pass } = createTermFixture();
        const nextList = async (): Promise<(typeof lists)[number]> => {
            for (let passesCount = 0; passesCount < 3 && lists.length === 0; passesCount++) {
                await pass();
            }
            return lists.shift()!;
        };
        store("job", undefined);
        await acquire(10);
        await lists.shift()!.answer({});
        assert.deepEqual(swaps[0]!.writes.map(write => write.key), [`${jobKeys.progressPrefix}job`]);
        // The write of the first term has landed, and its answer is on the way.
        store("job", { state: "running", occurrences: { 0: [{ done: [] }] }, workerIds: ["w1"] });
        lose();
        lists.splice(0);
        const earlierWrite = swaps.shift()!;
        await acquire(20);
        await lists.shift()!.answer({ ended: [{ endNumber: 1, taskName: "job.0.0.0", runId: 10_000_001, end: "done", checkpoint: "" }] });
        assert.deepEqual(startedTasks, ["job.0.0.1"]);
        assert.equal(swaps.length, 1, "the end is being written");
        earlierWrite.answer(saved(11));
        const afterEarlierWrite = await nextList();
        assert.equal(afterEarlierWrite.order.acknowledgedEndNumber, 0);
        await afterEarlierWrite.answer({});
        const unstored = await nextList();
        assert.equal(unstored.order.acknowledgedEndNumber, 0, "the end is not stored yet");
        swaps.shift()!.answer(saved(21));
        await unstored.answer({});
        assert.equal((await nextList()).order.acknowledgedEndNumber, 1);
    });
});

describe("a new term", () => {
    it("should begin only when the workers' entries are current", async () => {
        const { service, lists, store, acquire, setWorkersCurrent, pass } = createTermFixture();
        store("job", undefined);
        setWorkersCurrent(false);
        await acquire(10);
        assert.equal(service.scheduler(), undefined);
        setWorkersCurrent(true);
        await pass();
        assert.notEqual(service.scheduler(), undefined);
        assert.equal(lists.length, 1);
    });

    it("should begin only when the mirror contains everything that was written before it", async () => {
        const { service, lists, startedTasks, store, applyChange, acquire, setMirrorRevision, pass } = createTermFixture();
        const progressWith = (done: number[]): JobProgress => ({ state: "running", occurrences: { 0: [{ done }] }, workerIds: ["w1"] });
        store("job", progressWith([]));
        setMirrorRevision(9);
        await acquire(10);
        assert.equal(service.scheduler(), undefined);
        assert.equal(lists.length, 0);
        applyChange(`${jobKeys.progressPrefix}job`, encodeProgress(progressWith([0])));
        setMirrorRevision(10);
        await pass();
        await lists.shift()!.answer({});
        assert.deepEqual(startedTasks, ["job.0.0.1"]);
    });

    it("should log what it begins with, and what it leaves unsaved", async () => {
        const { lists, swaps, logged, store, acquire, lose } = createTermFixture();
        const find = (event: LogEvent): LogFields => logged.find(each => each.event === event)?.fields ?? assert.fail(event.text);
        store("job", { state: "running", occurrences: { 0: [{ done: [] }] }, workerIds: ["w1"] });
        await acquire(10);
        const started = find(logEvents.schedulingTermStarted);
        assert.deepEqual([started["token"], started["mirrorRevision"], started["jobsCount"], started["heldBackJobsCount"]], [10, 10, 1, 1]);
        await lists.shift()!.answer({ ended: [{ endNumber: 1, taskName: "job.0.0.0", runId: 1, end: "done", checkpoint: "" }] });
        const known = logged.find(({ fields }) => fields["what"] === "runs known");
        assert.deepEqual([known?.fields["workerId"], known?.fields["reason"]], ["w1", "listing"]);
        assert.equal(swaps.length, 1, "the end is being written");
        lose();
        const ended = find(logEvents.schedulingTermEnded);
        assert.deepEqual([ended["token"], ended["unsavedEndsCount"], ended["unsavedEndJobIds"]], [10, 1, ["job"]]);
    });

    it("should load all jobs and workers that can be read, and log the documents that cannot", async () => {
        const { lists, swaps, startedTasks, unreadableKeys, store, applyChange, acquire } = createTermFixture({
            hasUnreadableDocuments: true,
        });
        applyChange(`${jobKeys.submissionPrefix}a`, "{");
        store("b", undefined);
        applyChange(`${jobKeys.progressPrefix}b`, JSON.stringify({ state: "running", occurrences: { 0: [{ done: 1 }] } }));
        store("c", undefined);
        applyChange(`${jobKeys.progressPrefix}c`, "{");
        store("d", undefined);
        await acquire(10);
        assert.deepEqual(unreadableKeys, [`${jobKeys.submissionPrefix}a`, `${jobKeys.progressPrefix}b`, `${jobKeys.progressPrefix}c`]);
        await lists.shift()!.answer({});
        assert.deepEqual(swaps[0]!.writes.map(write => write.key), [`${jobKeys.progressPrefix}d`]);
        swaps.shift()!.answer(saved(11));
        await lists.shift()!.answer({});
        assert.deepEqual(startedTasks, ["d.0.0.0", "d.0.0.1"]);
    });
});

describe("a new term that finds a snapshot which cannot be read", () => {
    const unreadable = [
        { title: "without runs", text: JSON.stringify({ entry: workerEntry }) },
        { title: "of another worker", text: JSON.stringify({ entry: { ...workerEntry, workerId: "w2" }, runs: [] }) },
        { title: "with a run without an id", text: JSON.stringify({ entry: workerEntry, runs: [["job.0.0.0"]] }) },
    ];
    unreadable.forEach(({ title, text }) => {
        it(`should not start again what may run on the worker: ${title}`, async () => {
            const { service, lists, swaps, startedTasks, unreadableKeys, store, acquire, pass } = createTermFixture({
                hasUnreadableDocuments: true,
                snapshots: { w1: text },
            });
            store("job", { state: "running", occurrences: { 0: [{ done: [] }] }, workerIds: ["w1"] });
            service.onWorkerChanged("w1", undefined);
            service.onWorkerChanged("w2", { ...workerEntry, workerId: "w2", address: "10.0.0.2:80" });
            await acquire(20);
            await lists.find(({ address }) => address === "10.0.0.2:80")!.answer({});
            swaps.splice(0).forEach(swap => swap.answer(saved(21)));
            await pass();
            assert.deepEqual(startedTasks, []);
            assert.deepEqual(unreadableKeys, [`${jobKeys.workerSnapshotPrefix}w1`]);
        });
    });
});

describe("a running term", () => {
    it("should end before a worker has used up the fencing tokens of the term", async () => {
        const { service, lists, acquire, pass } = createTermFixture();
        await acquire(10);
        await lists.shift()!.answer({ ended: [listedEnd] });
        const scheduler = service.scheduler()!;
        const tokens: number[] = [];
        while (!scheduler.state.areTokensUsedUp) {
            assert.equal(scheduler.takeAcknowledgement("w1", 0), listedEnd.endNumber);
            tokens.push(scheduler.takeStartToken("w1"));
        }
        assert.ok(tokens.every((token, index) => index === 0 || token > tokens[index - 1]!), "tokens must rise");
        assert.ok(tokens.length > 10_000, `only ${tokens.length} tokens`);
        await pass();
        assert.equal(service.scheduler(), undefined);
        await acquire(11);
        assert.ok(service.scheduler()!.commandToken("w1") > tokens.at(-1)!);
    });

    it("should go on after a submitted job whose limit of tasks per worker is no number", async () => {
        const { service, lists, swaps, applyChange, acquire } = createTermFixture({ hasUnreadableDocuments: true });
        const submit = (jobId: string, step: StepSpec): void => {
            const submission = {
                jobId,
                queueName: "queue",
                teamName: undefined,
                payload: "",
                steps: [step],
                repeat: undefined,
                submittedWallMs: 0,
            };
            applyChange(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
        };
        await acquire(10);
        submit("odd", { ...defaultStep, maxTasksPerWorker: { toString: 0 } as unknown as number });
        submit("good", defaultStep);
        await lists.shift()!.answer({});
        assert.deepEqual([...service.scheduler()!.state.jobs.keys()], ["good"]);
        assert.deepEqual(swaps.flatMap(({ writes }) => writes.map(write => write.key)), [`${jobKeys.progressPrefix}good`]);
    });

    it("should go on after a submitted job whose progress cannot be read", async () => {
        const { service, unreadableKeys, applyChange, acquire } = createTermFixture({ hasUnreadableDocuments: true });
        const submissionOf = (jobId: string): string =>
            encodeSubmission({
                jobId,
                queueName: "queue",
                teamName: undefined,
                payload: "",
                steps: [defaultStep],
                repeat: undefined,
                submittedWallMs: 0,
            });
        await acquire(10);
        applyChange(`${jobKeys.progressPrefix}a`, "{");
        applyChange(`${jobKeys.submissionPrefix}a`, submissionOf("a"));
        applyChange(`${jobKeys.submissionPrefix}b`, submissionOf("b"));
        assert.deepEqual(unreadableKeys, [`${jobKeys.progressPrefix}a`]);
        assert.deepEqual([...service.scheduler()!.state.jobs.keys()], ["b"]);
    });

    it("should reach a worker at its new address, and ignore a listing from the former one", async () => {
        const { service, lists, swaps, startedTasks, closedAddresses, store, acquire, pass } = createTermFixture();
        store("job", undefined);
        await acquire(10);
        const formerList = lists.shift()!;
        assert.equal(formerList.address, "10.0.0.1:80");
        service.onWorkerChanged("w1", { ...workerEntry, address: "10.0.0.2:80" });
        await pass();
        assert.deepEqual(lists.map(({ address }) => address), ["10.0.0.2:80"]);
        assert.deepEqual(closedAddresses, ["10.0.0.1:80"]);
        await formerList.answer({});
        assert.equal(swaps.length, 0, "nothing is started because of the listing");
        await lists.shift()!.answer({});
        swaps.shift()!.answer(saved(11));
        await pass();
        assert.deepEqual(startedTasks, ["job.0.0.0", "job.0.0.1"]);
        service.onWorkerChanged("w1", { ...workerEntry, address: "10.0.0.2:80", isDraining: true });
        await pass();
        assert.deepEqual(closedAddresses, ["10.0.0.1:80"], "another change of the entry keeps the connections");
    });
});
