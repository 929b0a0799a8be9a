/** Notes the VMs that this process moves into pools, whose capacity the prediction of starts counts on. */
import { vmOrderOutcomes, type VmService, vmStates } from "../connection/vmService.js";

export interface IncomingVms {
    /** Passes all calls on to the service. */
    observe(service: VmService): VmService;
    /** Capacity that is being moved into the pool, and when it is expected to be there. */
    list(poolName: string): { cpuMillicores: number; afterMs: number }[];
}

interface IncomingVm {
    poolName: string;
    cpuMillicores: number;
    orderedAtMs: number;
}

/** A move takes this long on the platform in use. An earlier time would only make the prediction better than it is, which refuses less. */
const moveMs = 1_500;
/** A VM that has not arrived by then was not moved, or its worker has not started. */
const forgottenAfterMs = 6_000;

export function createIncomingVms(nowMs: () => number): IncomingVms {
    const incoming = new Map<string, IncomingVm>();
    let capacities = new Map<string, number>();
    return {
        observe: service => ({
            ...service,
            list: async () => {
                const listed = await service.list();
                if (listed.ok) {
                    capacities = new Map(listed.val.map(vm => [vm.vmId, vm.capacity.cpuMillicores]));
                    listed.val.filter(vm =>
                        vm.state === vmStates.up && vm.workerId !== undefined && incoming.get(vm.vmId)?.poolName === vm.poolName
                    )
                        .forEach(vm => incoming.delete(vm.vmId));
                }
                return listed;
            },
            move: async (vmId, poolName, holder) => {
                const orderedAtMs = nowMs();
                const outcome = await service.move(vmId, poolName, holder);
                if (outcome === vmOrderOutcomes.accepted) {
                    incoming.set(vmId, { poolName, cpuMillicores: capacities.get(vmId) ?? 0, orderedAtMs });
                }
                return outcome;
            },
        }),
        list: poolName => {
            for (const [vmId, { orderedAtMs }] of incoming) {
                if (nowMs() - orderedAtMs > forgottenAfterMs) {
                    incoming.delete(vmId);
                }
            }
            return [...incoming.values()].filter(vm => vm.poolName === poolName).map(({ cpuMillicores, orderedAtMs }) => ({
                cpuMillicores,
                afterMs: Math.max(0, orderedAtMs + moveMs - nowMs()),
            }));
        },
    };
}
