/**
 * What each team may be using beyond the known runs: an earlier owner may have started tasks on workers that have not been listed yet. That
 * such a worker has not responded does not show that nothing runs there.
 */
import { countPossiblyStarted, isFinalState, type JobRecord, readyStepsOf } from "./jobRecord.js";
import { addResources, fitsInto, noResources, type Resources } from "./jobTypes.js";
import { unknownFormerWorkers } from "./plannedStarts.js";
import type { Moment } from "./reconcileListing.js";
import type { SchedulerState } from "./schedulerState.js";

/** What a team may have running on unlisted workers. */
interface TeamEstimate {
    tasks: Resources;
    /** CPU of fillers, which takes no room on a worker. */
    fillersCpuMillicores: number;
    workerIds: Set<string>;
}

function addTasks(estimate: TeamEstimate, job: JobRecord, wallMs: number): void {
    for (const { step } of readyStepsOf(job, wallMs)) {
        const tasksCount = countPossiblyStarted(step);
        addResources(estimate.tasks, step.spec.request, tasksCount);
        if (step.spec.isFiller) {
            estimate.tasks.cpuMillicores -= tasksCount * step.spec.request.cpuMillicores;
            estimate.fillersCpuMillicores += tasksCount * step.spec.request.cpuMillicores;
        }
    }
}

function hasLimit(state: SchedulerState, teamName: string): boolean {
    const limit = state.policy.teams.get(teamName)?.limit;
    return limit !== undefined && !fitsInto(limit, noResources);
}

/** The room that the workers have in all; without bound if one of them is not known. */
function roomOf(state: SchedulerState, workerIds: ReadonlySet<string>): Resources {
    const room = { ...noResources };
    for (const workerId of workerIds) {
        const capacity = state.workers.get(workerId)?.entry.capacity;
        if (!capacity) {
            const unbounded = Number.POSITIVE_INFINITY;
            return { cpuMillicores: unbounded, memoryMb: unbounded, accelerators: unbounded };
        }
        addResources(room, capacity, 1);
    }
    return room;
}

/** Brings up to date what each team with a limit may be using on workers that have not been listed in this term. */
export function updatePossibleTeamUsage(state: SchedulerState, moment: Moment): void {
    const estimates = new Map<string, TeamEstimate>();
    for (const job of state.jobs.values()) {
        const { teamName } = job.submission;
        if (
            teamName === undefined || !hasLimit(state, teamName) || job.formerWorkerIds.size === 0 || isFinalState(job.state)
        ) {
            continue;
        }
        const workerIds = unknownFormerWorkers(state, job, moment.nowMs);
        if (workerIds.length === 0) {
            continue;
        }
        const estimate = estimates.get(teamName) ?? { tasks: { ...noResources }, fillersCpuMillicores: 0, workerIds: new Set() };
        estimates.set(teamName, estimate);
        addTasks(estimate, job, moment.wallMs);
        workerIds.forEach(workerId => estimate.workerIds.add(workerId));
    }
    state.possibleTeamUsage.clear();
    for (const [teamName, { tasks, fillersCpuMillicores, workerIds }] of estimates) {
        const room = roomOf(state, workerIds);
        state.possibleTeamUsage.set(teamName, {
            cpuMillicores: Math.min(tasks.cpuMillicores, room.cpuMillicores) + fillersCpuMillicores,
            memoryMb: Math.min(tasks.memoryMb, room.memoryMb),
            accelerators: Math.min(tasks.accelerators, room.accelerators),
        });
    }
}
