/** Runs one maintenance wave, which restarts a set of VMs, in the process that owns the scheduling. */
import * as z from "zod";
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import { vmOrderOutcomes, type VmService, vmStates, type WaveRequest } from "../connection/vmService.js";
import { isWaveBehindSchedule, planWave, type WaveVm } from "../decisions/planWave.js";
import { allowedDisruptionsByStep, disruptionLimitedTasksByStep, stepKey } from "../scheduling/availability.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import { stopRun } from "../scheduling/schedulerState.js";
import { endIncarnation } from "../scheduling/workerLifecycle.js";
import { runPhases, type WorkerIncarnation } from "../scheduling/workerRecord.js";
import { freeResources } from "../scheduling/workerRoom.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { VmInventory } from "./vmInventory.js";

export interface WaveRunner {
    /** Whether the wave is completed and a status of it has been stored. */
    isFinished(): boolean;
    /** Whether the VM has not been restarted yet and must not be moved before, because the wave is short of time. */
    isWaitingFor(vmId: string): boolean;
    /** Updates the wave from the VM list, and starts the restarts that are allowed now. */
    advance(): Promise<void>;
}

export interface WaveRunnerOptions {
    request: WaveRequest;
    /** Progress of the wave that an earlier owner stored. */
    storedProgress: string | undefined;
    inventory: VmInventory;
    vmService: VmService;
    nodeName: string;
    store: ChangeFeedStore;
    /** Fencing token for what the term's state decides now; `undefined` while the process may not act on it. */
    orderToken(): number | undefined;
    timers: TimerService;
    logger: Logger;
    restartMs: number;
    /** Whether a move of the VM was requested and has not completed or failed. */
    isMoving(vmId: string): boolean;
    /** VMs of each pool beyond its need, negative where it lacks VMs; `undefined` if that is not known yet. */
    spareCounts(): ReadonlyMap<string, number> | undefined;
    /** Key under which the operator reads the status of the wave, encoded by `encodeStatus`. */
    statusKey: string;
    encodeStatus(isCompleted: boolean): string;
}

const waveProgressSchema = z.object({
    startedWallMs: z.number(),
    restartedVmIds: z.array(z.string()),
    isCompleted: z.boolean(),
});
/** Stored progress of a wave, from which the next owner continues. */
type WaveProgress = z.infer<typeof waveProgressSchema>;

interface PendingRestart {
    /** Worker that the restart ends, by the VM list; once the restart is accepted, another one shows that the VM is back. */
    workerId: string | undefined;
    /** The worker that the latest order ends; `undefined` if the scheduler does not know it. */
    worker: WorkerIncarnation | undefined;
    /** Whether the list has shown the VM down for a restart since it was requested. */
    isSeenRestarting: boolean;
    /** When the latest order was sent. */
    requestedAtMs: number;
    /** When the platform said that the restart has begun; until then, an order without an answer may still be carried out. */
    acceptedAtMs: number | undefined;
}

/** Key prefix under which the progress of waves is stored. */
export const waveProgressPrefix = `${jobKeys.prefix}wave/`;

/**
 * Time after which an order without an answer is repeated: the platform restarts a VM once a wave, and the repetition's answer shows that.
 */
const restartRepeatMs = 2_000;
/** A VM that all lists have lacked for this long has been taken away; a single list without it says nothing. */
const removedAfterMs = 5_000;
/** Time beyond the restart duration after which a VM is up again, unless the platform is slow. */
const restartSlackMs = 300;
/** Duration of a move, after which the VM takes tasks that end within a second or two. */
const moveAllowanceMs = 3_000;

