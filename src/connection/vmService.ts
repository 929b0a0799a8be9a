/** Interface to the platform's VM service: lists VMs with their pools, and moves or restarts a VM. */
import type { Result } from "../common/results.js";
import type { Resources } from "../scheduling/jobTypes.js";

export const vmStates = {
    up: "up",
    /** Being moved to another pool. */
    moving: "moving",
    /** Down for maintenance. */
    restarting: "restarting",
    down: "down",
} as const;
export type VmState = (typeof vmStates)[keyof typeof vmStates];

export interface VmRecord {
    vmId: string;
    poolName: string;
    state: VmState;
    zone: string;
    labels: readonly string[];
    capacity: Resources;
    /** The worker that currently runs on the VM. */
    workerId: string | undefined;
}

export const vmOrderOutcomes = {
    /** Carried out, by this call or an earlier one; all tasks on the VM have ended. */
    accepted: "accepted",
    /** Not carried out: the VM is not up or is leaving. */
    busy: "busy",
    /** Rejected: another owner has already sent an order for the VM with a higher fencing token. */
    fenced: "fenced",
    /** Rejected: the VM, pool or wave does not exist. */
    refused: "refused",
    /** No response was received: the order may or may not have been carried out. */
    unknown: "unknown",
} as const;
export type VmOrderOutcome = (typeof vmOrderOutcomes)[keyof typeof vmOrderOutcomes];

/** The owner that sends an order; each new owner has a higher fencing token. */
export interface VmOrderOwner {
    name: string;
    token: number;
    /** Asked when the order is about to be sent: whether the owner still may. */
    mayStillSend(): boolean;
}

export interface VmService {
    list(): Promise<Result<VmRecord[], string>>;
    move(vmId: string, poolName: string, holder: VmOrderOwner): Promise<VmOrderOutcome>;
    restart(vmId: string, waveNumber: number, holder: VmOrderOwner): Promise<VmOrderOutcome>;
}

/** An operator's request to restart each of a set of VMs once. */
export interface WaveRequest {
    waveNumber: number;
    vmIds: readonly string[];
    withinMs: number;
    /** Maximum number of VMs of the wave that are down at the same time. */
    maximumDown: number;
}
