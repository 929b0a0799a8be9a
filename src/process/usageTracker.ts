/** Recent slot time of each team in the zone: this process's own usage and the usage that its peers report. */
import type { TimerService } from "../common/timerService.js";

/** Time after which past usage counts half. */
const halfLifeMs = 5_000;

interface DecayingSum {
    valueMs: number;
    atMs: number;
}

export type UsageTracker = ReturnType<typeof createUsageTracker>;

export function createUsageTracker(timers: TimerService) {
    const local = new Map<string, DecayingSum>();
    const peers = new Map<string, { usageMs: ReadonlyMap<string, number>; atMs: number }>();

    const decayed = (valueMs: number, atMs: number): number => valueMs * 2 ** ((atMs - timers.nowMs()) / halfLifeMs);
    const getLocalUsageMs = (team: string): number => {
        const sum = local.get(team);
        return sum ? decayed(sum.valueMs, sum.atMs) : 0;
    };
    return {
        /** Adds slot time to a team; a negative value corrects an estimate. */
        add: (team: string, slotTimeMs: number): void => {
            local.set(team, { valueMs: Math.max(0, getLocalUsageMs(team) + slotTimeMs), atMs: timers.nowMs() });
        },
        /** Usage of a team in the whole zone. */
        zoneUsageMs: (team: string): number => {
            let sumMs = getLocalUsageMs(team);
            peers.forEach(peer => sumMs += decayed(peer.usageMs.get(team) ?? 0, peer.atMs));
            return sumMs;
        },
        /** Usage of this process by team, as reported to peers. */
        localUsageMs: (): Record<string, number> =>
            Object.fromEntries([...local.keys()].map(team => [team, Math.round(getLocalUsageMs(team))])),
        /** Sets the usage that a peer reports; `undefined` removes the peer. */
        setPeerUsage: (peerId: string, usageMs: ReadonlyMap<string, number> | undefined): void => {
            if (!usageMs) {
                peers.delete(peerId);
                return;
            }
            peers.set(peerId, { usageMs, atMs: timers.nowMs() });
        },
    };
}
