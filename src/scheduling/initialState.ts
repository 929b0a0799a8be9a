/** The state of a scheduler when its term begins. */
import { createDurationLearner } from "../decisions/learnDurations.js";
import { maxUnansweredStarts } from "../decisions/startWindow.js";
import type { SchedulingPolicy } from "./jobTypes.js";
import { maxLeaseMs, startValidityMs } from "./leases.js";
import { createReservationState } from "./reservationState.js";
import { noRetainedPolicies, type RetainedPolicies } from "./retainedPolicies.js";
import type { Decision, SchedulerState } from "./schedulerState.js";
import { noSchedulingFeatures, type SchedulingFeatures } from "./schedulingFeatures.js";
import { unlimitedStarts } from "./startPermission.js";
import type { Term } from "./term.js";

export interface SchedulerOptions {
    /** The policy of the newest configuration. */
    policy: SchedulingPolicy;
    /** What that configuration lacks and unfinished jobs may need. */
    retained?: RetainedPolicies;
    term: Term;
    /** Longest lease that commands to workers ask for. */
    workerLeaseMs: number;
    /** Longest lease that a worker grants, whatever a command asks for. */
    maxWorkerLeaseMs: number;
    /** Maximum time that a worker takes to stop a task. */
    taskStopMs: number;
    features?: SchedulingFeatures | undefined;
    onDecision(decision: Decision): void;
}

export function createSchedulerState(options: SchedulerOptions): SchedulerState {
    return {
        configuredPolicy: options.policy,
        retainedPolicies: noRetainedPolicies,
        policy: options.policy,
        term: options.term,
        jobs: new Map(),
        workers: new Map(),
        departedWorkers: new Map(),
        departedSnapshots: new Set(),
        teamUsed: new Map(),
        possibleTeamUsage: new Map(),
        teamShareBuckets: new Map(),
        requestedLeaseMs: options.workerLeaseMs,
        maxGrantedLeaseMs: options.maxWorkerLeaseMs,
        startLeaseMs: maxLeaseMs(startValidityMs),
        taskStopMs: options.taskStopMs,
        features: options.features ?? noSchedulingFeatures,
        startPermission: unlimitedStarts,
        maxStartsPerWorker: maxUnansweredStarts,
        reservations: createReservationState(),
        durations: createDurationLearner(),
        isOwnershipProven: true,
        isStoreWritable: true,
        commands: [],
        plannedRuns: new Set(),
        unexplainedDepartures: new Map(),
        workersWithUnsavedEnds: new Map(),
        unsavedJobs: new Set(),
        nextRunNumber: 1,
        areTokensUsedUp: false,
        onDecision: options.onDecision,
    };
}
