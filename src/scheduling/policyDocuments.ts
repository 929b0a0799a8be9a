/** Policies in the form in which the store holds them. */
import type { QueuePolicy, Resources, TeamPolicy } from "./jobTypes.js";
import type { Retained, RetainedPolicies } from "./retainedPolicies.js";

export const isAmount = (value: unknown): boolean => Number.isFinite(value) && Number(value) >= 0;

export function areAmounts({ cpuMillicores, memoryMb, accelerators }: Resources): boolean {
    return [cpuMillicores, memoryMb, accelerators].every(isAmount);
}

/** Whether a decoded queue has what the scheduler relies on. */
export function isReadableQueue({ name, poolName, maxAttempts, criticalPathFactor, latencyObjectiveMs }: QueuePolicy): boolean {
    return [name, poolName].every(text => typeof text === "string") &&
        [maxAttempts, criticalPathFactor, latencyObjectiveMs].every(Number.isFinite);
}

/** Whether a decoded team has what the scheduler relies on. */
export function isReadableTeam({ name, weight, limit }: TeamPolicy): boolean {
    return typeof name === "string" && Number.isFinite(weight) && areAmounts(limit);
}

export function encodeRetained({ queues, teams }: RetainedPolicies): string {
    return JSON.stringify({ queues: [...queues.values()], teams: [...teams.values()] });
}

function decodeEntries<T extends { name: string }>(
    entries: readonly Retained<T>[],
    kind: string,
    isReadable: (policy: T) => boolean,
): Map<string, Retained<T>> {
    const unreadable = entries.find(entry => !Number.isFinite(entry.configurationVersion) || !isReadable(entry.policy));
    if (unreadable) {
        throw new Error(`retained policies have an unreadable ${kind}: ${JSON.stringify(unreadable).slice(0, 200)}`);
    }
    return new Map(entries.map(entry => [entry.policy.name, entry]));
}

/** Throws if the text holds no retained policies, or one that cannot be read. */
export function decodeRetained(text: string): RetainedPolicies {
    const { queues, teams } = JSON.parse(text) as { queues: Retained<QueuePolicy>[]; teams: Retained<TeamPolicy>[] };
    return { queues: decodeEntries(queues, "queue", isReadableQueue), teams: decodeEntries(teams, "team", isReadableTeam) };
}
