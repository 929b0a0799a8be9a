/**
 * Whether a job lies within its team's share. Load pattern: one team hands in many times its usual for some seconds, and all
 * others would wait behind it. A team's share is a rate of jobs with some saved up for its own bursts; what lies beyond it
 * runs when nothing within a share wants the room.
 */

/** What a team may still hand in within its share. */
export interface ShareTokenBucket {
    jobsCount: number;
    atWallMs: number;
}

/** A team that was quiet may hand in this many seconds of its share at once: its queues surge one after the other. */
const savedUpS = 5;

export interface ShareDecision {
    isWithinShare: boolean;
    bucket: ShareTokenBucket;
}

/** Decides on a job that was handed in at `wallMs` by a team with a share of `jobsPerS`. */
export function takeShareToken(before: ShareTokenBucket | undefined, jobsPerS: number, wallMs: number): ShareDecision {
    const most = Math.max(1, jobsPerS * savedUpS);
    const earned = before ? Math.max(0, wallMs - before.atWallMs) / 1000 * jobsPerS : most;
    const jobsCount = Math.min(most, (before?.jobsCount ?? 0) + earned);
    const isWithinShare = jobsCount >= 1;
    return {
        isWithinShare,
        bucket: { jobsCount: isWithinShare ? jobsCount - 1 : jobsCount, atWallMs: Math.max(wallMs, before?.atWallMs ?? 0) },
    };
}
