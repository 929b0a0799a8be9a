/**
 * A fleet under queues that surge one after the other, in virtual time: the owner's scheduler and its moves of VMs between pools, with
 * simulated VMs, workers and store. The store or the owner may be away for a while. What each queue's jobs earn is measured.
 */
import {
    createSchedulingLoad,
    createSimulatedWorker,
    createVirtualTime,
    type HotTeam,
    type SimulatedWorker,
    smoothSurges,
} from "../../harness/schedulingLoad.js";
import type { TimerService } from "../../src/common/timerService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger, type Logger } from "../../src/process/logger.js";
import { passDelayMs } from "../../src/process/passTrigger.js";
import { createPoolRebalancer } from "../../src/process/poolRebalancer.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { encodeSubmission } from "../../src/scheduling/jobDocuments.js";
import { estimateWork, type JobSubmission } from "../../src/scheduling/jobTypes.js";
import type { Listing, Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { type EarnedWorth, measureEarnedWorth, type TrackedJob, trackJob } from "./earnedWorth.js";
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
}

export interface FleetSimulationResult extends EarnedWorth {
    vmSecondsInPools: number;
    movesCount: number;
}

/** Few enough that most VMs can be moved. */
const longRunningTasksCount = 6;
const linkMs = 2;
const storeMs = 6;
const longPollMs = 1_000;
const leaseMs = 6_000;
const saveIntervalMs = 20;
const maxSaveWaitMs = 40;
const jobsPerWrite = 15;
const maxWritesInFlight = 3;
const advanceIntervalMs = 150;
const listIntervalMs = 400;
/** After the last arrival; then each job is done, or has no value left. */
const settleMs = 6_000;

