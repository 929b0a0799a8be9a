/**
 * A fleet under queues that surge one after the other, in virtual time: the owner's scheduler and its moves of VMs between pools, with
 * simulated VMs, workers and store. The store or the owner may be away for a while. What each queue's jobs earn is measured.
 */
import { createSeededRandom } from "../../harness/random.js";
import {
    createSchedulingLoad,
    createSimulatedWorker,
    createVirtualTime,
    type HotTeam,
    type LoadShape,
    type SimulatedWorker,
    smoothSurges,
} from "../../harness/schedulingLoad.js";
import { createSimulatedOwner, storeMs, workerLeaseMs } from "../../harness/simulatedOwner.js";
import type { TimerService } from "../../src/common/timerService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger, type Logger } from "../../src/process/logger.js";
import { createPoolRebalancer } from "../../src/process/poolRebalancer.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { encodeSubmission } from "../../src/scheduling/jobDocuments.js";
import { estimateCriticalPathMs, estimateWork, type JobSubmission } from "../../src/scheduling/jobTypes.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, runEnds } from "../../src/scheduling/schedulerState.js";
import type { SchedulingFeatures } from "../../src/scheduling/schedulingFeatures.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { type EarnedWorth, measureEarnedWorth, type TrackedJob, trackJob } from "./earnedWorth.js";
import { createFleetMeter, type FleetMeasures } from "./fleetMeter.js";
import { createSimulatedVms } from "./simulatedVms.js";

export interface Period {
    fromMs: number;
    untilMs: number;
}

export interface FleetSimulationOptions {
    seed: number;
    /** Size of the fleet and of the load; 1 is 246 VMs. */
    scale: number;
    /** Time in which jobs arrive. */
    durationMs: number;
    hotTeams: readonly HotTeam[];
    /** No process owns the scheduling. */
    ownerAway: readonly Period[];
    /** The store serves no calls: no job is accepted, no progress saved, no VM moved. */
    storeAway: readonly Period[];
    logger?: Logger;
    /** See `SimulatedOwnerOptions`. */
    callCostMs?: number;
    /** Part of the listings that workers leave without a response. */
    unansweredFraction?: number;
    features?: SchedulingFeatures;
    /** By default, surges rise and fall smoothly. */
    shape?: LoadShape;
    /** A rack whose VMs are lost at that time. */
    lostRack?: { rack: string; atMs: number };
    longRunningTasksCount?: number;
    /** See `SchedulingLoadOptions`. */
    workerSizeFactor?: number;
    estimateError?: number;
}

export interface FleetSimulationResult extends EarnedWorth, FleetMeasures {
    vmSecondsInPools: number;
    movesCount: number;
}

/** Few enough that most VMs can be moved. */
const longRunningTasksCount = 6;
const advanceIntervalMs = 150;
const listIntervalMs = 400;
/** After the last arrival; then each job is done, or has no value left. */
const settleMs = 6_000;

