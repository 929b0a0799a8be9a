/** Guards against a takeover that decodes every job of the last minutes before it starts the first task. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createJobDirectory } from "../../src/scheduling/jobDirectory.js";
import { encodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { type JobState, jobStates } from "../../src/scheduling/jobTypes.js";

describe("directory of stored jobs", () => {
    it("should pass on the jobs that have not ended, in the order of their submission", () => {
        const directory = createJobDirectory({ onUnreadable: key => assert.fail(key) });
        const addJob = (jobId: string, submittedWallMs: number, state?: JobState): void => {
            const submission = encodeSubmission({
                jobId,
                queueName: "q",
                teamName: undefined,
                submittedWallMs,
                payload: "",
                steps: [],
                repeat: undefined,
            });
            directory.apply(jobKeys.submissionPrefix + jobId, submission);
            if (state) {
                directory.apply(jobKeys.progressPrefix + jobId, encodeProgress({ state }));
            }
        };
        addJob("late", 30);
        addJob("running", 10, jobStates.running);
        addJob("waiting", 20);
        Object.values([jobStates.completed, jobStates.failed, jobStates.cancelled]).forEach((state, index) =>
            addJob(`ended-${index}`, index, state)
        );
        directory.apply(`${jobKeys.cancellationPrefix}late`, "{}");
        assert.deepEqual(directory.unfinishedEntries().map(entry => entry.jobId), ["running", "waiting", "late"]);
    });
});
