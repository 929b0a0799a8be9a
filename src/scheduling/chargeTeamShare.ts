/** Counts what each team hands in against its share. */
import { takeShareToken } from "../decisions/teamShare.js";
import type { JobRecord } from "./jobRecord.js";
import type { SchedulerState } from "./schedulerState.js";

/** Notes whether the job lies within its team's share; jobs are to come in the order in which they were handed in. */
export function chargeTeamShare(state: SchedulerState, job: JobRecord): void {
    const { teamName, submittedWallMs } = job.submission;
    const team = teamName === undefined ? undefined : state.policy.teams.get(teamName);
    if (team) {
        const decision = takeShareToken(state.teamAllowance.get(team.name), team.weight, submittedWallMs);
        state.teamAllowance.set(team.name, decision.bucket);
        job.isWithinShare = decision.isWithinShare;
    }
}
