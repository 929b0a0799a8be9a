/** Slot time that teams have used lately, in the whole zone: this process's own and what its peers report. */
import type { TimerService } from "../common/timerService.js";

/** After this time a use counts half. */
const halfLifeMs = 5_000;

interface DecayingSum {
    valueMs: number;
    atMs: number;
}

export type UsageTracker = ReturnType<typeof createUsageTracker>;

/** Creates an empty ledger. */
export function createUsageTracker(timers: TimerService) {
    const own = new Map<string, DecayingSum>();
    const peers = new Map<string, { usageMs: ReadonlyMap<string, number>; atMs: number }>();

    const decayed = (valueMs: number, atMs: number): number => valueMs * 2 ** ((atMs - timers.nowMs()) / halfLifeMs);
    const ownUsageMs = (team: string): number => {
        const sum = own.get(team);
        return sum ? decayed(sum.valueMs, sum.atMs) : 0;
    };
    return {
        /** Adds slot time to a team; negative to correct an estimate. */
        add: (team: string, slotTimeMs: number): void => {
            own.set(team, { valueMs: Math.max(0, ownUsageMs(team) + slotTimeMs), atMs: timers.nowMs() });
        },
        /** Use of a team in the whole zone. */
        zoneUsageMs: (team: string): number => {
            let sumMs = ownUsageMs(team);
            peers.forEach(peer => sumMs += decayed(peer.usageMs.get(team) ?? 0, peer.atMs));
            return sumMs;
        },
        /** Own use by team, as peers are told. */
        localUsageMs: (): Record<string, number> => Object.fromEntries([...own.keys()].map(team => [team, Math.round(ownUsageMs(team))])),
        /** Takes in what a peer reports; `undefined` forgets the peer. */
        setPeerUsage: (peerId: string, usageMs: ReadonlyMap<string, number> | undefined): void => {
            if (!usageMs) {
                peers.delete(peerId);
                return;
            }
            peers.set(peerId, { usageMs, atMs: timers.nowMs() });
        },
    };
}
