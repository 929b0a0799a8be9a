/** Guards against wrong answers about jobs from a process that has lost contact with the store. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, Ok } from "../../src/common/results.js";
import { createTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, ReadAnswer, StoreGuard } from "../../src/connection/platformStore.js";
import { createJobService, jobResultKinds, type JobService, notFoundCauses } from "../../src/process/jobService.js";
import { logEvents } from "../../src/process/logEvents.js";
import { createSilentLogger, type LogFields } from "../../src/process/logger.js";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { encodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { describeAcceptance, jobStates, type JobSubmission, type SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { modelPolicy, modelSubmission } from "../scheduling/modelJob.js";

interface Fixture {
    jobs: JobService;
    calls: string[];
    /** Fields of the logged acceptances. */
    acceptances: LogFields[];
    /** Sets the time since the known jobs were confirmed to be current; there is one queued job. */
    setDirectoryAgeMs(ageMs: number): void;
    /** Sets the time since the last response of the store. */
    setUnresponsiveForMs(durationMs: number): void;
}

const policyOf = (version: number, queueNames: readonly string[]): SchedulingPolicy => ({
    ...modelPolicy,
    version,
    queues: new Map(queueNames.map(name => [name, { ...modelPolicy.queues.get("queue")!, name }])),
});
const configuredPolicy = policyOf(1, ["queue", "other"]);

/** A store that contains `stored`, all at revision 1, or does not answer reads; a write of one of its keys finds it present. */
function createFixture(
    options: { isWriteAnswered: boolean; stored?: Record<string, string>; policy?: SchedulingPolicy; submission?: JobSubmission },
): Fixture {
    const calls: string[] = [];
    const acceptances: LogFields[] = [];
    let unresponsiveForMs = 100;
    let directoryAgeMs = 100;
    const lost = { call: "swap", reason: "timeout", isKnownNotApplied: false };
    const store = {
        swap: (guards: StoreGuard[]) => {
            calls.push("swap");
            const present = guards.filter(({ key }) => options.stored?.[key] !== undefined);
            if (present.length > 0) {
                return Promise.resolve(
                    Ok({ isSwapped: false, revision: 0, current: present.map(({ key }) => ({ key, value: "", revision: 1 })) }),
                );
            }
            return Promise.resolve(options.isWriteAnswered ? Ok({ isSwapped: true, revision: 2, current: [] }) : Err(lost));
        },
        read: (key: string, onAnswered?: (answer: ReadAnswer) => void) => {
            calls.push("read");
            if (options.stored) {
                onAnswered?.({ storeRevision: 7, durationMs: 12, neighbour: "neighbour" });
                const value = options.stored[key];
                return Promise.resolve(Ok(value === undefined ? undefined : { key, value, revision: 1 }));
            }
            return Promise.resolve(Err({ ...lost, call: "read" }));
        },
        unresponsiveForMs: () => unresponsiveForMs,
    } as unknown as ChangeFeedStore;
    const directory = createJobDirectory({ onUnreadable: () => undefined });
    const submission = options.submission ?? { ...modelSubmission, jobId: "queued" };
    directory.apply(jobKeys.submissionPrefix + submission.jobId, encodeSubmission(submission));
    const jobs = createJobService({
        store,
        directory,
        directoryAgeMs: () => directoryAgeMs,
        mirroredRevision: key => key === jobKeys.submissionPrefix + submission.jobId ? 4 : 0,
        timers: createTimerService(),
        logger: {
            ...createSilentLogger(),
            log: (event, fields = {}) => {
                if (event.id === logEvents.jobAccepted.id) {
                    acceptances.push(fields);
                }
            },
        },
        configurationGuard: () => undefined,
        policy: () => options.policy ?? configuredPolicy,
        onConfigurationChanged: () => undefined,
        onProgressRead: ({ key, value }) => void directory.apply(key, value),
    });
    return {
        jobs,
        calls,
        acceptances,
        setDirectoryAgeMs: ageMs => directoryAgeMs = ageMs,
        setUnresponsiveForMs: durationMs => unresponsiveForMs = durationMs,
    };
}