export async function simulateFleet(options: FleetSimulationOptions): Promise<FleetSimulationResult> {
    const time = createVirtualTime();
    const load = createSchedulingLoad(options.seed, options.scale, {
        shape: options.shape ?? smoothSurges,
        hotTeams: options.hotTeams,
        longRunningTasksCount: options.longRunningTasksCount ?? longRunningTasksCount,
        workerSizeFactor: options.workerSizeFactor,
        estimateError: options.estimateError,
    });
    const timers = { nowMs: time.nowMs, wallClockMs: time.nowMs } as TimerService;
    const logger = options.logger ?? createSilentLogger();
    const moment = (): Moment => ({ nowMs: time.nowMs(), wallMs: time.nowMs() });
    const isWithin = (periods: readonly Period[]): boolean =>
        periods.some(each => time.nowMs() >= each.fromMs && time.nowMs() < each.untilMs);
    const scheduler = createScheduler({
        policy: load.policy,
        term: { token: 1, unknownWorkersUntilMs: 0 },
        workerLeaseMs,
        maxWorkerLeaseMs: workerLeaseMs,
        taskStopMs: 900,
        features: options.features,
        onDecision: decision => {
            const job = jobs.get(decision.jobId ?? "");
            if (decision.what === "job completed") {
                time.after(storeMs, () => job && (job.completedAtMs ??= time.nowMs()));
            }
            else if (job && decision.what === "run ended" && decision.reason === runEnds.failed) {
                const failuresCount = (failuresCounts.get(decision.taskName!) ?? 0) + 1;
                failuresCounts.set(decision.taskName!, failuresCount);
                job.hasFailed ||= failuresCount >= load.policy.queues.get(job.submission.queueName)!.maxAttempts;
            }
        },
    });
    const demand = createDemandTracker(time.nowMs);
    const responseRandom = createSeededRandom(options.seed + 2);
    const jobs = new Map<string, TrackedJob>();
    const failuresCounts = new Map<string, number>();
    const workers = new Map<string, SimulatedWorker>();
    const arrivedWhileAway: JobSubmission[] = [];
    let vmSecondsInPools = 0;
    const meter = createFleetMeter(time);

    const owner = createSimulatedOwner({
        time,
        scheduler,
        findWorker: workerId => workers.get(workerId),
        runDurationMs: run => run.isServing ? undefined : jobs.get(run.jobId)!.taskDurationsMs[run.stepIndex]![run.taskIndex]!,
        onCommand: command => command.kind === commandKinds.start && meter.recordStart(command.run),
        isAway: () => isWithin(options.ownerAway),
        isStoreAway: () => isWithin(options.storeAway),
        callCostMs: options.callCostMs,
        isListingUnanswered: () => responseRandom.unit() < (options.unansweredFraction ?? 0),
    });

    const simulateWorker = ({ bornWallMs }: WorkerEntry): SimulatedWorker => {
        const worker = createSimulatedWorker(time, load.workRandom);
        return {
            ...worker,
            list: (acknowledged, waitMs, respond) => worker.list(acknowledged, waitMs, listing => respond({ ...listing, bornWallMs })),
        };
    };
    const fleet = createSimulatedVms({
        time,
        load,
        isStandby: poolName => load.policy.pools.get(poolName)!.isStandby,
        onWorkerStarted: entry => {
            scheduler.registerWorker(entry, moment());
            workers.set(entry.workerId, simulateWorker(entry));
            owner.follow(entry.workerId);
        },
        onWorkerEnded: workerId => {
            workers.delete(workerId);
            time.after(storeMs, () => scheduler.unregisterWorker(workerId));
        },
    });
    const { vmService } = fleet;
    const inventory = createVmInventory({ scheduler, vmService, timers, logger });
    const mayAct = (): boolean => !isWithin(options.ownerAway) && !isWithin(options.storeAway);
    const rebalancer = createPoolRebalancer({
        inventory,
        vmService,
        nodeName: "owner",
        orderToken: () => mayAct() ? 1 : undefined,
        timers,
        logger,
        demand,
        mustStay: () => false,
    });

    const addJob = (submission: JobSubmission): void => {
        scheduler.addJob(encodeSubmission(submission), undefined, false, time.nowMs());
        const job = jobs.get(submission.jobId)!;
        job.isOwed = scheduler.state.jobs.get(submission.jobId)?.isWithinShare ?? true;
        demand.recordArrival(
            load.policy.queues.get(submission.queueName)!.poolName,
            estimateWork(submission.steps),
            time.nowMs() - submission.submittedWallMs,
            Math.max(0, ...estimateCriticalPathMs(submission.steps)),
        );
        owner.requestPass();
    };
    const arrive = (): void => {
        const arrivals = time.nowMs() < options.durationMs ? load.arrivals(time.nowMs()) : [];
        for (const submission of arrivals) {
            if (isWithin(options.storeAway)) {
                continue;
            }
            jobs.set(submission.jobId, trackJob(load, submission));
            arrivedWhileAway.push(submission);
        }
        if (!isWithin(options.ownerAway)) {
            arrivedWhileAway.splice(0).forEach(addJob);
        }
    };

    fleet.start();
    load.longRunningJobs.forEach(submission => {
        jobs.set(submission.jobId, trackJob(load, submission));
        addJob(submission);
    });

    while (time.nowMs() < options.durationMs + settleMs) {
        time.advance();
        const nowMs = time.nowMs();
        arrive();
        if (isWithin(options.ownerAway)) {
            continue;
        }
        owner.advance();
        if (nowMs === options.lostRack?.atMs) {
            fleet.loseRack(options.lostRack.rack);
        }
        if (nowMs % advanceIntervalMs === 0) {
            vmSecondsInPools += fleet.vmsInPoolsCount() * advanceIntervalMs / 1000;
            meter.sample(scheduler.state.workers.values());
            if (nowMs - inventory.listedAtMs() >= listIntervalMs) {
                await inventory.refresh();
            }
            if (mayAct()) {
                rebalancer.advance();
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    }
    return {
        ...measureEarnedWorth([...jobs.values()]),
        ...meter.read(jobs.values()),
        vmSecondsInPools,
        movesCount: fleet.movesCount(),
    };
}
