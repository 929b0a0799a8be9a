/** Keeps the policies of the queues and teams of unfinished jobs when the configuration changes. */
import { isFinalState } from "./jobRecord.js";
import type { JobSubmission, SchedulingPolicy } from "./jobTypes.js";
import {
    completePolicy,
    mergeRetained,
    type PolicyUse,
    policyUseOf,
    retainedFromJob,
    type RetainedPolicies,
    retainRemoved,
    withoutUnused,
} from "./retainedPolicies.js";
import type { SchedulerState } from "./schedulerState.js";

function findPolicyUse(state: SchedulerState): PolicyUse {
    return policyUseOf([...state.jobs.values()].filter(job => !isFinalState(job.state)).map(job => job.submission));
}

function logRetained(state: SchedulerState, kind: string, detail: string): void {
    state.onDecision({ what: `retain ${kind}`, reason: "it has unfinished jobs, and the configuration lacks it", detail });
}

/** Sets what is retained beside the configuration. */
export function retainPolicies(state: SchedulerState, retained: RetainedPolicies): void {
    const known = state.retainedPolicies;
    for (const [name, { policy, configurationVersion }] of retained.queues) {
        if (known.queues.get(name)?.configurationVersion !== configurationVersion) {
            logRetained(state, "queue", `${name} of configuration ${configurationVersion}, pool ${policy.poolName}`);
        }
    }
    for (const [name, { configurationVersion }] of retained.teams) {
        if (known.teams.get(name)?.configurationVersion !== configurationVersion) {
            logRetained(state, "team", `${name} of configuration ${configurationVersion}`);
        }
    }
    state.retainedPolicies = retained;
    state.policy = completePolicy(state.configuredPolicy, retained);
}

/** Sets the policy of the newest configuration, and retains what it lacks of the former one for unfinished jobs. */
export function changePolicy(state: SchedulerState, next: SchedulingPolicy): void {
    const retained = retainRemoved(state.retainedPolicies, state.configuredPolicy, next, () => findPolicyUse(state));
    state.configuredPolicy = next;
    retainPolicies(state, retained);
}

/** Retains what the configuration lacks of the policy under which the job was accepted. */
export function retainPolicyOf(state: SchedulerState, { queueName, teamName, acceptedUnder }: JobSubmission): void {
    const { queues, teams } = state.configuredPolicy;
    const isConfigured = queues.has(queueName) && (teamName === undefined || teams.has(teamName));
    if (acceptedUnder && !isConfigured) {
        retainPolicies(state, mergeRetained(state.retainedPolicies, retainedFromJob(acceptedUnder), state.configuredPolicy));
    }
}

/** Releases the retained policies that no unfinished job needs any more. */
export function releaseUnusedPolicies(state: SchedulerState): void {
    retainPolicies(state, withoutUnused(state.retainedPolicies, () => findPolicyUse(state)));
}
