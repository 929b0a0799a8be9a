/**
 * The workers of a pool that may get new runs, during one pass. A pass sees each worker's free resources only shrink, so a need
 * that fitted nowhere is not looked for again: in a surge, most waiting steps are passed over without looking at the workers.
 */
import type { PlacementCandidate } from "../decisions/placeTask.js";
import type { JobRecord, StepRecord } from "./jobRecord.js";
import { addResources, fitsInto, noResources, type Resources } from "./jobTypes.js";
import { isWorkerPersisted } from "./plannedStarts.js";
import { currentSuspects } from "./workerCrashes.js";
import { type Run, runPhases, type WorkerRecord } from "./workerRecord.js";
import { freeResources } from "./workerRoom.js";

/** A worker of the pool with its free resources, which are updated during the pass. */
export interface Candidate extends PlacementCandidate {
    worker: WorkerRecord;
    /** Runs on the worker that would be suspected again if it crashed now. */
    suspects: readonly Run[];
    freeAccelerators: number;
    /** Starts on the worker that were planned or sent and have no response. */
    unansweredStartsCount: number;
}

/** Room that no task may take, by worker. */
export type HeldRooms = ReadonlyMap<string, Resources>;

export const noHeldRooms: HeldRooms = new Map();

export interface PoolCandidates {
    all(): readonly Candidate[];
    /** Whether a worker may have room for the need; `false` is certain for the rest of the pass. */
    mayFit(needed: Resources): boolean;
    /** Records that no worker had room for the need. */
    recordMisfit(needed: Resources): void;
    /** Sets the properties of the candidates that depend on the step, from its runs and its job. */
    prepareFor(job: JobRecord, step: StepRecord): void;
    /** Updates the candidate after room for a task of the step was held on it. */
    recordHeld(candidate: Candidate, step: StepRecord): void;
    /** Updates the candidate after a run of the step was planned on it. */
    recordPlanned(candidate: Candidate, step: StepRecord): void;
    /** Updates the candidates after runs on them were cancelled; all needs that did not fit before still do not. */
    recordCancelled(candidates: readonly Candidate[]): void;
}

/** Needs that fitted nowhere are kept up to this number; further ones are looked for again. */
const maxMisfits = 16;

function countUnansweredStarts({ runs }: WorkerRecord): number {
    let count = 0;
    for (const { phase } of runs.values()) {
        count += phase === runPhases.planned || phase === runPhases.starting ? 1 : 0;
    }
    return count;
}

/** What the worker has left beside its runs and the room that is held on it. */
function unheldResources(worker: WorkerRecord, heldRooms: HeldRooms): Resources {
    const free = freeResources(worker);
    const held = heldRooms.get(worker.entry.workerId);
    if (held) {
        addResources(free, held, -1);
    }
    return free;
}

/** Updates what depends on the worker's runs. */
function updateFromRuns(candidate: Candidate, heldRooms: HeldRooms): void {
    candidate.unansweredStartsCount = countUnansweredStarts(candidate.worker);
    updateRoom(candidate, heldRooms);
}

function updateRoom(candidate: Candidate, heldRooms: HeldRooms): void {
    const { entry: { capacity }, longRunningCount, longRunningCpuMillicores } = candidate.worker;
    const free = unheldResources(candidate.worker, heldRooms);
    candidate.freeCpuMillicores = free.cpuMillicores;
    candidate.freeMemoryMb = free.memoryMb;
    candidate.freeAccelerators = free.accelerators;
    candidate.suspects = currentSuspects(candidate.worker);
    candidate.suspectsCount = candidate.suspects.length;
    candidate.longRunningCount = longRunningCount;
    candidate.longRunningPart = longRunningCpuMillicores / Math.max(1, capacity.cpuMillicores);
}

function createCandidate(worker: WorkerRecord, heldRooms: HeldRooms): Candidate {
    const { workerId, rack, zone } = worker.entry;
    const candidate: Candidate = {
        worker,
        workerId,
        rack,
        zone,
        freeCpuMillicores: 0,
        freeMemoryMb: 0,
        freeAccelerators: 0,
        unansweredStartsCount: 0,
        suspects: [],
        suspectsCount: 0,
        longRunningCount: 0,
        longRunningPart: 0,
        isStartRecorded: false,
        sameStepCount: 0,
        sameStepOnRackCount: 0,
    };
    updateFromRuns(candidate, heldRooms);
    return candidate;
}