describe("job service without contact to the store", () => {
    it("should answer unknown at once, with a retry time and without calling the store", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createFixture({ isWriteAnswered: true });
        setUnresponsiveForMs(3_000);
        const answer = await jobs.submit(modelSubmission);
        assert.equal(answer.kind, jobResultKinds.unknown);
        assert.ok((answer.retryAfterMs ?? 0) > 0);
        assert.deepEqual(calls, []);
        assert.equal((await jobs.cancel("queue", "job")).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, []);
    });

    it("should not look up a write without a response after contact was lost", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createFixture({ isWriteAnswered: false });
        const answered = jobs.submit(modelSubmission);
        setUnresponsiveForMs(3_000);
        assert.equal((await answered).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap"]);
    });

    it("should repeat a write without a response, then look it up, while the store is in contact", async () => {
        const { jobs, calls } = createFixture({ isWriteAnswered: false });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.unknown);
        assert.deepEqual(calls, ["swap", "swap", "read"]);
    });

    it("should accept jobs while the store is in contact", async () => {
        const { jobs } = createFixture({ isWriteAnswered: true });
        assert.equal((await jobs.submit(modelSubmission)).kind, jobResultKinds.ok);
    });
});

describe("job service whose mirror lacks a job", () => {
    const { jobId, queueName, teamName } = modelSubmission;
    const caller = { queueName, teamName };
    const submission = { [jobKeys.submissionPrefix + jobId]: encodeSubmission(modelSubmission) };

    it("should answer with the stored state of a job that another process has just accepted", async () => {
        const { jobs } = createFixture({ isWriteAnswered: true, stored: submission });
        assert.deepEqual(await jobs.state(caller, jobId), { kind: jobResultKinds.ok, state: jobStates.queued });
    });

    it("should include the stored progress and cancellation", async () => {
        const completed = { ...submission, [jobKeys.progressPrefix + jobId]: encodeProgress({ state: jobStates.completed }) };
        const cancelled = { ...submission, [jobKeys.cancellationPrefix + jobId]: "{}" };
        for (const [stored, state] of [[completed, jobStates.completed], [cancelled, jobStates.cancelled]] as const) {
            const { jobs } = createFixture({ isWriteAnswered: true, stored });
            assert.equal((await jobs.state(caller, jobId)).state, state);
        }
    });

    it("should answer that a job is unknown only if the store does not contain it", async () => {
        const { jobs, calls } = createFixture({ isWriteAnswered: true, stored: {} });
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
            const { jobs } = createFixture({ isWriteAnswered: true, stored });
            const logFields = { ...read, submissionRevision };
            assert.deepEqual(await jobs.state(caller, jobId), { kind: jobResultKinds.notFound, cause, reason, logFields });
        }
        const { jobs } = createFixture({ isWriteAnswered: true, stored: {} });
        assert.equal((await jobs.cancel(queueName, jobId)).cause, notFoundCauses.noSubmission);
    });

    // Guards against a 410 for a job that was accepted.
    it("should not answer that a job is unknown while the store has a submission that it cannot read or assign to a queue", async () => {
        const key = jobKeys.submissionPrefix + jobId;
        const inNewQueue = encodeSubmission({ ...modelSubmission, queueName: "of a newer configuration" });
        for (const stored of ["{", inNewQueue]) {
            const { jobs } = createFixture({ isWriteAnswered: true, stored: { [key]: stored } });
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
            const { jobs, acceptances } = createFixture({ isWriteAnswered: true, stored });
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
        const { jobs, setDirectoryAgeMs } = createFixture({ isWriteAnswered: true });
        assert.equal(jobs.countQueued(queueName), 1);
        setDirectoryAgeMs(3_000);
        assert.equal(jobs.countQueued(queueName), undefined);
    });

    it("should refuse to answer while the store does not respond", async () => {
        const { jobs, calls, setUnresponsiveForMs } = createFixture({ isWriteAnswered: true });
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
        const { jobs, calls } = createFixture({ isWriteAnswered: true, stored: running });
        const answers = await Promise.all([jobs.state(queryOfQueue, "queued"), jobs.state(queryOfQueue, "queued")]);
        assert.deepEqual(answers.map(({ state }) => state), [jobStates.running, jobStates.running]);
        assert.deepEqual(calls, ["read"]);
    });

    it("should be the known one if the store does not respond", async () => {
        const { jobs, setUnresponsiveForMs, calls } = createFixture({ isWriteAnswered: true });
        assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.queued);
        assert.deepEqual(calls, ["read"]);
        setUnresponsiveForMs(3_000);
        assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.queued);
        assert.deepEqual(calls, ["read"], "a store that is known not to respond is not asked");
    });

    it("should not be read again once it is final", async () => {
        const completed = { [`${jobKeys.progressPrefix}queued`]: encodeProgress({ state: jobStates.completed }) };
        const { jobs, calls } = createFixture({ isWriteAnswered: true, stored: completed });
        for (let query = 0; query < 3; query++) {
            assert.equal((await jobs.state(queryOfQueue, "queued")).state, jobStates.completed);
        }
        assert.deepEqual(calls, ["read"]);
    });
});

