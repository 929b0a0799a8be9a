/** Polls the platform's VM list; while it does not respond, the last list received stays in effect. */
import type { TimerService } from "../common/timerService.js";
import { listedVmStates, readVmList } from "../connection/vmList.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export interface VmListPoller {
    isLeaving(vmId: string): boolean;
    /** VMs that the platform reports as gone; a VM missing from the list does not count as gone. */
    goneVmIds(): ReadonlySet<string>;
    /** Registers a callback for each list received. */
    onUpdate(callback: () => void): void;
}

export interface VmListPollerOptions {
    /** Address of the list; without it no VM counts as leaving or gone. */
    address: string | undefined;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
}

const pollIntervalMs = 1_000;

/** Starts to poll the list, if it has an address. */
export function createVmListPoller(options: VmListPollerOptions): VmListPoller {
    const { address, signal, logger } = options;
    const callbacks: (() => void)[] = [];
    let leavingVmIds = new Set<string>();
    let goneVmIds = new Set<string>();
    let isAvailable = true;
    let requestsCount = 0;
    /** Number of the request whose answer was last applied. */
    let appliedRequest = 0;

    const read = async (listAddress: string): Promise<void> => {
        requestsCount += 1;
        const request = requestsCount;
        const list = await readVmList(listAddress, signal);
        // An answer that arrives after that of a later request is out of date.
        if (signal.aborted || request < appliedRequest) {
            return;
        }
        appliedRequest = request;
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
        options.timers.every(pollIntervalMs, signal, () => void read(address));
        void read(address);
    }
    return {
        isLeaving: vmId => leavingVmIds.has(vmId) || goneVmIds.has(vmId),
        goneVmIds: () => goneVmIds,
        onUpdate: callback => void callbacks.push(callback),
    };
}