export function createWaveRunner(options: WaveRunnerOptions): WaveRunner {
    const { inventory, timers, logger, request } = options;
    const { state } = inventory.scheduler;
    const wave = request.waveNumber;

    /** Progress that cannot be read counts as none: the platform accepts a repeated order for a VM without restarting it again. */
    const readProgress = (): WaveProgress => {
        if (options.storedProgress !== undefined) {
            try {
                return waveProgressSchema.parse(JSON.parse(options.storedProgress));
            }
            catch (error) {
                logger.log(logEvents.documentUnreadable, { key: `${waveProgressPrefix}${wave}`, reason: String(error).slice(0, 300) });
            }
        }
        return { startedWallMs: timers.wallClockMs(), restartedVmIds: [], isCompleted: false };
    };
    const progress = readProgress();
    const pendingRestarts = new Map<string, PendingRestart>();
    /** When the first of the lists was requested that have lacked the VM since. */
    const missingSinceMs = new Map<string, number>();
    let savedProgress = options.storedProgress ?? "";
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
        const token = options.orderToken();
        if (token === undefined || (text === savedProgress && status === savedStatus)) {
            return;
        }
        const swapped = await options.store.swap([{ key: jobKeys.term, expectedRevision: token }], [
            { key: `${waveProgressPrefix}${wave}`, value: text },
            { key: options.statusKey, value: status },
        ]);
        if (swapped.ok && swapped.val.isSwapped) {
            savedProgress = text;
            savedStatus = status;
        }
    };

    const updateMissing = (vmId: string): void => {
        if (inventory.find(vmId)) {
            missingSinceMs.delete(vmId);
        }
        else {
            missingSinceMs.set(vmId, missingSinceMs.get(vmId) ?? inventory.listedAtMs());
        }
    };
    const isRemoved = (vmId: string): boolean =>
        inventory.listedAtMs() - (missingSinceMs.get(vmId) ?? Number.POSITIVE_INFINITY) >= removedAfterMs;

    const endPendingRestart = (vmId: string, isRestarted: boolean): void => {
        pendingRestarts.delete(vmId);
        inventory.setRestartPending(vmId, false);
        inventory.uncordon(vmId);
        const leftCount = request.vmIds.length - progress.restartedVmIds.length;
        logger.log(logEvents.waveChanged, { wave, vmId, isRestarted, leftCount });
    };

    /** Updates the wave from the listed state of a VM whose restart was requested. */
    const updatePendingRestart = (vmId: string, pending: PendingRestart): void => {
        const vm = inventory.find(vmId);
        if (inventory.listedAtMs() < pending.requestedAtMs) {
            return;
        }
        pending.isSeenRestarting ||= vm?.state === vmStates.restarting;
        const listedWorkerId = vm?.state === vmStates.up ? vm.workerId : undefined;
        const isOther = (workerId: string | undefined): boolean => listedWorkerId !== undefined && listedWorkerId !== workerId;
        // A VM that is down, or cannot be read, may not have been restarted yet.
        if (pending.worker && (vm?.state === vmStates.restarting || isOther(pending.worker.workerId))) {
            endIncarnation(state, pending.worker, "its VM is restarting", { nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
        }
        const sinceAcceptedMs = inventory.listedAtMs() - (pending.acceptedAtMs ?? Number.POSITIVE_INFINITY);
        // A VM of a standby pool has no worker whose id would change, so the elapsed time decides.
        const isBack = vm?.state === vmStates.up && sinceAcceptedMs >= 0 &&
            (isOther(pending.workerId) || sinceAcceptedMs > options.restartMs + restartSlackMs);
        if (isBack || isRemoved(vmId)) {
            endPendingRestart(vmId, isBack);
            return;
        }
        // A worker that crashes by itself is followed by another one too, which the order still ends.
        inventory.cordon(vmId);
        inventory.setRestartPending(vmId, true);
    };

    /** Fraction of each pool's CPU capacity that is in use. */
    const measurePoolLoads = (): Map<string, number> => {
        const sums = new Map<string, { used: number; capacity: number }>();
        for (const worker of [...state.workers.values()].filter(each => !each.hasEnded)) {
            const { poolName, capacity } = worker.entry;
            const sum = sums.get(poolName) ?? { used: 0, capacity: 0 };
            sums.set(poolName, sum);
            sum.used += capacity.cpuMillicores - Math.max(0, freeResources(worker).cpuMillicores);
            sum.capacity += capacity.cpuMillicores;
        }
        return new Map([...sums].map(([poolName, { used, capacity }]) => [poolName, capacity === 0 ? 0 : used / capacity]));
    };

    const describeVm = (vmId: string, poolLoads: ReadonlyMap<string, number>): WaveVm => {
        const vm = inventory.find(vmId);
        const worker = inventory.workerOn(vmId);
        return {
            vmId,
            poolName: vm?.poolName ?? "",
            canRestart: vm?.state === vmStates.up && !options.isMoving(vmId) && !inventory.isRestartPending(vmId) &&
                !inventory.mayRunUnknownTasks(vm),
            cordonedSinceMs: inventory.cordonedSinceMs(vmId),
            shortRunCount: worker ? [...worker.runs.values()].filter(run => !run.isServing).length : 0,
            longRunningCountByStep: worker ? disruptionLimitedTasksByStep(state, worker) : new Map(),
            poolUtilization: (vm && poolLoads.get(vm.poolName)) ?? 0,
        };
    };

    /** Requests the restart of a VM, or repeats the request. */
    const restart = async (vmId: string): Promise<void> => {
        const token = options.orderToken();
        const vm = inventory.find(vmId);
        if (token === undefined || !vm) {
            return;
        }
        const earlier = pendingRestarts.get(vmId);
        const worker = inventory.workerOn(vmId)?.entry ?? earlier?.worker;
        const isSeenRestarting = earlier?.isSeenRestarting ?? false;
        // Another worker that came without a listed restart has followed a crash.
        const workerId = isSeenRestarting ? earlier?.workerId : vm.workerId ?? earlier?.workerId;
        const pending: PendingRestart = { workerId, worker, isSeenRestarting, requestedAtMs: timers.nowMs(), acceptedAtMs: undefined };
        pendingRestarts.set(vmId, pending);
        inventory.cordon(vmId);
        inventory.setRestartPending(vmId, true);
        const outcome = await options.vmService.restart(vmId, wave, {
            name: options.nodeName,
            token,
            mayStillSend: () => options.orderToken() === token,
        });
        logger.log(logEvents.vmOrderAnswered, { vmId, what: `restart in ${vm.poolName} for wave ${wave}`, outcome, token });
        if (outcome === vmOrderOutcomes.accepted) {
            pending.acceptedAtMs = timers.nowMs();
            progress.restartedVmIds.push(vmId);
        }
        // That a repetition finds the VM busy says nothing of the earlier order.
        else if (outcome !== vmOrderOutcomes.unknown && !(earlier && outcome === vmOrderOutcomes.busy)) {
            endPendingRestart(vmId, false);
        }
    };

    const needsRepetition = (pending: PendingRestart): boolean =>
        pending.acceptedAtMs === undefined && timers.nowMs() - pending.requestedAtMs >= restartRepeatMs;

    /** Stops one task of the step on the VM; the scheduler then starts it on another VM. */
    const evacuateOne = (vmId: string, step: string): void => {
        const worker = inventory.workerOn(vmId);
        const run = worker && [...worker.runs.values()].find(each => stepKey(each) === step && each.phase === runPhases.running);
        if (run) {
            stopRun(state, run, "its VM will be restarted");
        }
    };

    const timeLeftMs = (): number => progress.startedWallMs + request.withinMs - timers.wallClockMs();
    /** Leaves time for a move, and for tasks that then have to end on the VM, before each of the remaining restarts. */
    const isShortOfTime = (): boolean =>
        isWaveBehindSchedule({
            remainingCount: request.vmIds.length - progress.restartedVmIds.length,
            maximumDown: request.maximumDown,
            restartMs: options.restartMs + moveAllowanceMs,
            timeLeftMs: timeLeftMs(),
        });

    const isRemaining = (vmId: string): boolean => !progress.restartedVmIds.includes(vmId) && !isRemoved(vmId);

    return {
        isFinished: () => progress.isCompleted && savedStatus !== "",
        isWaitingFor: vmId => request.vmIds.includes(vmId) && !progress.restartedVmIds.includes(vmId) && isShortOfTime(),
        advance: async () => {
            request.vmIds.forEach(updateMissing);
            [...pendingRestarts].forEach(([vmId, pending]) => updatePendingRestart(vmId, pending));
            const remaining = progress.isCompleted ? [] : request.vmIds.filter(isRemaining);
            progress.isCompleted = remaining.length === 0 && pendingRestarts.size === 0;
            const isDown = (vmId: string): boolean => pendingRestarts.has(vmId) || inventory.find(vmId)?.state === vmStates.restarting;
            const poolLoads = measurePoolLoads();
            const plan = planWave({
                nowMs: timers.nowMs(),
                vms: remaining.filter(vmId => !pendingRestarts.has(vmId)).map(vmId => describeVm(vmId, poolLoads)),
                downCount: request.vmIds.filter(isDown).length,
                maximumDown: request.maximumDown,
                disruptionsAllowedByStep: allowedDisruptionsByStep(state),
                spareCounts: options.spareCounts(),
                timeLeftMs: timeLeftMs(),
                withinMs: request.withinMs,
                restartMs: options.restartMs,
            });
            if (plan.release.length > 0) {
                plan.release.forEach(vmId => inventory.uncordon(vmId));
                logger.log(logEvents.waveChanged, { wave, releasedVmIds: plan.release, timeLeftMs: timeLeftMs() });
            }
            plan.cordon.forEach(vmId => inventory.cordon(vmId));
            plan.evacuate.forEach(({ vmId, step }) => evacuateOne(vmId, step));
            const repeated = [...pendingRestarts].filter(([, pending]) => needsRepetition(pending)).map(([vmId]) => vmId);
            const ordered = [...repeated, ...plan.restart];
            await Promise.all(ordered.map(restart));
            const mayAct = (): boolean => options.orderToken() !== undefined;
            if (ordered.length > 0 && mayAct() && await inventory.refresh() && mayAct()) {
                [...pendingRestarts].forEach(([vmId, pending]) => updatePendingRestart(vmId, pending));
            }
            await save();
        },
    };
}
