/**
 * Plans which VMs of a maintenance wave are drained and which are restarted now. It is designed for a wave over nearly half
 * of the VMs while queues surge one after the other and long-running steps allow one disruption at a time.
 *
 * The restarts are spread over half of the wave's time, so that few VMs are away when a surge begins, the least loaded first. A VM restarts once its short
 * tasks have ended, and only if each long-running step with tasks on it allows their disruption.
 *
 * During this half, a wave takes only VMs that no pool needs. The other half is in reserve for outages, and for long-running steps, which may need many rounds:
 * then as many VMs are down at a time as may be.
 */

/** A VM of the wave that has not been restarted yet. */
export interface WaveVm {
    vmId: string;
    poolName: string;
    /** Whether the VM is up and all tasks on it are known. */
    canRestart: boolean;
    /** Time since which the VM gets no new tasks; `undefined` while it does. */
    cordonedSinceMs: number | undefined;
    shortRunCount: number;
    /** Number of long-running tasks on the VM, by step. */
    longRunningCountByStep: ReadonlyMap<string, number>;
    /** Fraction of the pool's capacity that is in use, 0 to 1. */
    poolUtilization: number;
}

export interface WavePlanInput {
    nowMs: number;
    vms: readonly WaveVm[];
    /** VMs of the wave that are down for their restart, or might be. */
    downCount: number;
    maximumDown: number;
    /** Number of tasks of each long-running step that may be disrupted now. */
    disruptionsAllowedByStep: ReadonlyMap<string, number>;
    /** VMs of each pool beyond its need, negative where it lacks VMs; `undefined` if that is not known. */
    spareCounts: ReadonlyMap<string, number> | undefined;
    /** Time by the end of which the last VM must have begun its restart. */
    timeLeftMs: number;
    /** That time when the wave began. */
    withinMs: number;
    /** Duration of one restart. */
    restartMs: number;
}

export interface WavePlan {
    cordon: string[];
    /** Drained VMs whose pools need them; they get new tasks again. */
    release: string[];
    restart: string[];
    /** Long-running steps with more tasks on a VM than may be disrupted at once: one task has to move first. */
    evacuate: { vmId: string; step: string }[];
}

/** Short tasks that take longer to end are interrupted by the restart, so that they do not delay the wave. */
const maximumDrainMs = 2_500;
/**
 * Short tasks are not waited for once the time left is less than this multiple of the time that the remaining restarts
 * take.
 */
const timeReserveFactor = 1.3;

/** Part of its time during which a wave yields to what pools need. */
const yieldingFraction = 0.5;

function isDisruptionAllowed(vm: WaveVm, disruptionsAllowed: ReadonlyMap<string, number>): boolean {
    return [...vm.longRunningCountByStep].every(([step, count]) => count <= (disruptionsAllowed.get(step) ?? Number.POSITIVE_INFINITY));
}

/** Whether the remaining restarts take so much of the time left that they must not wait for anything else. */
export function isWaveBehindSchedule(
    wave: { remainingCount: number; maximumDown: number; restartMs: number; timeLeftMs: number },
): boolean {
    const rounds = Math.ceil(wave.remainingCount / Math.max(1, wave.maximumDown));
    return wave.timeLeftMs < rounds * wave.restartMs * timeReserveFactor + wave.restartMs;
}

/** Returns how many VMs are down at a time if the remaining restarts are spread over the given time. */
function pacedDownCount({ vms, downCount, restartMs }: WavePlanInput, durationMs: number): number {
    const roundsCount = Math.max(1, Math.floor(durationMs / restartMs));
    return Math.ceil((vms.length + downCount) / roundsCount);
}

/** VMs with long-running tasks are never held back: their steps allow a few disruptions at a time, so they need the most rounds. */
function needsRounds(vm: WaveVm): boolean {
    return vm.longRunningCountByStep.size > 0;
}

/** The VMs that a wave may take without a pool lacking any. */
interface SpareVms {
    /** Takes the VM unless it is needed; `false` if it is. */
    take(vm: WaveVm): boolean;
    /** Gives a drained VM back to its pool if it lacks VMs; `false` if it does not. */
    giveBack(vm: WaveVm): boolean;
}