// Guards against accepted jobs whose state no call is answered with, after a newer configuration has changed the path of their queue.
describe("the state of a job whose queue was removed or has got another path", () => {
    const { jobId } = modelSubmission;
    const accepted = (teamName: string | undefined): JobSubmission => ({
        ...modelSubmission,
        teamName,
        acceptedUnder: describeAcceptance(configuredPolicy, "queue", teamName),
    });
    /** The answers of a process whose copy lacks the job, and of one whose copy contains it. */
    const statesFor = async (submission: JobSubmission, policy: SchedulingPolicy, teamName?: string): Promise<unknown[]> => {
        const caller = { queueName: "renamed", teamName };
        const stored = { [jobKeys.submissionPrefix + jobId]: encodeSubmission(submission) };
        const fromStore = createFixture({ isWriteAnswered: true, stored, policy });
        const fromCopy = createFixture({ isWriteAnswered: true, stored, policy, submission });
        const answers = [await fromStore.jobs.state(caller, jobId), await fromCopy.jobs.state(caller, jobId)];
        return answers.map(({ kind, state }) => state ?? kind);
    };
    const renamed = policyOf(2, ["renamed"]);
    const swapped = policyOf(2, ["renamed", "queue"]);
    const outdated = policyOf(0, ["renamed"]);
    const queued = [jobStates.queued, jobStates.queued];
    const hidden = [jobResultKinds.notFound, jobResultKinds.notFound];

    it("should be told to the job's team", async () => {
        for (const policy of [renamed, swapped, outdated]) {
            assert.deepEqual(await statesFor(accepted("team"), policy, "team"), queued, `version ${policy.version}`);
        }
    });

    it("should not be told to another team", async () => {
        for (const policy of [renamed, swapped]) {
            assert.deepEqual(await statesFor(accepted("team"), policy, "other team"), hidden);
        }
    });

    it("should be told to all callers if the job has no team and its queue was removed", async () => {
        assert.deepEqual(await statesFor(accepted(undefined), renamed), queued);
        assert.deepEqual(await statesFor(accepted(undefined), swapped), hidden);
    });

    it("should not be denied by a configuration older than the one under which the job was accepted", async () => {
        const refused = [jobResultKinds.refused, jobResultKinds.refused];
        assert.deepEqual(await statesFor(accepted(undefined), outdated), refused);
        assert.deepEqual(await statesFor(accepted("team"), outdated, "other team"), refused);
    });
});
