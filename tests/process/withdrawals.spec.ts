/**
 * Guards against a job that runs after its caller's cancel was answered that it does not exist: a submission from before the cancel that a
 * paused process, or the store, stores after it. And against cancels that keep other jobs from running, or fill the store.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobResultKinds } from "../../src/process/jobResults.js";
import { removeOldJobs } from "../../src/process/removeOldJobs.js";
import type { SubmissionAttempt } from "../../src/process/submissionWriter.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates, type JobSubmission } from "../../src/scheduling/jobTypes.js";
import { modelSubmission } from "../scheduling/modelJob.js";
import { createRefusalFixture, type FixtureProcess, type RefusalFixture } from "./refusalFixture.js";

const { jobId } = modelSubmission;
const submissionKey = jobKeys.submissionPrefix + jobId;
const ownJob: JobSubmission = { ...modelSubmission, teamName: "own" };
const otherJob: JobSubmission = { ...modelSubmission, teamName: "other" };
const own = { queueName: ownJob.queueName, teamName: ownJob.teamName };
const other = { ...own, teamName: otherJob.teamName };
const { ok, notFound, unknown, overloaded } = jobResultKinds;

interface Processes extends RefusalFixture {
    first: FixtureProcess;
    second: FixtureProcess;
    sync(): void;
    /** A call that is received now. */
    attempt(isCallerConnected?: () => boolean): SubmissionAttempt;
    withdrawnKeys(): string[];
}

function createProcesses(): Processes {
    const fixture = createRefusalFixture();
    const [first, second] = [fixture.createProcess(), fixture.createProcess()] as const;
    return {
        ...fixture,
        first,
        second,
        sync: () => [first, second].forEach(process => process.sync()),
        attempt: (isCallerConnected = () => true) => ({ receivedAtMs: fixture.timers.nowMs(), isCallerConnected }),
        withdrawnKeys: () => [...fixture.items.keys()].filter(key => key.startsWith(jobKeys.withdrawalPrefix)),
    };
}

/** The job is cancelled at the second process, which answers that it does not exist. */
async function cancelUnknown({ second, finish }: Processes, caller = own): Promise<void> {
    const { kind } = await finish(second.jobs.cancel(caller, jobId));
    assert.equal(kind, notFound);
}

describe("a job whose cancel was answered that it does not exist", () => {
    it("should not be stored by a process that was paused with the call and does not know of the cancel", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(kind, unknown);
        assert.equal(processes.items.has(submissionKey), false);
    });

    it("should not be stored by a process that was paused with the call and has just learned of the cancel", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        processes.sync();
        processes.timers.advance(100);
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(kind, unknown);
        assert.equal(processes.items.has(submissionKey), false);
    });

    it("should not be stored by a call that was held up on the way, whose caller is seen to have given up just after it", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        processes.sync();
        processes.timers.advance(2_000);
        const receivedAtMs = processes.timers.nowMs();
        const isCallerConnected = (): boolean => processes.timers.nowMs() - receivedAtMs < 100;
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, { receivedAtMs, isCallerConnected }));
        assert.equal(kind, unknown);
        assert.equal(processes.items.has(submissionKey), false);
    });

    it("should not be stored by a write that the store carries out late", async () => {
        const processes = createProcesses();
        processes.first.fates.push("late", "late");
        const submitted = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(submitted.kind, unknown);
        await cancelUnknown(processes);
        processes.deliverLateWrites();
        assert.equal(processes.items.has(submissionKey), false);
    });

    it("should not be stored by a call from before that could have replaced a refusal", async () => {
        const processes = createProcesses();
        processes.first.isOverloaded = true;
        await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        processes.first.isOverloaded = false;
        processes.sync();
        processes.timers.advance(1_000);
        processes.first.fates.push("late", "late");
        const later = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(later.kind, unknown);
        await cancelUnknown(processes);
        processes.deliverLateWrites();
        processes.sync();
        assert.equal(processes.first.directory.find(jobId), undefined);
    });

    it("should be stored by a call that its caller makes later and waits for, and leave no trace of the cancel", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        processes.sync();
        processes.timers.advance(1_500);
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(kind, ok);
        assert.deepEqual(processes.withdrawnKeys(), []);
        processes.sync();
        const { state } = await processes.finish(processes.second.jobs.state(own, jobId));
        assert.equal(state, jobStates.queued);
    });

    it("should be stored by a repeated call, if the first one came too soon after the cancel", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(kind, unknown);
        processes.sync();
        processes.timers.advance(1_000);
        const repeated = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(repeated.kind, ok);
    });

    it("should be cancelled if its submission is stored while it is looked up", async () => {
        const processes = createProcesses();
        const cancelled = processes.second.jobs.cancel(own, jobId);
        // The store is read, and the write is about to be sent.
        await new Promise(resolve => setImmediate(resolve));
        processes.swap([], [{ key: submissionKey, value: encodeSubmission(ownJob) }]);
        const { kind } = await processes.finish(cancelled);
        assert.equal(kind, ok);
        assert.deepEqual(processes.withdrawnKeys(), []);
        assert.equal(processes.items.has(jobKeys.cancellationPrefix + jobId), true);
    });

    it("should not be both stored and withdrawn by writes that one process makes at the same time", async () => {
        const processes = createProcesses();
        const [submitted, cancelled] = await Promise.all([
            processes.finish(processes.first.jobs.submit(ownJob, processes.attempt())),
            processes.finish(processes.first.jobs.cancel(own, jobId)),
        ]);
        const isStored = processes.items.has(submissionKey);
        const isCancelled = processes.items.has(jobKeys.cancellationPrefix + jobId);
        assert.ok(cancelled.kind === (isStored ? ok : notFound) && isStored === isCancelled, `${submitted.kind}, ${cancelled.kind}`);
    });
});

