/** The owner's view of the VMs: the platform's list, the workers that live on them, and which VMs get no new work. */
import type { TimerService } from "../common/timerService.js";
import type { VmRecord, VmService } from "../connection/vmService.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { WorkerRecord } from "../scheduling/workerRecord.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface VmInventory {
    scheduler: Scheduler;
    find(vmId: string): VmRecord | undefined;
    vms(): Iterable<VmRecord>;
    /** When the list was last read. */
    listedAtMs(): number;
    /** Reads the list; `false` if that failed. */
    refresh(): Promise<boolean>;
    workerOn(vmId: string): WorkerRecord | undefined;
    /** Whether the VM may run what the present owner does not know of: its worker has not answered, or is not announced. */
    mayRunUnknownTasks(vm: VmRecord): boolean;
    cordon(vmId: string): void;
    uncordon(vmId: string): void;
    cordonedSinceMs(vmId: string): number | undefined;
    /** Notes that an order which ends everything on the VM was sent, or was not carried out. */
    setRestartPending(vmId: string, isEnding: boolean): void;
}

export interface VmInventoryOptions {
    scheduler: Scheduler;
    vmService: VmService;
    timers: TimerService;
    logger: Logger;
}

/** Creates the inventory of one term. */
export function createVmInventory(options: VmInventoryOptions): VmInventory {
    const { scheduler, timers } = options;
    const cordons = new Map<string, number>();
    let vms = new Map<string, VmRecord>();
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let isAvailable = true;

    const workerOn = (vmId: string): WorkerRecord | undefined => {
        const workerId = vms.get(vmId)?.workerId;
        return workerId === undefined ? undefined : scheduler.state.workers.get(workerId);
    };
    const applyCordon = (vmId: string): void => {
        const worker = workerOn(vmId);
        if (worker) {
            worker.isCordoned = cordons.has(vmId);
        }
    };

    return {
        scheduler,
        workerOn,
        mayRunUnknownTasks: vm => {
            if (vm.workerId === undefined) {
                return false;
            }
            const worker = workerOn(vm.vmId);
            return worker ? !worker.isRunStateKnown : timers.nowMs() < scheduler.state.term.unknownWorkersUntilMs;
        },
        find: vmId => vms.get(vmId),
        vms: () => vms.values(),
        listedAtMs: () => listedAtMs,
        refresh: async () => {
            const askedAtMs = timers.nowMs();
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
            vms = new Map(listed.val.map(vm => [vm.vmId, vm]));
            listedAtMs = askedAtMs;
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
        setRestartPending: (vmId, isEnding) => {
            const worker = workerOn(vmId);
            if (worker) {
                worker.isVmStopping = isEnding;
            }
        },
    };
}
