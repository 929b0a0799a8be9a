/** Demand by team: slots in use, waiting requests, and the recent maximum of their sum. */
import type { TimerService } from "../common/timerService.js";
import type { HolderDemand } from "../decisions/allotments.js";

interface TeamCounts {
    used: number;
    waiting: number;
    currentWindowPeak: number;
    previousWindowPeak: number;
}

/** The peak covers the current window and the previous one. */
const peakWindowMs = 500;

/** Creates the tracker; all counts start at zero. */
export function createTeamDemand(timers: TimerService, signal: AbortSignal) {
    const teams = new Map<string, TeamCounts>();
    const countsOf = (team: string): TeamCounts => {
        let counts = teams.get(team);
        if (!counts) {
            counts = { used: 0, waiting: 0, currentWindowPeak: 0, previousWindowPeak: 0 };
            teams.set(team, counts);
        }
        return counts;
    };
    const raisePeak = (counts: TeamCounts): void => {
        counts.currentWindowPeak = Math.max(counts.currentWindowPeak, counts.used + counts.waiting);
    };
    timers.every(peakWindowMs, signal, () =>
        teams.forEach(counts => {
            counts.previousWindowPeak = counts.currentWindowPeak;
            counts.currentWindowPeak = counts.used + counts.waiting;
        }));
    return {
        usedSlots: (team: string): number => teams.get(team)?.used ?? 0,
        demandOf: (team: string): HolderDemand => {
            const counts = countsOf(team);
            return { usedSlots: counts.used, wantedSlots: Math.max(counts.currentWindowPeak, counts.previousWindowPeak) };
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
