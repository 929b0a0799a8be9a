/** The job of the simulation of lapsed runs. */
import { defaultStep } from "../../harness/defaultStep.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { SimulatedStore } from "./simulatedStore.js";

export const tasksCount = 3;
export const jobId = "job";

export function taskNameOf(taskIndex: number): string {
    return `${jobId}.0.0.${taskIndex}`;
}

export function submitJob(store: SimulatedStore, isLongRunning: boolean, submittedWallMs: number): void {
    const steps = [{ ...defaultStep, taskCount: tasksCount, isLongRunning }];
    const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs };
    store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
}
