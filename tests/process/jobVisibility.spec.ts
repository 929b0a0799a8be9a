/** Which callers reach a job: its own team, whatever the configuration has become of its queue, and no other team. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobResultKinds } from "../../src/process/jobResults.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { describeAcceptance, jobStates, type JobSubmission, type SchedulingPolicy } from "../../src/scheduling/jobTypes.js";
import { modelSubmission } from "../scheduling/modelJob.js";
import { configuredPolicy, createJobServiceFixture, type JobServiceFixture, policyOf } from "./jobServiceFixture.js";

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
        const fromStore = createJobServiceFixture({ isWriteAnswered: true, stored, policy });
        const fromCopy = createJobServiceFixture({ isWriteAnswered: true, stored, policy, submission });
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

// Guards against a team that cancels another team's job, or is told that its job is accepted while the id is another team's.
describe("a job id that another team has used", () => {
    const { jobId } = modelSubmission;
    const acceptedFor = (teamName: string | undefined, queueName = "queue"): JobSubmission => ({
        ...modelSubmission,
        queueName,
        teamName,
        acceptedUnder: describeAcceptance(configuredPolicy, queueName, teamName),
    });
    const fixtures = (submission: JobSubmission): JobServiceFixture[] => {
        const stored = { [jobKeys.submissionPrefix + jobId]: encodeSubmission(submission) };
        return [
            createJobServiceFixture({ isWriteAnswered: true, stored }),
            createJobServiceFixture({ isWriteAnswered: true, stored, submission }),
        ];
    };

    it("should not be accepted for a further job, through the same queue or another one", async () => {
        for (const queueName of ["queue", "other"]) {
            for (const { jobs, acceptances } of fixtures(acceptedFor("team"))) {
                const { kind, reason } = await jobs.submit(acceptedFor("other team", queueName));
                assert.equal(kind, jobResultKinds.idTaken, queueName);
                assert.match(reason ?? "", /another id/);
                assert.deepEqual(acceptances, []);
            }
        }
    });

    it("should be accepted for one of two teams that submit it at the same time", async () => {
        const { jobs, acceptances, calls } = createJobServiceFixture({ isWriteAnswered: true });
        const answers = await Promise.all(["team", "other team"].map(teamName => jobs.submit(acceptedFor(teamName))));
        assert.deepEqual(answers.map(({ kind }) => kind), [jobResultKinds.ok, jobResultKinds.idTaken]);
        assert.deepEqual(acceptances.map(({ team }) => team), ["team"]);
        assert.deepEqual(calls, ["swap"], "both are in one transaction");
    });

    it("should stay one job when its own team submits it again, also through another queue", async () => {
        for (const queueName of ["queue", "other"]) {
            for (const { jobs } of fixtures(acceptedFor("team"))) {
                const repeated = { ...acceptedFor("team", queueName), submittedWallMs: 5 };
                assert.equal((await jobs.submit(repeated)).kind, jobResultKinds.ok, queueName);
            }
        }
    });

    it("should be judged by the current configuration when a submission was authorized by a former one", async () => {
        for (const { jobs } of fixtures(acceptedFor(undefined))) {
            const former = {
                ...acceptedFor(undefined, "other"),
                acceptedUnder: describeAcceptance(policyOf(0, ["other"]), "other", undefined),
            };
            assert.equal((await jobs.submit(former)).kind, jobResultKinds.outdated);
        }
    });

    it("should count as unknown when the other team queries or cancels it", async () => {
        for (const queueName of ["queue", "other"]) {
            for (const { jobs, calls } of fixtures(acceptedFor("team"))) {
                const caller = { queueName, teamName: "other team" };
                assert.equal((await jobs.cancel(caller, jobId)).kind, jobResultKinds.notFound);
                assert.equal((await jobs.state(caller, jobId)).kind, jobResultKinds.notFound);
                assert.ok(!calls.includes("swap"), "no cancellation is written");
            }
        }
    });

    it("should be cancelled by its own team through any queue", async () => {
        for (const queueName of ["queue", "other"]) {
            for (const { jobs, calls } of fixtures(acceptedFor("team"))) {
                assert.equal((await jobs.cancel({ queueName, teamName: "team" }, jobId)).kind, jobResultKinds.ok);
                assert.ok(calls.includes("swap"));
            }
        }
    });
});
