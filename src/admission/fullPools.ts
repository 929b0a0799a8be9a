/** Finds the pools in which jobs that arrive now would be too late, in the process that owns the scheduling. */
import type { FullPool } from "../decisions/admitJob.js";
import { predictLateStarts } from "../decisions/predictStarts.js";
import { takeShareToken } from "../decisions/teamShare.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import type { SchedulerState } from "../scheduling/schedulerState.js";
import { describePools } from "./describePools.js";
import type { IncomingVms } from "./incomingVms.js";
import { arrivalsWindowMs, type RecentArrivals } from "./recentArrivals.js";

export interface FullPools {
    /** Must be called about twice a second: for how long a pool has been full is known from these calls only. */
    find(state: SchedulerState, moment: Moment): FullPool[];
}

export function createFullPools(arrivals: RecentArrivals, incoming: Pick<IncomingVms, "list">): FullPools {
    const fullSinceMs = new Map<string, number>();
    return {
        find: (state, moment) => {
            const { pools, teamsAtLimit } = describePools(state, moment);
            return pools.flatMap(({ poolName, room, isFull, isKnown, ...load }): FullPool[] => {
                if (!isFull || !isKnown) {
                    fullSinceMs.delete(poolName);
                    return [];
                }
                const sinceMs = fullSinceMs.get(poolName) ?? moment.nowMs;
                fullSinceMs.set(poolName, sinceMs);
                const lateStarts = predictLateStarts({
                    ...load,
                    incoming: incoming.list(poolName),
                    arrivals: arrivals.list(poolName, state, teamsAtLimit),
                    arrivalsWindowMs,
                    fullForMs: moment.nowMs - sinceMs,
                });
                return lateStarts.length === 0 ? [] : [{ poolName, room, lateStarts }];
            });
        },
    };
}

/** The teams whose next job would be beyond their share. */
export function findTeamsBeyondShare({ policy, teamShareBuckets }: SchedulerState, wallMs: number): string[] {
    return [...policy.teams.values()]
        .filter(({ name, weight }) => !takeShareToken(teamShareBuckets.get(name), weight, wallMs).isWithinShare)
        .map(({ name }) => name);
}
