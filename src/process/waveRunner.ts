/** Carries out one maintenance wave in the process that owns the scheduling. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import { vmOrderOutcomes, type VmService, vmStates, type WaveRequest } from "../connection/vmService.js";
import { planWave, type WaveVm } from "../decisions/planWave.js";
import { allowedDisruptionsByStep, disruptionLimitedTasksByStep, stepKey } from "../scheduling/availability.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { markRunsLost } from "../scheduling/reconcileListing.js";
import { stopRun } from "../scheduling/schedulerState.js";
import { runPhases } from "../scheduling/workerRecord.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { SchedulingOwnership } from "./schedulingOwnership.js";
import type { VmInventory } from "./vmInventory.js";

export interface WaveRunner {
    /** Whether nothing is left to do or to say. */
    isFinished(): boolean;
    /** VMs of the wave that are still to be restarted. */
    isPending(vmId: string): boolean;
    /** Takes in what the list shows, and does what can be done now. */
    advance(): Promise<void>;
}

export interface WaveRunnerOptions {
    request: WaveRequest;
    /** What an earlier owner wrote of the wave. */
    storedProgress: string | undefined;
    inventory: VmInventory;
    vmService: VmService;
    nodeName: string;
    store: ChangeFeedStore;
    ownership(): SchedulingOwnership;
    timers: TimerService;
    logger: Logger;
    restartMs: number;
    /** Where the operator reads how far the wave is, and in which form. */
    statusKey: string;
    encodeStatus(isCompleted: boolean): string;
}

/** Progress of a wave that outlives its owner. */
interface WaveProgress {
    startedWallMs: number;
    restartedVmIds: string[];
    isCompleted: boolean;
}

interface RestartOrder {
    workerId: string | undefined;
    orderedAtMs: number;
    isAccepted: boolean;
}

/** Prefix of the keys below which the progress of waves is stored. */
export const waveProgressPrefix = `${jobKeys.prefix}wave/`;

/** An ordered restart that does not show in the list for so long was not carried out. */
const orderShowsWithinMs = 3_000;
/** A VM is back by this much after its restart at the latest, unless the platform is slow. */
const restartSlackMs = 300;