export function hasRoom(candidate: Candidate, needed: Resources): boolean {
    return needed.cpuMillicores <= candidate.freeCpuMillicores && needed.memoryMb <= candidate.freeMemoryMb &&
        needed.accelerators <= candidate.freeAccelerators;
}

/** The most that any worker has free, for each resource by itself. */
function largestRoom(workers: readonly WorkerRecord[], heldRooms: HeldRooms): Resources {
    const room = { ...noResources };
    for (const worker of workers) {
        const free = unheldResources(worker, heldRooms);
        room.cpuMillicores = Math.max(room.cpuMillicores, free.cpuMillicores);
        room.memoryMb = Math.max(room.memoryMb, free.memoryMb);
        room.accelerators = Math.max(room.accelerators, free.accelerators);
    }
    return room;
}

/** `heldRooms` is read at each update of a candidate. */
export function createPoolCandidates(workers: readonly WorkerRecord[], heldRooms: HeldRooms = noHeldRooms): PoolCandidates {
    /** Created when the first step gets to them, since most passes start nothing in most pools. */
    let candidates: Candidate[] | undefined;
    let byWorkerId: Map<string, Candidate> | undefined;
    /** Candidates whose properties were set for the current step. */
    let prepared: Candidate[] = [];
    let room = largestRoom(workers, heldRooms);
    let isRoomCurrent = true;
    let misfits: Resources[] = [];

    const all = (): Candidate[] => candidates ??= workers.map(worker => createCandidate(worker, heldRooms));
    const find = (workerId: string): Candidate | undefined => {
        byWorkerId ??= new Map(all().map(candidate => [candidate.workerId, candidate]));
        return byWorkerId.get(workerId);
    };
    const countOnRack = (rack: string): void => {
        for (const candidate of all()) {
            if (candidate.rack === rack) {
                candidate.sameStepOnRackCount += 1;
                prepared.push(candidate);
            }
        }
    };
    const countRun = (candidate: Candidate, { spec }: StepRecord): void => {
        candidate.sameStepCount += 1;
        prepared.push(candidate);
        // Only long-running tasks are spread over racks.
        if (spec.isLongRunning) {
            countOnRack(candidate.rack);
        }
    };

    const recordHeld = (candidate: Candidate, step: StepRecord): void => {
        updateRoom(candidate, heldRooms);
        isRoomCurrent = false;
        countRun(candidate, step);
    };

    return {
        all,
        mayFit: needed => fitsInto(needed, room) && !misfits.some(misfit => fitsInto(misfit, needed)),
        recordMisfit: needed => {
            if (!isRoomCurrent) {
                room = largestRoom(workers, heldRooms);
                isRoomCurrent = true;
            }
            if (fitsInto(needed, room) && misfits.length < maxMisfits) {
                misfits = [...misfits.filter(misfit => !fitsInto(needed, misfit)), needed];
            }
        },
        prepareFor: (job, step) => {
            for (const candidate of prepared) {
                candidate.isStartRecorded = false;
                candidate.sameStepCount = 0;
                candidate.sameStepOnRackCount = 0;
            }
            prepared = [];
            for (const workerId of job.persistedWorkerIds) {
                const candidate = find(workerId);
                if (candidate && isWorkerPersisted(job, workerId)) {
                    candidate.isStartRecorded = true;
                    prepared.push(candidate);
                }
            }
            for (const runs of step.runs.values()) {
                for (const run of runs) {
                    const candidate = find(run.workerId);
                    if (candidate) {
                        countRun(candidate, step);
                    }
                }
            }
        },
        recordHeld,
        recordPlanned: (candidate, step) => {
            candidate.unansweredStartsCount += 1;
            recordHeld(candidate, step);
        },
        recordCancelled: cancelled => cancelled.forEach(candidate => updateFromRuns(candidate, heldRooms)),
    };
}
