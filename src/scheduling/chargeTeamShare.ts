/** Charges each team's submissions to its share. */
import { takeShareToken } from "../decisions/teamShare.js";
import type { JobRecord } from "./jobRecord.js";
import type { SchedulerState } from "./schedulerState.js";

/** Charges the job to its team's share and records whether it is within it. Call it in the order of submission. */
export function chargeTeamShare(state: SchedulerState, job: JobRecord): void {
    const { teamName, submittedWallMs } = job.submission;
    const team = teamName === undefined ? undefined : state.policy.teams.get(teamName);
    if (team) {
        const decision = takeShareToken(state.teamShareBuckets.get(team.name), team.weight, submittedWallMs);
        state.teamShareBuckets.set(team.name, decision.bucket);
        job.isWithinShare = decision.isWithinShare;
    }
}