describe("a cancel of a job that does not exist", () => {
    it("should not hold back another team's job under that id, however often it is repeated", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        processes.sync();
        const cancels = Promise.all(Array.from({ length: 20 }, () => processes.second.jobs.cancel(own, jobId)));
        const submitted = processes.first.jobs.submit(otherJob, processes.attempt());
        const [{ kind }] = await Promise.all([processes.finish(submitted), processes.finish(cancels)]);
        assert.equal(kind, ok);
        processes.sync();
        const { state } = await processes.finish(processes.second.jobs.state(other, jobId));
        assert.equal(state, jobStates.queued);
    });

    it("should hold back no job whose id was only asked for, and such a query should store nothing", async () => {
        const processes = createProcesses();
        const asked = await processes.finish(processes.second.jobs.state(own, jobId));
        assert.equal(asked.kind, notFound);
        assert.equal(processes.items.size, 0);
        const { kind } = await processes.finish(processes.first.jobs.submit(ownJob, processes.attempt()));
        assert.equal(kind, ok);
    });

    it("should not keep the caller's other jobs from being stored in the same transaction", async () => {
        const processes = createProcesses();
        await cancelUnknown(processes);
        const submissions = Array.from({ length: 12 }, (_, index) => ({ ...ownJob, jobId: index === 5 ? jobId : `job${index}` }));
        const results = await processes.finish(
            Promise.all(submissions.map(each => processes.first.jobs.submit(each, processes.attempt()))),
        );
        assert.deepEqual(results.map(({ kind }) => kind), submissions.map(each => each.jobId === jobId ? unknown : ok));
    });

    it("should leave a bounded number of keys for each caller, and none after the retention time", async () => {
        const processes = createProcesses();
        const { second, timers } = processes;
        const kinds: string[] = [];
        for (let index = 0; index < 700; index++) {
            const { kind } = await processes.finish(second.jobs.cancel(own, `id${index}`));
            kinds.push(kind);
            second.sync();
            timers.advance(100);
        }
        const keptCount = processes.withdrawnKeys().length;
        assert.equal(keptCount, kinds.filter(kind => kind === notFound).length);
        assert.ok(keptCount >= 100 && keptCount <= 500, `${keptCount} keys`);
        assert.ok(kinds.every(kind => kind === notFound || kind === overloaded), kinds.join(" "));
        await cancelUnknown(processes, other);
        second.sync();
        const store = { swap: (...parts: Parameters<RefusalFixture["swap"]>) => Promise.resolve(processes.swap(...parts)) };
        const revisionOf = (key: string): number => processes.items.get(key)?.revision ?? 0;
        await removeOldJobs(store as never, second.directory, 0, timers.wallClockMs() + 1, revisionOf);
        assert.deepEqual(processes.withdrawnKeys(), []);
    });

    it("should write for one caller at a bounded rate", async () => {
        const { second, finish } = createProcesses();
        const results = await finish(Promise.all(Array.from({ length: 2_000 }, (_, index) => second.jobs.cancel(own, `id${index}`))));
        const storedCount = results.filter(({ kind }) => kind === notFound).length;
        assert.ok(storedCount >= 50 && storedCount <= 120, `${storedCount} of ${results.length} cancels were stored`);
        assert.ok(results.every(({ kind }) => kind === notFound || kind === overloaded));
    });
});