export async function simulateFleet(options: FleetSimulationOptions): Promise<FleetSimulationResult> {
    const time = createVirtualTime();
    const load = createSchedulingLoad(options.seed, options.scale, {
        shape: smoothSurges,
        hotTeams: options.hotTeams,
        longRunningTasksCount,
    });
    const timers = { nowMs: time.nowMs, wallClockMs: time.nowMs } as TimerService;
    const logger = options.logger ?? createSilentLogger();
    const moment = (): Moment => ({ nowMs: time.nowMs(), wallMs: time.nowMs() });
    const isWithin = (periods: readonly Period[]): boolean =>
        periods.some(each => time.nowMs() >= each.fromMs && time.nowMs() < each.untilMs);
    const scheduler = createScheduler({
        policy: load.policy,
        term: { token: 1, startedWallMs: 0, unknownWorkersUntilMs: 0 },
        workerLeaseMs: leaseMs,
        taskStopMs: 900,
        onDecision: decision => {
            if (decision.what === "job completed") {
                const job = jobs.get(decision.jobId!);
                time.after(storeMs, () => job && (job.completedAtMs ??= time.nowMs()));
            }
        },
    });
    const demand = createDemandTracker(time.nowMs);
    const jobs = new Map<string, TrackedJob>();
    const workers = new Map<string, SimulatedWorker>();
    const waitingForSave = new Set<string>();
    const arrivedWhileAway: JobSubmission[] = [];
    let isPassDue = true;
    let lastPassAtMs = 0;
    let writesInFlight = 0;
    let vmSecondsInPools = 0;

    const isAnswering = (workerId: string): boolean => workers.has(workerId);

    const list = (workerId: string, waitMs: number, handle: (listing: Listing, sentAtMs: number) => void): void => {
        if (!isAnswering(workerId)) {
            return;
        }
        const sentAtMs = time.nowMs();
        const acknowledged = scheduler.acknowledgedEndNumber(workerId);
        scheduler.leaseExtensionSent(workerId, leaseMs, sentAtMs);
        time.after(
            linkMs,
            () => workers.get(workerId)?.list(acknowledged, waitMs, listing => time.after(linkMs, () => deliver(listing))),
        );
        const deliver = (listing: Listing): void => {
            if (isWithin(options.ownerAway)) {
                // The next owner lists the worker again.
                time.after(50, () => deliver(listing));
            }
            else if (isAnswering(workerId)) {
                handle(listing, sentAtMs);
                isPassDue = true;
            }
        };
    };
    const simulateWorker = ({ bornWallMs }: WorkerEntry): SimulatedWorker => {
        const worker = createSimulatedWorker(time, load.workRandom);
        return {
            ...worker,
            list: (acknowledged, waitMs, respond) => worker.list(acknowledged, waitMs, listing => respond({ ...listing, bornWallMs })),
        };
    };
    const poll = (workerId: string, waitMs: number): void =>
        list(workerId, waitMs, (listing, sentAtMs) => {
            scheduler.listingReceived(workerId, listing, sentAtMs, moment());
            if (hasUnsavedEnds(workerId)) {
                waitingForSave.add(workerId);
                time.after(maxSaveWaitMs, () => pollAfterSave(workerId));
            }
            else {
                poll(workerId, longPollMs);
            }
        });
    const hasUnsavedEnds = (workerId: string): boolean => (scheduler.state.workers.get(workerId)?.unsavedEnds.length ?? 0) > 0;
    const pollAfterSave = (workerId: string): void => {
        if (waitingForSave.delete(workerId)) {
            poll(workerId, longPollMs);
        }
    };

    const fleet = createSimulatedVms({
        time,
        load,
        isStandby: poolName => load.policy.pools.get(poolName)!.isStandby,
        onWorkerStarted: entry => {
            scheduler.registerWorker(entry, moment());
            workers.set(entry.workerId, simulateWorker(entry));
            poll(entry.workerId, 0);
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

    const flushProgress = (): void => {
        while (writesInFlight < maxWritesInFlight && !isWithin(options.storeAway)) {
            const taken = scheduler.takeUnsavedJobs(jobsPerWrite);
            if (taken.length === 0) {
                return;
            }
            writesInFlight += 1;
            time.after(storeMs, () => {
                writesInFlight -= 1;
                taken.forEach(job => scheduler.progressSaved(job.jobId, job.version, time.nowMs()));
                [...waitingForSave].filter(workerId => !hasUnsavedEnds(workerId)).forEach(pollAfterSave);
                isPassDue = true;
            });
        }
    };
    const execute = (command: SchedulerCommand): void => {
        if (command.kind === commandKinds.list) {
            list(command.workerId, 0, (listing, sentAtMs) => scheduler.listingReceived(command.workerId, listing, sentAtMs, moment()));
        }
        else if (command.kind === commandKinds.start) {
            const { run } = command;
            const durationMs = run.isServing ? undefined : jobs.get(run.jobId)!.taskDurationsMs[run.stepIndex]![run.taskIndex]!;
            time.after(linkMs, () => workers.get(run.workerId)?.start(run, durationMs));
            time.after(2 * linkMs, () => {
                scheduler.startResponseReceived(run, commandOutcomes.accepted, "", moment());
                isPassDue = true;
            });
        }
        else if (command.kind === commandKinds.stop) {
            const { run } = command;
            time.after(linkMs, () => workers.get(run.workerId)?.stop(run));
            time.after(2 * linkMs, () => scheduler.stopResponseReceived(run, commandOutcomes.accepted, moment()));
        }
    };
    const runPass = (): void => {
        isPassDue = false;
        lastPassAtMs = time.nowMs();
        scheduler.setStoreWritable(!isWithin(options.storeAway));
        scheduler.step(moment());
        if (scheduler.hasPlannedStarts()) {
            flushProgress();
        }
        scheduler.takeCommands().forEach(execute);
    };

    const addJob = (submission: JobSubmission): void => {
        scheduler.addJob(encodeSubmission(submission), undefined, false, time.nowMs());
        const job = jobs.get(submission.jobId)!;
        job.isOwed = scheduler.state.jobs.get(submission.jobId)?.isWithinShare ?? true;
        demand.recordArrival(
            load.policy.queues.get(submission.queueName)!.poolName,
            estimateWork(submission.steps),
            time.nowMs() - submission.submittedWallMs,
        );
        isPassDue = true;
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
        if (nowMs % saveIntervalMs === 0) {
            flushProgress();
        }
        isPassDue ||= nowMs % 100 === 0;
        if (isPassDue && passDelayMs(lastPassAtMs, nowMs) === 0) {
            runPass();
        }
        if (nowMs % advanceIntervalMs === 0) {
            vmSecondsInPools += fleet.vmsInPoolsCount() * advanceIntervalMs / 1000;
            if (nowMs - inventory.listedAtMs() >= listIntervalMs) {
                await inventory.refresh();
            }
            if (mayAct()) {
                await rebalancer.advance();
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    }
    return { ...measureEarnedWorth([...jobs.values()]), vmSecondsInPools, movesCount: fleet.movesCount() };
}
