/** Estimates whether the workers of a pool have room for a whole gang. */
import { type Suspicion, suspicionOf } from "./crashCounts.js";
import { countCrashes, type StepRecord } from "./jobRecord.js";
import { reservedResources, type Resources } from "./jobTypes.js";
import { type Candidate, hasRoom } from "./poolCandidates.js";
import { mayStartBeside } from "./workerCrashes.js";

/** What tasks of the step may take on a candidate, if that is less than what is free. */
export type RoomLimit = (candidate: Candidate) => Resources | undefined;

/** For how many tasks of the step the candidate has room, if any of them may start there. */
function countRoom(candidate: Candidate, { spec }: StepRecord, needed: Resources, suspicion: Suspicion, roomLimit?: RoomLimit): number {
    if (
        !hasRoom(candidate, needed) || !mayStartBeside(candidate.suspects, suspicion, undefined) ||
        (spec.requiredLabel !== undefined && !candidate.worker.entry.labels.includes(spec.requiredLabel))
    ) {
        return 0;
    }
    const count = (free: number, each: number): number => each > 0 ? Math.floor(free / each) : Number.POSITIVE_INFINITY;
    const limit = roomLimit?.(candidate);
    return Math.min(
        count(Math.min(candidate.freeCpuMillicores, limit?.cpuMillicores ?? Number.POSITIVE_INFINITY), needed.cpuMillicores),
        count(Math.min(candidate.freeMemoryMb, limit?.memoryMb ?? Number.POSITIVE_INFINITY), needed.memoryMb),
        count(Math.min(candidate.freeAccelerators, limit?.accelerators ?? Number.POSITIVE_INFINITY), needed.accelerators),
        spec.maxTasksPerWorker ?? Number.POSITIVE_INFINITY,
    );
}

/** Whether the candidates have room for the whole gang, so that it is not planned in part and cancelled in each pass. */
export function mayHoldGang(candidates: readonly Candidate[], step: StepRecord, roomLimit?: RoomLimit): boolean {
    const needed = reservedResources(step.spec);
    const suspicion = suspicionOf(countCrashes(step, 0));
    let missing = step.waiting.size;
    for (const candidate of candidates) {
        missing -= countRoom(candidate, step, needed, suspicion, roomLimit);
        if (missing <= 0) {
            return true;
        }
    }
    return false;
}
