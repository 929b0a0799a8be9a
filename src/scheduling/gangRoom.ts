/** Estimates whether the workers of a pool have room for a whole gang. */
import { type Suspicion, suspicionOf } from "./crashCounts.js";
import { countCrashes, type StepRecord } from "./jobRecord.js";
import { reservedResources, type Resources } from "./jobTypes.js";
import { type Candidate, hasRoom } from "./poolCandidates.js";
import { mayStartBeside } from "./workerCrashes.js";

/** For how many tasks of the step the candidate has room, if any of them may start there. */
function countRoom(candidate: Candidate, { spec }: StepRecord, needed: Resources, suspicion: Suspicion): number {
    if (
        !hasRoom(candidate, needed) || !mayStartBeside(candidate.suspects, suspicion, undefined) ||
        (spec.requiredLabel !== undefined && !candidate.worker.entry.labels.includes(spec.requiredLabel))
    ) {
        return 0;
    }
    const count = (free: number, each: number): number => each > 0 ? Math.floor(free / each) : Number.POSITIVE_INFINITY;
    return Math.min(
        count(candidate.freeCpuMillicores, needed.cpuMillicores),
        count(candidate.freeMemoryMb, needed.memoryMb),
        count(candidate.freeAccelerators, needed.accelerators),
        spec.maxTasksPerWorker ?? Number.POSITIVE_INFINITY,
    );
}

/** Whether the candidates have room for the whole gang, so that it is not planned in part and cancelled in each pass. */
export function mayHoldGang(candidates: readonly Candidate[], step: StepRecord): boolean {
    const needed = reservedResources(step.spec);
    const suspicion = suspicionOf(countCrashes(step, 0));
    let missing = step.waiting.size;
    for (const candidate of candidates) {
        missing -= countRoom(candidate, step, needed, suspicion);
        if (missing <= 0) {
            return true;
        }
    }
    return false;
}