export function createWaveRunner(options: WaveRunnerOptions): WaveRunner {
    const { inventory, timers, logger, request } = options;
    const { state } = inventory.scheduler;
    const wave = request.waveNumber;
    const progress: WaveProgress = options.storedProgress === undefined ?
        { startedWallMs: timers.wallClockMs(), restartedVmIds: [], isCompleted: false } :
        JSON.parse(options.storedProgress) as WaveProgress;
    const ordered = new Map<string, RestartOrder>();
    let savedText = options.storedProgress ?? "";
    let savedStatus = "";

    logger.log(logEvents.waveChanged, {
        wave,
        vmsCount: request.vmIds.length,
        restartedCount: progress.restartedVmIds.length,
        withinMs: request.withinMs,
        maximumDown: request.maximumDown,
    });

    const save = async (): Promise<void> => {
        const text = JSON.stringify(progress);
        const status = options.encodeStatus(progress.isCompleted);
        const token = options.ownership().token();
        if (token === undefined || (text === savedText && status === savedStatus)) {
            return;
        }
        const swapped = await options.store.swap([{ key: jobKeys.term, expectedRevision: token }], [
            { key: `${waveProgressPrefix}${wave}`, value: text },
            { key: options.statusKey, value: status },
        ]);
        if (swapped.ok && swapped.val.isSwapped) {
            savedText = text;
            savedStatus = status;
        }
    };

    /** Takes what the list shows of an ordered VM into the wave. */
    const settleOrder = (vmId: string, order: RestartOrder): void => {
        const vm = inventory.find(vmId);
        const sinceOrderMs = inventory.listedAtMs() - order.orderedAtMs;
        if (sinceOrderMs < 0) {
            return;
        }
        const isUp = vm?.state === vmStates.up;
        // A VM of a standby pool has no worker that would change.
        const isBack = isUp && (vm.workerId !== order.workerId || (order.isAccepted && sinceOrderMs > options.restartMs + restartSlackMs));
        const isMissed = isUp && !isBack && sinceOrderMs > orderShowsWithinMs;
        if (vm && (isBack || vm.state === vmStates.restarting) && !progress.restartedVmIds.includes(vmId)) {
            progress.restartedVmIds.push(vmId);
        }
        const worker = order.workerId === undefined ? undefined : state.workers.get(order.workerId);
        if (vm && !isUp && worker) {
            markRunsLost(state, worker, "its VM restarts", { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
        }
        if (!vm || isBack || isMissed) {
            ordered.delete(vmId);
            inventory.setRestartPending(vmId, false);
            inventory.uncordon(vmId);
            const leftCount = request.vmIds.length - progress.restartedVmIds.length;
            logger.log(logEvents.waveChanged, { wave, vmId, isRestarted: isBack, leftCount });
        }
    };

    /** Part of each pool's processor room that is in use. */
    const measurePoolLoads = (): Map<string, number> => {
        const sums = new Map<string, { used: number; capacity: number }>();
        for (const { entry, used } of state.workers.values()) {
            const sum = sums.get(entry.poolName) ?? { used: 0, capacity: 0 };
            sums.set(entry.poolName, sum);
            sum.used += used.cpuMillicores;
            sum.capacity += entry.capacity.cpuMillicores;
        }
        return new Map([...sums].map(([poolName, { used, capacity }]) => [poolName, capacity === 0 ? 0 : used / capacity]));
    };

    const describeVm = (vmId: string, poolLoads: ReadonlyMap<string, number>): WaveVm => {
        const vm = inventory.find(vmId);
        const worker = inventory.workerOn(vmId);
        return {
            vmId,
            canRestart: vm?.state === vmStates.up && !inventory.mayRunUnknownTasks(vm),
            cordonedSinceMs: inventory.cordonedSinceMs(vmId),
            shortRunCount: worker ? [...worker.runs.values()].filter(run => !run.isServing).length : 0,
            longRunningCountByStep: worker ? disruptionLimitedTasksByStep(state, worker) : new Map(),
            poolUtilization: (vm && poolLoads.get(vm.poolName)) ?? 0,
        };
    };

    const restart = async (vmId: string): Promise<void> => {
        const token = options.ownership().token();
        const vm = inventory.find(vmId);
        if (token === undefined || !options.ownership().isLeaseValid() || !vm) {
            return;
        }
        inventory.cordon(vmId);
        const order: RestartOrder = { workerId: vm.workerId, orderedAtMs: timers.nowMs(), isAccepted: false };
        ordered.set(vmId, order);
        inventory.setRestartPending(vmId, true);
        const outcome = await options.vmService.restart(vmId, wave, { name: options.nodeName, token });
        logger.log(logEvents.vmOrderAnswered, { vmId, what: `restart for wave ${wave}`, outcome, token });
        order.isAccepted = outcome === vmOrderOutcomes.accepted;
        if (!order.isAccepted && outcome !== vmOrderOutcomes.unknown) {
            ordered.delete(vmId);
            inventory.setRestartPending(vmId, false);
            inventory.uncordon(vmId);
        }
    };

    /** Stops one task of the step on the VM, which then starts elsewhere. */
    const evacuateOne = (vmId: string, step: string): void => {
        const worker = inventory.workerOn(vmId);
        const run = worker && [...worker.runs.values()].find(each => stepKey(each) === step && each.phase === runPhases.running);
        if (run) {
            stopRun(state, run, "its VM is to restart");
        }
    };

    const isLeft = (vmId: string): boolean => !progress.restartedVmIds.includes(vmId) && inventory.find(vmId) !== undefined;

    return {
        isFinished: () => progress.isCompleted && savedStatus !== "",
        isPending: vmId => request.vmIds.includes(vmId) && !progress.restartedVmIds.includes(vmId),
        advance: async () => {
            [...ordered].forEach(([vmId, order]) => settleOrder(vmId, order));
            const left = request.vmIds.filter(isLeft);
            progress.isCompleted = left.length === 0 && ordered.size === 0;
            const isDown = (vmId: string): boolean => ordered.has(vmId) || inventory.find(vmId)?.state === vmStates.restarting;
            const poolLoads = measurePoolLoads();
            const plan = planWave({
                nowMs: timers.nowMs(),
                vms: left.filter(vmId => !ordered.has(vmId)).map(vmId => describeVm(vmId, poolLoads)),
                downCount: request.vmIds.filter(isDown).length,
                maximumDown: request.maximumDown,
                disruptionsAllowedByStep: allowedDisruptionsByStep(state),
                timeLeftMs: progress.startedWallMs + request.withinMs - timers.wallClockMs(),
                restartMs: options.restartMs,
            });
            plan.cordon.forEach(vmId => inventory.cordon(vmId));
            plan.evacuate.forEach(({ vmId, step }) => evacuateOne(vmId, step));
            await Promise.all(plan.restart.map(restart));
            if (plan.restart.length > 0 && await inventory.refresh()) {
                [...ordered].forEach(([vmId, order]) => settleOrder(vmId, order));
            }
            await save();
        },
    };
}
