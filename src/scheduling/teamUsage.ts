/** The resources that each team's runs have requested, against the team's limit. */
import { addResources, noResources, type Resources } from "./jobTypes.js";
import type { SchedulerState } from "./schedulerState.js";

/** What the team is using; the runs' resources are added to it in place. */
export function teamUsage(state: SchedulerState, teamName: string | undefined): Resources {
    const known = state.teamUsed.get(teamName ?? "") ?? { ...noResources };
    state.teamUsed.set(teamName ?? "", known);
    return known;
}

/** Whether the team's limit allows `more` on top of what it is or may be using. */
export function isWithinTeamLimit(state: SchedulerState, teamName: string | undefined, more: Resources): boolean {
    const limit = teamName === undefined ? undefined : state.policy.teams.get(teamName)?.limit;
    if (!limit) {
        return true;
    }
    const used = { ...teamUsage(state, teamName) };
    addResources(used, state.possibleTeamUsage.get(teamName ?? "") ?? noResources, 1);
    return (limit.cpuMillicores === 0 || used.cpuMillicores + more.cpuMillicores <= limit.cpuMillicores) &&
        (limit.memoryMb === 0 || used.memoryMb + more.memoryMb <= limit.memoryMb) &&
        (limit.accelerators === 0 || used.accelerators + more.accelerators <= limit.accelerators);
}
