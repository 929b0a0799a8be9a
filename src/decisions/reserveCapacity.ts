/**
 * Finds the earliest time and place at which a large task or a gang fits, and decides whether other work may be placed there before. It is
 * designed for a pool that is full of small tasks: these take each gap as it opens, so that what needs several gaps on one worker waits
 * for as long as small work arrives.
 *
 * This is EASY backfilling: a reservation fixes the start of one step; smaller work may go before it if it is expected to end in time, or
 * fits beside it. All times are expected ones; a wrong estimate changes the place or the time in the next pass.
 */

import { fitsInto, type Resources } from "./resources.js";

/** What a run gives back when it ends. */
export interface ExpectedEnd {
    /** Infinite if the run is not expected to end. */
    endsAtMs: number;
    reserved: Resources;
}

export interface ReservableWorker {
    workerId: string;
    rack: string;
    /** Below zero where runs take more than the capacity. */
    free: Resources;
    /** The runs on the worker, the first to end first. */
    ends: readonly ExpectedEnd[];
}

export interface PlaceRequest {
    /** For each task. */
    needed: Resources;
    /** How many tasks must start together. */
    tasksCount: number;
    maxTasksPerWorker: number | undefined;
    /** All tasks need workers of the same rack. */
    isRackBound: boolean;
}

/** When and where the tasks of a request fit. */
export interface ReservedPlace {
    startsAtMs: number;
    /** The number of tasks on each worker. */
    tasksCounts: ReadonlyMap<string, number>;
}

function sumOf(left: Resources, right: Resources, factor: number): Resources {
    return {
        cpuMillicores: left.cpuMillicores + factor * right.cpuMillicores,
        memoryMb: left.memoryMb + factor * right.memoryMb,
        accelerators: left.accelerators + factor * right.accelerators,
    };
}

/** How many tasks fit into the room, up to a number. */
function countFitting(needed: Resources, room: Resources, atMost: number): number {
    if (!fitsInto(needed, room)) {
        return 0;
    }
    const count = (free: number, each: number): number => each > 0 ? Math.floor(free / each) : Number.POSITIVE_INFINITY;
    return Math.min(
        atMost,
        count(room.cpuMillicores, needed.cpuMillicores),
        count(room.memoryMb, needed.memoryMb),
        count(room.accelerators, needed.accelerators),
    );
}

/** What the worker has free at a time, if no other work is placed there. */
export function freeAt({ free, ends }: Pick<ReservableWorker, "free" | "ends">, atMs: number): Resources {
    let sum = free;
    for (const { endsAtMs, reserved } of ends) {
        if (endsAtMs <= atMs) {
            sum = sumOf(sum, reserved, 1);
        }
    }
    return sum;
}

/** The times from which on each further task fits on the worker, in order; none for those that never fit. */
function roomTimes({ needed, tasksCount, maxTasksPerWorker }: PlaceRequest, worker: ReservableWorker, nowMs: number): number[] {
    const atMost = Math.min(tasksCount, maxTasksPerWorker ?? Number.POSITIVE_INFINITY);
    const room = { ...worker.free };
    const times: number[] = [];
    const addFitting = (atMs: number): void => {
        const fitting = countFitting(needed, room, atMost);
        while (times.length < fitting) {
            times.push(atMs);
        }
    };
    addFitting(nowMs);
    if (times.length >= atMost) {
        return times;
    }
    for (const { endsAtMs, reserved } of worker.ends) {
        if (times.length >= atMost || endsAtMs === Number.POSITIVE_INFINITY) {
            break;
        }
        room.cpuMillicores += reserved.cpuMillicores;
        room.memoryMb += reserved.memoryMb;
        room.accelerators += reserved.accelerators;
        addFitting(Math.max(nowMs, endsAtMs));
    }
    return times;
}

interface WorkerRoom {
    worker: ReservableWorker;
    /** See `roomTimes`. */
    times: number[];
}

