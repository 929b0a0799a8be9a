/** The owner's view of the VMs: the platform's list, the worker on each VM, and the cordoned VMs, which get no new work. */
import type { TimerService } from "../common/timerService.js";
import { type VmRecord, type VmService, vmStates } from "../connection/vmService.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { WorkerRecord } from "../scheduling/workerRecord.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface VmInventory {
    scheduler: Scheduler;
    find(vmId: string): VmRecord | undefined;
    vms(): Iterable<VmRecord>;
    /** When the list that was last received was requested. */
    listedAtMs(): number;
    /** Reads the list again; `false` if that failed. */
    refresh(): Promise<boolean>;
    /** The worker on the VM; while the list names none on a VM that is up, the one that it named last and that has not ended. */
    workerOn(vmId: string): WorkerRecord | undefined;
    /** Whether the VM may run tasks unknown to the current owner, because its worker has not been listed or is not registered. */
    mayRunUnknownTasks(vm: VmRecord): boolean;
    cordon(vmId: string): void;
    uncordon(vmId: string): void;
    cordonedSinceMs(vmId: string): number | undefined;
    /** Sets which VMs are drained to be moved to another pool. They get no new work, like cordoned ones, but count as available. */
    setDrainedForMove(vmIds: readonly string[]): void;
    isDrainedForMove(vmId: string): boolean;
    /** Records whether a restart of the VM, which ends everything on it, was requested and has not completed or failed. */
    setRestartPending(vmId: string, isPending: boolean): void;
    isRestartPending(vmId: string): boolean;
}

export interface VmInventoryOptions {
    scheduler: Scheduler;
    vmService: VmService;
    timers: TimerService;
    logger: Logger;
}

/** Creates the inventory for one term. */
export function createVmInventory(options: VmInventoryOptions): VmInventory {
    const { scheduler, timers } = options;
    const cordons = new Map<string, number>();
    let drainedForMove = new Set<string>();
    const pendingRestarts = new Set<string>();
    /** The worker last listed on each VM since it was last down for a move or a restart. */
    const lastWorkerIds = new Map<string, string>();
    let vms = new Map<string, VmRecord>();
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let isAvailable = true;

    const workerOn = (vmId: string): WorkerRecord | undefined => {
        const vm = vms.get(vmId);
        if (vm?.workerId !== undefined) {
            return scheduler.state.workers.get(vm.workerId);
        }
        const last = vm?.state === vmStates.up ? scheduler.state.workers.get(lastWorkerIds.get(vmId) ?? "") : undefined;
        return last?.hasEnded ? undefined : last;
    };
    const updateLastWorkerId = ({ vmId, state, workerId }: VmRecord): void => {
        if (workerId !== undefined) {
            lastWorkerIds.set(vmId, workerId);
        }
        else if (state === vmStates.moving || state === vmStates.restarting) {
            lastWorkerIds.delete(vmId);
        }
    };
    const isInStandby = ({ poolName }: VmRecord): boolean => scheduler.state.policy.pools.get(poolName)?.isStandby ?? false;
    const getsNoWork = (vmId: string): boolean => cordons.has(vmId) || drainedForMove.has(vmId);
    const applyCordon = (vmId: string): void => {
        const worker = workerOn(vmId);
        if (worker) {
            worker.isCordoned = getsNoWork(vmId);
        }
    };
    /**
     * The list may not have shown the worker of a VM when its cordon or its restart ended, and a cordon holds for the next worker too.
     * Whether that one follows a restart that was ordered is for the wave to tell.
     */
    const updateFlags = (vmId: string): void => {
        const worker = workerOn(vmId);
        if (worker) {
            worker.isCordoned = getsNoWork(vmId) && (worker.isCordoned || !pendingRestarts.has(vmId));
            worker.isVmStopping &&= pendingRestarts.has(vmId);
        }
    };

    return {
        scheduler,
        workerOn,
        mayRunUnknownTasks: vm => {
            const worker = workerOn(vm.vmId);
            // A VM in standby is off; the list may still name the worker that it had before.
            if (!worker && isInStandby(vm)) {
                return false;
            }
            return worker ? !worker.isRunStateKnown : timers.nowMs() < scheduler.state.term.unknownWorkersUntilMs;
        },
        find: vmId => vms.get(vmId),
        vms: () => vms.values(),
        listedAtMs: () => listedAtMs,
        refresh: async () => {
            const requestedAtMs = timers.nowMs();
            const listed = await options.vmService.list();
            if (listed.err !== !isAvailable) {
                isAvailable = !listed.err;
                options.logger.log(listed.err ? logEvents.vmListUnavailable : logEvents.vmListAvailable, {
                    reason: listed.err ? listed.val : undefined,
                });
            }
            if (listed.err) {
                return false;
            }
            if (requestedAtMs < listedAtMs) {
                // A list that was requested later has arrived before.
                return true;
            }
            vms = new Map(listed.val.map(vm => [vm.vmId, vm]));
            listedAtMs = requestedAtMs;
            vms.forEach(updateLastWorkerId);
            vms.forEach((_, vmId) => updateFlags(vmId));
            return true;
        },
        cordon: vmId => {
            if (!cordons.has(vmId)) {
                cordons.set(vmId, timers.nowMs());
            }
            applyCordon(vmId);
        },
        uncordon: vmId => {
            cordons.delete(vmId);
            applyCordon(vmId);
        },
        cordonedSinceMs: vmId => cordons.get(vmId),
        setDrainedForMove: vmIds => {
            const former = drainedForMove;
            drainedForMove = new Set(vmIds);
            [...former, ...drainedForMove].forEach(applyCordon);
        },
        isDrainedForMove: vmId => drainedForMove.has(vmId),
        setRestartPending: (vmId, isPending) => {
            pendingRestarts[isPending ? "add" : "delete"](vmId);
            const worker = workerOn(vmId);
            if (worker) {
                worker.isVmStopping = isPending;
            }
        },
        isRestartPending: vmId => pendingRestarts.has(vmId),
    };
}
