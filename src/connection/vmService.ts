/** The platform's service of VMs: which there are, in which pool, and orders to move or restart one. */
import type { Result } from "../common/results.js";
import type { Resources } from "../scheduling/jobTypes.js";

export const vmStates = {
    up: "up",
    /** On its way to another pool. */
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
    /** The worker that lives on the VM now. */
    workerId: string | undefined;
}

export const vmOrderOutcomes = {
    /** Carried out, now or before; all that ran on the VM has ended. */
    accepted: "accepted",
    /** Not carried out: the VM is not up, or is leaving. */
    busy: "busy",
    /** Another owner with a higher token has given orders for the VM. */
    fenced: "fenced",
    /** Will not be carried out as asked: no such VM, pool or wave. */
    refused: "refused",
    /** No answer: carried out, or not. */
    unknown: "unknown",
} as const;
export type VmOrderOutcome = (typeof vmOrderOutcomes)[keyof typeof vmOrderOutcomes];

/** Who gives an order; the token rises with each owner. */
export interface VmOrderOwner {
    name: string;
    token: number;
}

export interface VmService {
    list(): Promise<Result<VmRecord[], string>>;
    move(vmId: string, poolName: string, holder: VmOrderOwner): Promise<VmOrderOutcome>;
    restart(vmId: string, waveNumber: number, holder: VmOrderOwner): Promise<VmOrderOutcome>;
}

/** An operator's request to restart VMs, each once. */
export interface WaveRequest {
    waveNumber: number;
    vmIds: readonly string[];
    withinMs: number;
    /** VMs of the wave that may be down at the same time. */
    maximumDown: number;
}
