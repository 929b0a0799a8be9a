/** Guards against a job that runs although a caller was told that it never will, and against accepted jobs that are refused or lost. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { addStoredJob } from "../../src/process/addStoredJob.js";
import { jobResultKinds } from "../../src/process/jobResults.js";
import { removeOldJobs } from "../../src/process/removeOldJobs.js";
import { withdrawalKey } from "../../src/process/withdrawals.js";
import { decodeRefusal, decodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { createRefusalFixture, type FixtureProcess, refusal, type RefusalFixture } from "../process/refusalFixture.js";
import { modelSubmission } from "../scheduling/modelJob.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";

const { jobId } = modelSubmission;
const caller = { queueName: "queue", teamName: undefined };
const key = jobKeys.submissionPrefix + jobId;

describe("a refused submission", () => {
    const submit = (fixture: RefusalFixture, { jobs }: FixtureProcess, changes: Partial<typeof modelSubmission> = {}) =>
        fixture.finish(jobs.submit({ ...modelSubmission, ...changes, submittedWallMs: fixture.timers.wallClockMs() }));
    const isRefusalStored = ({ items }: RefusalFixture): boolean => decodeRefusal(items.get(key)?.value ?? "") !== undefined;
    /** A process that has refused the job, and knows of it for long enough that a call is a later attempt. */
    const createRefused = async () => {
        const fixture = createRefusalFixture();
        const process = fixture.createProcess();
        process.isOverloaded = true;
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.overloaded);
        process.sync();
        fixture.timers.advance(1_000);
        return { fixture, process };
    };

    it("should be recorded with one write, and count as unknown", async () => {
        const { fixture, process } = await createRefused();
        assert.equal(process.writesCount(), 1);
        assert.ok(isRefusalStored(fixture));
        for (const known of [process, fixture.createProcess()]) {
            assert.equal((await fixture.finish(known.jobs.state(caller, jobId))).kind, jobResultKinds.notFound);
            assert.equal((await fixture.finish(known.jobs.cancel(caller, jobId))).kind, jobResultKinds.notFound);
            assert.equal(known.jobs.countQueued("queue"), 0);
        }
        assert.deepEqual([...fixture.items.keys()], [key, withdrawalKey(caller, jobId)]);
        const { scheduler } = createSchedulerHarness({ workers: 1 });
        process.directory.unfinishedEntries().forEach(entry => addStoredJob(scheduler, entry, 0, unreadable => assert.fail(unreadable)));
        assert.equal(scheduler.state.jobs.size, 0);
    });

    it("should run nothing in a build that does not know refusals", async () => {
        const { fixture } = await createRefused();
        assert.throws(() => decodeSubmission(fixture.items.get(key)!.value));
    });

    it("should not run when the write of an earlier attempt arrives later", async () => {
        const fixture = createRefusalFixture();
        const [first, second] = [fixture.createProcess(), fixture.createProcess()];
        first.fates = ["late", "late"];
        assert.equal((await submit(fixture, first)).kind, jobResultKinds.unknown);
        second.isOverloaded = true;
        assert.deepEqual((await submit(fixture, second)).retryAfterMs, refusal.retryAfterMs);
        fixture.deliverLateWrites();
        assert.ok(isRefusalStored(fixture));
    });

    it("should be replaced by a later attempt, in whatever process", async () => {
        const { fixture, process } = await createRefused();
        const other = fixture.createProcess();
        other.sync();
        fixture.timers.advance(1_000);
        assert.equal((await submit(fixture, other)).kind, jobResultKinds.ok);
        assert.ok(!isRefusalStored(fixture));
        // Guards against a refusal of an accepted job.
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.ok);
        process.sync();
        assert.equal(process.jobs.countQueued("queue"), 1);
        assert.equal(process.directory.refusals.size, 0);
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.ok);
    });

    it("should not be replaced by a call that may have been made before it", async () => {
        const { fixture, process } = await createRefused();
        process.isOverloaded = false;
        const { timers: { nowMs } } = fixture;
        const calls = [
            { by: fixture.createProcess(), receivedAtMs: nowMs(), isCallerConnected: () => true },
            { by: process, receivedAtMs: nowMs() - 900, isCallerConnected: () => true },
            { by: process, receivedAtMs: nowMs(), isCallerConnected: () => false },
        ];
        for (const { by, ...attempt } of calls) {
            const answer = await fixture.finish(by.jobs.submit(modelSubmission, attempt));
            assert.equal(answer.kind, jobResultKinds.unknown);
            assert.ok(isRefusalStored(fixture));
        }
        // Guards against a caller that repeats its calls so often that no refusal is ever old enough.
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.ok);
    });

    // Guards against an attempt that replaces a refusal, gets no response, and takes effect after the next attempt was refused.
    it("should not be replaced by a late write after the next refusal", async () => {
        const { fixture, process } = await createRefused();
        process.isOverloaded = false;
        process.fates = ["late", "late"];
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.unknown);
        process.isOverloaded = true;
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.overloaded);
        fixture.deliverLateWrites();
        assert.ok(isRefusalStored(fixture));
    });

    it("should be decided by the store when two processes handle the id at the same time", async () => {
        for (const isAcceptedFirst of [true, false]) {
            const fixture = createRefusalFixture();
            const [accepting, refusing] = [fixture.createProcess(), fixture.createProcess()];
            refusing.isOverloaded = true;
            const order = isAcceptedFirst ? [accepting, refusing] : [refusing, accepting];
            const answers = await Promise.all(order.map(each => submit(fixture, each)));
            const { ok, overloaded, unknown } = jobResultKinds;
            assert.deepEqual(answers.map(({ kind }) => kind), isAcceptedFirst ? [ok, ok] : [overloaded, unknown]);
            assert.equal(isRefusalStored(fixture), !isAcceptedFirst);
        }
    });

    it("should be refused once if the response of the store is lost, and unknown if the store cannot tell", async () => {
        const fixture = createRefusalFixture();
        const process = fixture.createProcess();
        process.isOverloaded = true;
        process.fates = ["lost"];
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.overloaded);
        process.fates = ["late", "late"];
        assert.equal((await submit(fixture, process, { jobId: "other" })).kind, jobResultKinds.unknown);
        process.unresponsiveForMs = 3_000;
        const writesCount = process.writesCount();
        assert.equal((await submit(fixture, process)).kind, jobResultKinds.unknown);
        assert.equal(process.writesCount(), writesCount, "without the store, nothing is refused");
    });

    it("should not hide that the id is taken by another team", async () => {
        const fixture = createRefusalFixture();
        const process = fixture.createProcess();
        assert.equal((await submit(fixture, process, { teamName: "one" })).kind, jobResultKinds.ok);
        process.isOverloaded = true;
        const { configurationVersion, queue } = { configurationVersion: 1, queue: modelQueue };
        const acceptedUnder = { configurationVersion, queue, team: undefined };
        assert.equal((await submit(fixture, process, { teamName: "two", acceptedUnder })).kind, jobResultKinds.idTaken);
    });

    it("should be removed with old jobs, unless it has been replaced", async () => {
        const { fixture, process } = await createRefused();
        const other = fixture.createProcess();
        other.sync();
        fixture.timers.advance(1_000);
        const revisionOf = (each: string): number => process.directory.refusals.has(jobId) && each === key ? 1 : 0;
        const store = { swap: (...args: Parameters<RefusalFixture["swap"]>) => Promise.resolve(fixture.swap(...args)) };
        const remove = () => removeOldJobs(store as never, process.directory, 0, fixture.timers.wallClockMs(), revisionOf);
        assert.equal((await submit(fixture, other)).kind, jobResultKinds.ok);
        await remove();
        assert.ok(fixture.items.has(key), "an accepted job is not removed");
        const { fixture: unreplaced, process: owner } = await createRefused();
        const unreplacedStore = { swap: (...args: Parameters<RefusalFixture["swap"]>) => Promise.resolve(unreplaced.swap(...args)) };
        await removeOldJobs(unreplacedStore as never, owner.directory, 0, unreplaced.timers.wallClockMs(), () => 1);
        assert.equal(unreplaced.items.size, 0);
    });
});

const modelQueue = {
    name: "queue",
    poolName: "pool",
    priority: 0,
    maxAttempts: 2,
    criticalPathFactor: 2,
    latencyObjectiveMs: 1_000,
};
