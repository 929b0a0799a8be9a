/**
 * Replays queues that surge one after the other: each asks for five times its mean for some seconds, and for a twentieth in
 * between. VMs take the moves that the decision under test plans; a task starts in its own pool only.
 */
import { createSeededRandom } from "../../harness/random.js";
import { type EmptyVm, planMoves, type PoolDemand, type VmMove } from "../../src/decisions/planMoves.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createWaitingTrend } from "../../src/process/waitingTrend.js";

export interface SurgeReplayOptions {
    seed: number;
    poolsCount: number;
    vmsPerPool: number;
    vmCpuMillicores: number;
    tasksPerJob: number;
    taskCpuMillicores: number;
    taskMs: number;
    /** Jobs a second of each queue during its surge, and in between. */
    surgeJobsPerS: number;
    quietJobsPerS: number;
    surgeMs: number;
    durationMs: number;
}

export interface SurgeReplayResult {
    /** Waits of all tasks from their submission to their start, ascending. */
    waitsMs: number[];
    /** Mean wait of the tasks that were submitted during each surge, in the order of the surges. */
    meanWaitMsBySurge: number[];
    /** Time for which tasks waited while as many VMs as they needed stood empty in other pools, the longest in a row. */
    longestStarvationMs: number;
    vmSecondsInPools: number;
    movesCount: number;
}

interface Vm {
    vmId: string;
    poolName: string;
    availableAtMs: number;
    tasksEndAtMs: number[];
    emptySinceMs: number;
}

const stepMs = 50;
const planEveryMs = 150;
const moveMs = 1_500;
const standbyPool = "standby";

