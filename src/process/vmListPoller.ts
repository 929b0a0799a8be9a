/** Follows the platform's VM list; while it does not answer, the last one stays in force. */
import type { TimerService } from "../common/timerService.js";
import { listedVmStates, readVmList } from "../connection/vmList.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface VmListPoller {
    isLeaving(vmId: string): boolean;
    /** VMs of which the platform says that they are gone; a VM that is not listed is not gone. */
    goneVmIds(): ReadonlySet<string>;
    onUpdate(callback: () => void): void;
}

export interface VmListPollerOptions {
    /** Address of the list; without one no VM is ever leaving or gone by the platform's word. */
    address: string | undefined;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
}

const readIntervalMs = 1_000;

/** Starts to follow the list. */
export function createVmListPoller(options: VmListPollerOptions): VmListPoller {
    const { address, signal, logger } = options;
    const callbacks: (() => void)[] = [];
    let leavingVmIds = new Set<string>();
    let goneVmIds = new Set<string>();
    let isAvailable = true;

    const read = async (listAddress: string): Promise<void> => {
        const list = await readVmList(listAddress, signal);
        if (signal.aborted) {
            return;
        }
        if (list.err) {
            if (isAvailable) {
                logger.log(logEvents.vmListUnavailable, { reason: list.val });
            }
            isAvailable = false;
            return;
        }
        isAvailable = true;
        goneVmIds = new Set(list.val.filter(vm => vm.state === listedVmStates.gone).map(vm => vm.vmId));
        leavingVmIds = new Set(list.val.filter(vm => vm.state === listedVmStates.leaving).map(vm => vm.vmId));
        callbacks.forEach(callback => callback());
    };

    if (address !== undefined) {
        options.timers.every(readIntervalMs, signal, () => void read(address));
        void read(address);
    }
    return {
        isLeaving: vmId => leavingVmIds.has(vmId) || goneVmIds.has(vmId),
        goneVmIds: () => goneVmIds,
        onUpdate: callback => void callbacks.push(callback),
    };
}
