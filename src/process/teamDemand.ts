/** Demand by team: what runs, what waits, and the highest sum of both lately. */
import type { TimerService } from "../common/timerService.js";
import type { HolderDemand } from "../decisions/allotments.js";

interface TeamCounts {
    used: number;
    waiting: number;
    peakNow: number;
    peakBefore: number;
}

/** The peak covers this window and the one before it. */
const peakWindowMs = 500;

/** Creates the counts; all start at zero. */
export function createTeamDemand(timers: TimerService, signal: AbortSignal) {
    const teams = new Map<string, TeamCounts>();
    const countsOf = (team: string): TeamCounts => {
        let counts = teams.get(team);
        if (!counts) {
            counts = { used: 0, waiting: 0, peakNow: 0, peakBefore: 0 };
            teams.set(team, counts);
        }
        return counts;
    };
    const raisePeak = (counts: TeamCounts): void => {
        counts.peakNow = Math.max(counts.peakNow, counts.used + counts.waiting);
    };
    timers.every(peakWindowMs, signal, () =>
        teams.forEach(counts => {
            counts.peakBefore = counts.peakNow;
            counts.peakNow = counts.used + counts.waiting;
        }));
    return {
        usedSlots: (team: string): number => teams.get(team)?.used ?? 0,
        demandOf: (team: string): HolderDemand => {
            const counts = countsOf(team);
            return { usedSlots: counts.used, wantedSlots: Math.max(counts.peakNow, counts.peakBefore) };
        },
        changeUsed: (team: string, change: number): void => {
            const counts = countsOf(team);
            counts.used += change;
            raisePeak(counts);
        },
        changeWaiting: (team: string, change: number): void => {
            const counts = countsOf(team);
            counts.waiting += change;
            raisePeak(counts);
        },
    };
}
