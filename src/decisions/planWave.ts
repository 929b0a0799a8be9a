/**
 * Which VMs of a maintenance wave are emptied and which are restarted now. Load pattern: a wave over nearly half of the VMs
 * while queues surge in turn and long-running tasks allow one absence at a time. As many VMs as may be down are in work at
 * any time; those that carry least go first; a VM restarts once its short tasks have ended, and only while each
 * long-running step that it carries can spare the tasks.
 */

/** A VM of the wave that has not been restarted. */
export interface WaveVm {
    vmId: string;
    /** Whether it is up, and all that runs there is known. */
    canRestart: boolean;
    /** Since when it gets no new work; `undefined` while it does. */
    cordonedSinceMs: number | undefined;
    shortRunCount: number;
    /** Long-running tasks at work on the VM, by step. */
    longRunningCountByStep: ReadonlyMap<string, number>;
    /** Part of the pool's room that is in use, 0 to 1. */
    poolUtilization: number;
}

export interface WavePlanInput {
    nowMs: number;
    vms: readonly WaveVm[];
    /** VMs of the wave that are down for their restart, or may be. */
    downCount: number;
    maximumDown: number;
    /** Tasks that each long-running step can spare now. */
    disruptionsAllowedByStep: ReadonlyMap<string, number>;
    /** Time until the last VM must have begun its restart. */
    timeLeftMs: number;
    /** Time that one restart takes. */
    restartMs: number;
}

export interface WavePlan {
    cordon: string[];
    restart: string[];
    /** Long-running steps of which a VM carries more tasks than can be spared at once: one task is to move first. */
    evacuate: { vmId: string; step: string }[];
}

/** Short tasks that run for longer are ended by the restart: the wave would be late. */
const longestDrainMs = 2_500;
/** With less time to spare than this per VM that is left, tasks are not waited for. */
const hurryFactor = 1.3;

function canSpare(vm: WaveVm, spare: ReadonlyMap<string, number>): boolean {
    return [...vm.longRunningCountByStep].every(([step, count]) => count <= (spare.get(step) ?? Number.POSITIVE_INFINITY));
}

/** Plans the next actions of a wave. */
export function planWave(input: WavePlanInput): WavePlan {
    const plan: WavePlan = { cordon: [], restart: [], evacuate: [] };
    const spare = new Map(input.disruptionsAllowedByStep);
    let slots = input.maximumDown - input.downCount;
    const rounds = Math.ceil(input.vms.length / Math.max(1, input.maximumDown));
    const isHurried = input.timeLeftMs < rounds * input.restartMs * hurryFactor + input.restartMs;

    const ranked = input.vms.filter(vm => vm.canRestart).sort((a, b) =>
        Number(b.cordonedSinceMs !== undefined) - Number(a.cordonedSinceMs !== undefined) ||
        a.poolUtilization - b.poolUtilization ||
        a.longRunningCountByStep.size - b.longRunningCountByStep.size ||
        a.shortRunCount - b.shortRunCount
    );
    for (const vm of ranked) {
        if (slots <= 0) {
            break;
        }
        slots -= 1;
        const drainedForMs = vm.cordonedSinceMs === undefined ? 0 : input.nowMs - vm.cordonedSinceMs;
        const isDrained = vm.shortRunCount === 0 || isHurried || drainedForMs > longestDrainMs;
        if (isDrained && canSpare(vm, spare)) {
            plan.restart.push(vm.vmId);
            vm.longRunningCountByStep.forEach((count, step) => spare.set(step, (spare.get(step) ?? Number.POSITIVE_INFINITY) - count));
            continue;
        }
        if (vm.cordonedSinceMs === undefined) {
            plan.cordon.push(vm.vmId);
        }
        for (const [step, count] of vm.longRunningCountByStep) {
            const spareCount = spare.get(step) ?? 0;
            if (count > 1 && spareCount > 0) {
                plan.evacuate.push({ vmId: vm.vmId, step });
                spare.set(step, spareCount - 1);
            }
        }
    }
    return plan;
}
