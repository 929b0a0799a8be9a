/** Guards against wrong answers about jobs from a process that has lost contact with the store. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobResultKinds, notFoundCauses } from "../../src/process/jobResults.js";
import type { LogFields } from "../../src/process/logger.js";
import { encodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { modelSubmission } from "../scheduling/modelJob.js";
import { createJobServiceFixture } from "./jobServiceFixture.js";

describe("job service without contact to the store", () => {
    it("should answer unknown at once, with a retry time and without calling the store", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createJobServiceFixture({ isWriteAnswered: true });
        setUnresponsiveForMs(3_000);
        const answer = await jobs.submit(modelSubmission);
        assert.equal(answer.kind, jobResultKinds.unknown);
        assert.ok((answer.retryAfterMs ?? 0) > 0);
        assert.deepEqual(calls, []);
        assert.equal((await jobs.cancel({ queueName: "queue", teamName: undefined }, "job")).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, []);
    });

    it("should not look up a write without a response after contact was lost", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createJobServiceFixture({ isWriteAnswered: false });
        const answered = jobs.submit(modelSubmission);
        setUnresponsiveForMs(3_000);
        assert.equal((await answered).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap"]);
    });

    it("should repeat a write without a response, then look it up, while the store is in contact", async () => {
        const { jobs, calls } = createJobServiceFixture({ isWriteAnswered: false });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap", "swap", "read"]);
    });

    it("should accept jobs while the store is in contact", async () => {
        const { jobs } = createJobServiceFixture({ isWriteAnswered: true });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.ok);
    });
});

describe("job service whose mirror lacks a job", () => {
    const { jobId, queueName, teamName } = modelSubmission;
    const caller = { queueName, teamName };
    const submission = { [jobKeys.submissionPrefix + jobId]: encodeSubmission(modelSubmission) };

    it("should answer with the stored state of a job that another process has just accepted", async () => {
        const { jobs } = createJobServiceFixture({ isWriteAnswered: true, stored: submission });
        assert.deepEqual(await jobs.state(caller, jobId), { kind: jobResultKinds.ok, state: jobStates.queued });
    });

    it("should include the stored progress and cancellation", async () => {
        const completed = { ...submission, [jobKeys.progressPrefix + jobId]: encodeProgress({ state: jobStates.completed }) };
        const cancelled = { ...submission, [jobKeys.cancellationPrefix + jobId]: "{}" };
        for (const [stored, state] of [[completed, jobStates.completed], [cancelled, jobStates.cancelled]] as const) {
            const { jobs } = createJobServiceFixture({ isWriteAnswered: true, stored });
            assert.equal((await jobs.state(caller, jobId)).state, state);
        }
    });

    it("should answer that a job is unknown only if the store does not contain it", async () => {
        const { jobs, calls } = createJobServiceFixture({ isWriteAnswered: true, stored: {} });
        assert.equal((await jobs.state(caller, jobId)).kind, jobResultKinds.notFound);
        assert.deepEqual(calls, ["read"]);
    });

    it("should tell the causes apart for which it answers that a job is unknown, and what the store answered", async () => {
        const key = jobKeys.submissionPrefix + jobId;
        const read = { queue: queueName, mirroredRevision: 0, readRevision: 7, readMs: 12, readThrough: "neighbour" };
        const cases = [
            { stored: {}, cause: notFoundCauses.noSubmission, reason: "the store has no submission", submissionRevision: undefined },
            {
                stored: { [key]: encodeSubmission({ ...modelSubmission, queueName: "other" }) },
                cause: notFoundCauses.otherQueue,
                reason: "the job is in queue other",
                submissionRevision: 1,
            },
        ];
        for (const { stored, cause, reason, submissionRevision } of cases) {
            const { jobs } = createJobServiceFixture({ isWriteAnswered: true, stored });
            const logFields = { ...read, submissionRevision };
            assert.deepEqual(await jobs.state(caller, jobId), { kind: jobResultKinds.notFound, cause, reason, logFields });
        }
        const { jobs } = createJobServiceFixture({ isWriteAnswered: true, stored: {} });
        assert.equal((await jobs.cancel(caller, jobId)).cause, notFoundCauses.noSubmission);
    });

    // Guards against a 410 for a job that was accepted.
    it("should not answer that a job is unknown while the store has a submission that it cannot read or assign to a queue", async () => {
        const key = jobKeys.submissionPrefix + jobId;
        const inNewQueue = encodeSubmission({ ...modelSubmission, queueName: "of a newer configuration" });
        for (const stored of ["{", inNewQueue]) {
            const { jobs } = createJobServiceFixture({ isWriteAnswered: true, stored: { [key]: stored } });
            const { kind, retryAfterMs } = await jobs.state(caller, jobId);
            assert.deepEqual(
                { kind, hasRetryAfter: retryAfterMs !== undefined },
                { kind: jobResultKinds.refused, hasRetryAfter: true },
                stored,
            );
        }
    });

    it("should log the revision at which a job was accepted, and whether it was stored before", async () => {
        const acceptanceOf = async (stored: Record<string, string>, submittedId: string): Promise<LogFields> => {
            const { jobs, acceptances } = createJobServiceFixture({ isWriteAnswered: true, stored });
            assert.equal((await jobs.submit({ ...modelSubmission, jobId: submittedId })).kind, jobResultKinds.ok);
            assert.equal(acceptances.length, 1);
            return acceptances[0]!;
        };
        const described = { queue: queueName, team: undefined };
        assert.deepEqual(await acceptanceOf({}, jobId), { ...described, jobId, revision: 2, origin: "stored" });
        assert.deepEqual(await acceptanceOf(submission, jobId), { ...described, jobId, revision: 1, origin: "present" });
        assert.deepEqual(await acceptanceOf({}, "queued"), { ...described, jobId: "queued", revision: 4, origin: "mirrored" });
    });

    it("should count queued jobs only while the known jobs are current", () => {
        const { jobs, setDirectoryAgeMs } = createJobServiceFixture({ isWriteAnswered: true });
        assert.equal(jobs.countQueued(queueName), 1);
        setDirectoryAgeMs(3_000);
        assert.equal(jobs.countQueued(queueName), undefined);
    });

    it("should refuse to answer while the store does not respond", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createJobServiceFixture({ isWriteAnswered: true });
        assert.equal((await jobs.state(caller, jobId)).kind, jobResultKinds.refused);
        setUnresponsiveForMs(3_000);
        assert.equal((await jobs.state(caller, jobId)).kind, jobResultKinds.refused);
        assert.deepEqual(calls, ["read"]);
    });
});

describe("the state of a job that goes on", () => {
    const queryOfQueue = { queueName: "queue", teamName: undefined };
    const running = { [`${jobKeys.progressPrefix}queued`]: encodeProgress({ state: jobStates.running }) };

    it("should be read from the store, once for queries at the same time", async () => {
        const { jobs, calls } = createJobServiceFixture({ isWriteAnswered: true, stored: running });
        const answers = await Promise.all([jobs.state(queryOfQueue, "queued"), jobs.state(queryOfQueue, "queued")]);
        assert.deepEqual(answers.map(({ state }) => state), [jobStates.running, jobStates.running]);
        assert.deepEqual(calls, ["read"]);
    });

    it("should be the known one if the store does not respond", async () => {
        const { jobs, setUnresponsiveForMs, calls } = createJobServiceFixture({ isWriteAnswered: true });
        assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.queued);
        assert.deepEqual(calls, ["read"]);
        setUnresponsiveForMs(3_000);
        assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.queued);
        assert.deepEqual(calls, ["read"], "a store that is known not to respond is not asked");
    });

    it("should not be read again once it is final", async () => {
        const completed = { [`${jobKeys.progressPrefix}queued`]: encodeProgress({ state: jobStates.completed }) };
        const { jobs, calls } = createJobServiceFixture({ isWriteAnswered: true, stored: completed });
        for (let query = 0; query < 3; query++) {
            assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.completed);
        }
        assert.deepEqual(calls, ["read"]);
    });
});