export function replaySurges(options: SurgeReplayOptions): SurgeReplayResult {
    const random = createSeededRandom(options.seed);
    const poolNames = Array.from({ length: options.poolsCount }, (_, index) => `pool-${index}`);
    let nowMs = 0;
    const demand = createDemandTracker(() => nowMs);
    const trend = createWaitingTrend();
    const vms = [...poolNames, standbyPool].flatMap(poolName =>
        Array.from(
            { length: options.vmsPerPool },
            (_, index): Vm => ({ vmId: `${poolName}-${index}`, poolName, availableAtMs: 0, tasksEndAtMs: [], emptySinceMs: 0 }),
        )
    );
    const waiting = new Map(poolNames.map(name => [name, [] as number[]]));
    const waitsMs: number[] = [];
    const surges = Array.from({ length: Math.ceil(options.durationMs / options.surgeMs) }, () => ({ waitMs: 0, tasksCount: 0 }));
    const slotsPerVm = Math.floor(options.vmCpuMillicores / options.taskCpuMillicores);
    const starvedSinceMs = new Map<string, number>();
    let longestStarvationMs = 0;
    let vmSecondsInPools = 0;
    let movesCount = 0;

    const arrive = (): void => {
        const surging = Math.floor(nowMs / options.surgeMs) % options.poolsCount;
        poolNames.forEach((poolName, index) => {
            const jobsPerS = index === surging ? options.surgeJobsPerS : options.quietJobsPerS;
            if (random.unit() < jobsPerS * stepMs / 1000) {
                waiting.get(poolName)!.push(...Array.from({ length: options.tasksPerJob }, () => nowMs));
                demand.recordArrival(poolName, options.tasksPerJob * options.taskCpuMillicores * options.taskMs / 1000, 0);
            }
        });
    };
    const run = (): void => {
        for (const vm of vms) {
            const stillRunning = vm.tasksEndAtMs.filter(endAtMs => endAtMs > nowMs);
            if (stillRunning.length === 0 && vm.tasksEndAtMs.length > 0) {
                vm.emptySinceMs = nowMs;
            }
            vm.tasksEndAtMs = stillRunning;
        }
        // The fullest VMs first, so that others become empty.
        for (const vm of [...vms].sort((a, b) => b.tasksEndAtMs.length - a.tasksEndAtMs.length)) {
            const queue = waiting.get(vm.poolName);
            while (queue && queue.length > 0 && vm.availableAtMs <= nowMs && vm.tasksEndAtMs.length < slotsPerVm) {
                const submittedAtMs = queue.shift()!;
                waitsMs.push(nowMs - submittedAtMs);
                const surge = surges[Math.floor(submittedAtMs / options.surgeMs)]!;
                surge.waitMs += nowMs - submittedAtMs;
                surge.tasksCount += 1;
                vm.tasksEndAtMs.push(nowMs + options.taskMs * (0.5 + random.unit()));
            }
        }
    };
    const describePools = (): { pools: PoolDemand[]; emptyVms: EmptyVm[] } => {
        const pools = [...poolNames, standbyPool].map((poolName): PoolDemand => {
            const own = vms.filter(vm => vm.poolName === poolName);
            const waitingCpuMillicores = (waiting.get(poolName)?.length ?? 0) * options.taskCpuMillicores;
            return {
                poolName,
                isStandby: poolName === standbyPool,
                vmCount: own.filter(vm => vm.availableAtMs <= nowMs).length,
                occupiedVmCount: own.filter(vm => vm.tasksEndAtMs.length > 0).length,
                incomingCount: own.filter(vm => vm.availableAtMs > nowMs).length,
                vmCpuMillicores: options.vmCpuMillicores,
                busyCpuMillicores: own.reduce((sum, vm) => sum + vm.tasksEndAtMs.length, 0) * options.taskCpuMillicores,
                waitingCpuMillicores,
                unplaceableCpuMillicores: 0,
                overdueCpuMillicores: 0,
                waitingGrowthMillicoresPerS: trend.record(poolName, nowMs, waitingCpuMillicores),
                ...demand.read(poolName),
                servingCpuMillicores: 0,
            };
        });
        const emptyVms = vms.filter(vm => vm.availableAtMs <= nowMs && vm.tasksEndAtMs.length === 0)
            .map(({ vmId, poolName, emptySinceMs }) => ({
                vmId,
                poolName,
                emptySinceMs,
                vmCpuMillicores: options.vmCpuMillicores,
                isDraining: false,
            }));
        return { pools, emptyVms };
    };
    const move = ({ vmId, toPool }: VmMove): void => {
        const vm = vms.find(each => each.vmId === vmId)!;
        vm.poolName = toPool;
        vm.availableAtMs = nowMs + moveMs;
        vm.emptySinceMs = vm.availableAtMs;
        movesCount += 1;
    };
    const recordStarvation = (): void => {
        for (const [poolName, queue] of waiting) {
            const neededVms = Math.ceil(queue.length / slotsPerVm);
            const emptyElsewhere = vms.filter(vm =>
                vm.poolName !== poolName && vm.availableAtMs <= nowMs && vm.tasksEndAtMs.length === 0 && nowMs - vm.emptySinceMs > 500
            ).length;
            const incoming = vms.filter(vm =>
                vm.poolName === poolName && vm.availableAtMs > nowMs
            ).length;
            if (neededVms > incoming && emptyElsewhere >= neededVms) {
                const sinceMs = starvedSinceMs.get(poolName) ?? nowMs;
                starvedSinceMs.set(poolName, sinceMs);
                longestStarvationMs = Math.max(longestStarvationMs, nowMs - sinceMs);
            }
            else {
                starvedSinceMs.delete(poolName);
            }
        }
    };

    for (; nowMs < options.durationMs; nowMs += stepMs) {
        arrive();
        run();
        if (nowMs % planEveryMs === 0) {
            planMoves({ nowMs, ...describePools(), drainableVms: [] }).moves.forEach(move);
        }
        recordStarvation();
        vmSecondsInPools += vms.filter(vm => vm.poolName !== standbyPool).length * stepMs / 1000;
    }
    const meanWaitMsBySurge = surges.map(({ waitMs, tasksCount }) => waitMs / Math.max(1, tasksCount));
    return { waitsMs: waitsMs.sort((a, b) => a - b), meanWaitMsBySurge, longestStarvationMs, vmSecondsInPools, movesCount };
}
