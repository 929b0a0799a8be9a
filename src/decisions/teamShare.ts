/**
 * Decides whether a job is within its team's share. Without shares, a team that submits many times its usual load for some
 * seconds would delay all other teams. Each team has a token bucket: its share is a rate of jobs, and unused tokens allow
 * bursts. Jobs beyond the share run when no job within a share needs the capacity.
 */

/** Token bucket of one team; each job within the share takes one token. */
export interface ShareTokenBucket {
    /** Tokens: jobs that the team may still submit within its share at `updatedWallMs`. */
    jobsCount: number;
    updatedWallMs: number;
}

/** Bucket capacity, in seconds of the team's rate. It covers the bursts of a team whose queues surge one after the other. */
const burstS = 5;

export interface ShareDecision {
    isWithinShare: boolean;
    bucket: ShareTokenBucket;
}

/** Decides on a job submitted at `wallMs` by a team with a share of `jobsPerS`, and returns the updated bucket. */
export function takeShareToken(before: ShareTokenBucket | undefined, jobsPerS: number, wallMs: number): ShareDecision {
    const capacityCount = Math.max(1, jobsPerS * burstS);
    const refillCount = before ? Math.max(0, wallMs - before.updatedWallMs) / 1000 * jobsPerS : capacityCount;
    const jobsCount = Math.min(capacityCount, (before?.jobsCount ?? 0) + refillCount);
    const isWithinShare = jobsCount >= 1;
    return {
        isWithinShare,
        bucket: { jobsCount: isWithinShare ? jobsCount - 1 : jobsCount, updatedWallMs: Math.max(wallMs, before?.updatedWallMs ?? 0) },
    };
}
