/** What a run needs, by its task. */
import { countWorkerCrashes, type JobRecord, type StepRecord } from "./jobRecord.js";
import { isServing, reservedResources } from "./jobTypes.js";
import type { RunNeeds } from "./workerRecord.js";

/** What a run of the task needs, its team, and the crashes under earlier runs. */
export function runNeeds(job: JobRecord, step: StepRecord, taskIndex: number): RunNeeds {
    return {
        crashesCount: countWorkerCrashes(step, taskIndex),
        isServing: isServing(step.spec),
        isFiller: step.spec.isFiller,
        teamName: job.submission.teamName,
        requested: step.spec.request,
        reserved: reservedResources(step.spec),
        isSizeUnknown: false,
    };
}
