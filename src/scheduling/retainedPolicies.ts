/**
 * Policies of queues and teams that the configuration lacks now, for jobs that were accepted while it had them. Such jobs run on: where
 * the last configuration with their queue sent them, and within the limit that their team had.
 */
import type { AcceptedPolicy, PoolPolicy, QueuePolicy, SchedulingPolicy, TeamPolicy } from "./jobTypes.js";

/** A policy, and the latest known configuration that contained it. */
export interface Retained<T> {
    policy: T;
    configurationVersion: number;
}

/** By name. */
export interface RetainedPolicies {
    queues: ReadonlyMap<string, Retained<QueuePolicy>>;
    teams: ReadonlyMap<string, Retained<TeamPolicy>>;
}

/** The queues and teams of unfinished jobs. */
export interface PolicyUse {
    queueNames: ReadonlySet<string>;
    teamNames: ReadonlySet<string>;
}

export const noRetainedPolicies: RetainedPolicies = { queues: new Map(), teams: new Map() };

/** Whether the policies keep nothing, so that every unfinished job goes by the configuration. */
function isNothingRetained({ queues, teams }: RetainedPolicies): boolean {
    return queues.size === 0 && teams.size === 0;
}

/** Collects the queues and teams of the given jobs. */
export function policyUseOf(jobs: Iterable<{ queueName: string; teamName: string | undefined }>): PolicyUse {
    const queueNames = new Set<string>();
    const teamNames = new Set<string>();
    for (const { queueName, teamName } of jobs) {
        queueNames.add(queueName);
        if (teamName !== undefined) {
            teamNames.add(teamName);
        }
    }
    return { queueNames, teamNames };
}

type ByName<T> = ReadonlyMap<string, T>;

/** Returns the given policies without the configured ones; of several with one name, the latest. */
function latestUnconfigured<T>(policies: Iterable<[string, Retained<T>]>, configured: ByName<T>): Map<string, Retained<T>> {
    const latest = new Map<string, Retained<T>>();
    for (const [name, each] of policies) {
        const isLater = each.configurationVersion > (latest.get(name)?.configurationVersion ?? Number.NEGATIVE_INFINITY);
        if (isLater && !configured.has(name)) {
            latest.set(name, each);
        }
    }
    return latest;
}

function* withVersion<T>(policies: ByName<T>, configurationVersion: number): Iterable<[string, Retained<T>]> {
    for (const [name, policy] of policies) {
        yield [name, { policy, configurationVersion }];
    }
}

/** Removes what no unfinished job needs; `findUse` is called only if anything is retained. */
export function withoutUnused(retained: RetainedPolicies, findUse: () => PolicyUse): RetainedPolicies {
    if (isNothingRetained(retained)) {
        return retained;
    }
    const { queueNames, teamNames } = findUse();
    return {
        queues: new Map([...retained.queues].filter(([name]) => queueNames.has(name))),
        teams: new Map([...retained.teams].filter(([name]) => teamNames.has(name))),
    };
}

/** Adds what the former policy has and the next one lacks, and removes what the next one has or no unfinished job needs. */
export function retainRemoved(
    retained: RetainedPolicies,
    former: SchedulingPolicy,
    next: SchedulingPolicy,
    findUse: () => PolicyUse,
): RetainedPolicies {
    return withoutUnused({
        queues: latestUnconfigured([...retained.queues, ...withVersion(former.queues, former.version)], next.queues),
        teams: latestUnconfigured([...retained.teams, ...withVersion(former.teams, former.version)], next.teams),
    }, findUse);
}

/** Adds other retained policies, such as those that an earlier owner stored. */
export function mergeRetained(retained: RetainedPolicies, other: RetainedPolicies, configured: SchedulingPolicy): RetainedPolicies {
    return {
        queues: latestUnconfigured([...retained.queues, ...other.queues], configured.queues),
        teams: latestUnconfigured([...retained.teams, ...other.teams], configured.teams),
    };
}

/** Returns what a job was accepted under in the form of retained policies. */
export function retainedFromJob({ configurationVersion, queue, team }: AcceptedPolicy): RetainedPolicies {
    return {
        queues: new Map([[queue.name, { policy: queue, configurationVersion }]]),
        teams: new Map(team ? [[team.name, { policy: team, configurationVersion }]] : []),
    };
}

/** The configured policy, completed by the retained ones and by the pools of their queues. */
export function completePolicy(configured: SchedulingPolicy, retained: RetainedPolicies): SchedulingPolicy {
    if (isNothingRetained(retained)) {
        return configured;
    }
    const complete = <T>(policies: ByName<T>, kept: ByName<Retained<T>>): Map<string, T> =>
        new Map([...[...kept].map(([name, { policy }]) => [name, policy] as const), ...policies]);
    const formerPools = [...retained.queues.values()].map(({ policy: { poolName } }): [string, PoolPolicy] => [
        poolName,
        { name: poolName, isStandby: false },
    ]);
    return {
        version: configured.version,
        queues: complete(configured.queues, retained.queues),
        teams: complete(configured.teams, retained.teams),
        pools: new Map([...formerPools, ...configured.pools]),
    };
}
