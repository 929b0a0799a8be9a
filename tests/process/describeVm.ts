/** A VM as the platform lists it. */
import { type VmRecord, vmStates } from "../../src/connection/vmService.js";

/** A VM of 16 cores that is up; `changes` replace its properties. */
export function describeVm(changes: Partial<VmRecord> & { vmId: string }): VmRecord {
    return {
        poolName: "pool",
        state: vmStates.up,
        zone: "zone",
        labels: [],
        capacity: { cpuMillicores: 16_000, memoryMb: 64_000, accelerators: 0 },
        workerId: undefined,
        ...changes,
    };
}