const unlimitedSpareVms: SpareVms = { take: () => true, giveBack: () => false };

function createSpareVms(spareCounts: ReadonlyMap<string, number>, vms: readonly WaveVm[]): SpareVms {
    const left = new Map(spareCounts);
    const drainedCounts = new Map<string, number>();
    for (const { poolName } of vms.filter(vm => vm.cordonedSinceMs !== undefined)) {
        drainedCounts.set(poolName, (drainedCounts.get(poolName) ?? 0) + 1);
    }
    const spareIn = ({ poolName }: WaveVm): number => left.get(poolName) ?? 0;
    let fleetCount = [...spareCounts.values()].reduce((sum, count) => sum + count, 0);
    const add = (vm: WaveVm, count: number): void => {
        left.set(vm.poolName, spareIn(vm) + count);
        fleetCount += count;
    };
    return {
        take: vm => {
            // A pool without spare VMs gets another one if the fleet has any.
            if (!needsRounds(vm) && (spareIn(vm) < 0 || fleetCount <= 0)) {
                return false;
            }
            add(vm, -1);
            return true;
        },
        giveBack: vm => {
            // A pool lacks those that were taken until others have moved there; only what it lacks beyond them is a need that has risen.
            if (needsRounds(vm) || spareIn(vm) + (drainedCounts.get(vm.poolName) ?? 0) >= 0) {
                return false;
            }
            add(vm, 1);
            return true;
        },
    };
}

/** Plans the next actions of a maintenance wave. */
export function planWave(input: WavePlanInput): WavePlan {
    const plan: WavePlan = { cordon: [], release: [], restart: [], evacuate: [] };
    const disruptionsAllowed = new Map(input.disruptionsAllowedByStep);
    const isBehindSchedule = isWaveBehindSchedule({ ...input, remainingCount: input.vms.length });
    const yieldingMs = input.timeLeftMs - (1 - yieldingFraction) * input.withinMs;
    const isYielding = yieldingMs > 0 && !isBehindSchedule;
    const maximumDown = isYielding ? Math.min(input.maximumDown, pacedDownCount(input, yieldingMs)) : input.maximumDown;
    let availableCount = maximumDown - input.downCount;
    const spareVms = isYielding && input.spareCounts ? createSpareVms(input.spareCounts, input.vms) : unlimitedSpareVms;

    const ranked = input.vms.filter(vm => vm.canRestart).sort((a, b) =>
        Number(b.cordonedSinceMs !== undefined) - Number(a.cordonedSinceMs !== undefined) ||
        a.poolUtilization - b.poolUtilization ||
        a.longRunningCountByStep.size - b.longRunningCountByStep.size ||
        a.shortRunCount - b.shortRunCount
    );
    for (const vm of ranked) {
        if (availableCount <= 0) {
            break;
        }
        if (vm.cordonedSinceMs !== undefined && spareVms.giveBack(vm)) {
            plan.release.push(vm.vmId);
            continue;
        }
        if (vm.cordonedSinceMs === undefined && !spareVms.take(vm)) {
            continue;
        }
        availableCount -= 1;
        const cordonedForMs = vm.cordonedSinceMs === undefined ? 0 : input.nowMs - vm.cordonedSinceMs;
        const isDrainFinished = vm.shortRunCount === 0 || isBehindSchedule || cordonedForMs > maximumDrainMs;
        if (isDrainFinished && isDisruptionAllowed(vm, disruptionsAllowed)) {
            plan.restart.push(vm.vmId);
            vm.longRunningCountByStep.forEach((count, step) =>
                disruptionsAllowed.set(step, (disruptionsAllowed.get(step) ?? Number.POSITIVE_INFINITY) - count)
            );
            continue;
        }
        if (vm.cordonedSinceMs === undefined) {
            plan.cordon.push(vm.vmId);
        }
        for (const [step, count] of vm.longRunningCountByStep) {
            const allowedCount = disruptionsAllowed.get(step) ?? 0;
            if (count > 1 && allowedCount > 0) {
                plan.evacuate.push({ vmId: vm.vmId, step });
                disruptionsAllowed.set(step, allowedCount - 1);
            }
        }
    }
    return plan;
}
