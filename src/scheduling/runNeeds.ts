/** What a run needs, by its task. */
import { suspicionOf } from "./crashCounts.js";
import { countCrashes, type JobRecord, type StepRecord } from "./jobRecord.js";
import { isServing, reservedResources } from "./jobTypes.js";
import type { RunNeeds } from "./workerRecord.js";

/** What a run of the task needs, its team, and what the crashes under its earlier runs say. */
export function runNeeds(job: JobRecord, step: StepRecord, taskIndex: number): RunNeeds {
    return {
        suspicion: suspicionOf(countCrashes(step, taskIndex)),
        isServing: isServing(step.spec),
        isFiller: step.spec.isFiller,
        teamName: job.submission.teamName,
        requested: step.spec.request,
        reserved: reservedResources(step.spec),
        isSizeUnknown: false,
    };
}