/** The earliest time at which all tasks fit on the workers together; infinite if they never do. */
function earliestStart(tasksCount: number, workers: readonly WorkerRoom[]): number {
    if (tasksCount === 1) {
        return workers.reduce((earliest, { times }) => Math.min(earliest, times[0] ?? earliest), Number.POSITIVE_INFINITY);
    }
    const times: number[] = [];
    for (const each of workers) {
        times.push(...each.times);
    }
    return times.length < tasksCount ? Number.POSITIVE_INFINITY : Float64Array.from(times).sort()[tasksCount - 1]!;
}

/** Assigns the tasks to the workers that hold the most of them, of equal ones to those that have the least left. */
function assignTasks({ needed, tasksCount }: PlaceRequest, workers: readonly WorkerRoom[], startsAtMs: number): Map<string, number> {
    const fitting = workers.filter(({ times }) => times[0]! <= startsAtMs).map(({ worker, times }) => ({
        workerId: worker.workerId,
        tasksCount: times.filter(atMs => atMs <= startsAtMs).length,
        leftMillicores: freeAt(worker, startsAtMs).cpuMillicores - needed.cpuMillicores,
    })).sort((a, b) => b.tasksCount - a.tasksCount || a.leftMillicores - b.leftMillicores);
    const assigned = new Map<string, number>();
    let missing = tasksCount;
    for (const each of fitting) {
        if (missing <= 0) {
            break;
        }
        assigned.set(each.workerId, Math.min(missing, each.tasksCount));
        missing -= each.tasksCount;
    }
    return assigned;
}

/** Returns when and where the tasks fit first, by the expected ends of what runs; `undefined` if they never do. */
export function findEarliestPlace(request: PlaceRequest, workers: readonly ReservableWorker[], nowMs: number): ReservedPlace | undefined {
    const groups = new Map<string, WorkerRoom[]>();
    for (const worker of workers) {
        const times = roomTimes(request, worker, nowMs);
        const rack = request.isRackBound ? worker.rack : "";
        const group = groups.get(rack) ?? [];
        groups.set(rack, group);
        if (times.length > 0) {
            group.push({ worker, times });
        }
    }
    let best: { startsAtMs: number; group: WorkerRoom[] } | undefined;
    for (const group of groups.values()) {
        const startsAtMs = earliestStart(request.tasksCount, group);
        if (startsAtMs < (best?.startsAtMs ?? Number.POSITIVE_INFINITY)) {
            best = { startsAtMs, group };
        }
    }
    return best && { startsAtMs: best.startsAtMs, tasksCounts: assignTasks(request, best.group, best.startsAtMs) };
}

/** What is reserved on one worker. */
export interface WorkerReservation {
    startsAtMs: number;
    needed: Resources;
    tasksCount: number;
}

/** What the worker has left beside the reserved tasks when they start. */
export function roomBeside(worker: Pick<ReservableWorker, "free" | "ends">, reservation: WorkerReservation): Resources {
    return sumOf(freeAt(worker, reservation.startsAtMs), reservation.needed, -reservation.tasksCount);
}

/** Whether a task that has room on the worker now may be placed there without delaying the reserved ones; `beside` is from `roomBeside`. */
export function mayBackfill(
    reservation: WorkerReservation,
    beside: Resources,
    task: { needed: Resources; endsAtMs: number },
): boolean {
    return task.endsAtMs <= reservation.startsAtMs || fitsInto(task.needed, beside);
}

/**
 * A run ends later than its task's duration by the time that its start, its end and the listing take. Without this allowance, runs seem to be
 * late when they are not, and reservations move from worker to worker.
 */
const durationFactor = 4 / 3;
const durationSlackMs = 100;

/**
 * When a run is expected to end. One that lasts longer than expected is expected to last twice, four times and so on as long: this is known
 * no better, and keeps the time of a reservation from moving in each pass.
 */
export function expectedEndMs(startedAtMs: number, expectedDurationMs: number, nowMs: number): number {
    const durationMs = durationFactor * expectedDurationMs + durationSlackMs;
    const ageMs = nowMs - startedAtMs;
    return startedAtMs + durationMs * (ageMs < durationMs ? 1 : 2 ** Math.floor(Math.log2(ageMs / durationMs) + 1));
}
