/** Carries out maintenance waves, and moves VMs between pools, in the process that owns the scheduling. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import {
    type VmOrderOutcome,
    vmOrderOutcomes,
    type VmRecord,
    type VmService,
    vmStates,
    type WaveRequest,
} from "../connection/vmService.js";
import { planWave, type WaveVm } from "../decisions/planWave.js";
import { servingTasksByStep, spareTasksByStep, stepKey, workersWithTasksComingUp } from "../scheduling/availability.js";
import { loseRuns, type Moment } from "../scheduling/reconcileListing.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { commandKinds, stopRun } from "../scheduling/schedulerState.js";
import { runPhases, type WorkerRecord } from "../scheduling/workerRecord.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { SchedulingOwnership } from "./schedulingOwnership.js";
import type { StoreMirror } from "./storeMirror.js";

export interface VmManager {
    onScheduler(scheduler: Scheduler | undefined): void;
    onWave(request: WaveRequest): void;
}

export interface VmManagerOptions {
    nodeName: string;
    vmService: VmService;
    store: ChangeFeedStore;
    mirror(): StoreMirror;
    ownership(): SchedulingOwnership;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    restartMs: number;
    /** Where the operator reads how far a wave is. */
    waveStatusKey(waveNumber: number): string;
    encodeWaveStatus(waveNumber: number, isCompleted: boolean): string;
}

/** Progress of a wave that outlives its owner. */
interface WaveProgress {
    startedWallMs: number;
    restartedVmIds: string[];
    isCompleted: boolean;
}

interface RestartOrder {
    workerId: string | undefined;
    orderedAtMs: number;
    isAccepted: boolean;
}

interface Wave {
    request: WaveRequest;
    progress: WaveProgress;
    /** VMs whose restart was ordered in this term, with the worker that lived there. */
    ordered: Map<string, RestartOrder>;
    savedText: string;
    savedStatus: string;
}

const roundIntervalMs = 150;
/** The list changes only by orders of this process and by failures. */
const listIntervalMs = 400;
const waveProgressPrefix = "nutmegjunction/wave/";
/** An ordered restart that does not show in the list for so long was not carried out. */
const orderShowsWithinMs = 3_000;
/** A VM is back by this much after its restart at the latest, unless the platform is slow. */
const restartSlackMs = 300;
/** Asked for again as often as that, a long-running task is seen at work soon. */
const lookIntervalMs = 300;

export function createVmManager(options: VmManagerOptions): VmManager {
    const { timers, logger, vmService } = options;
    const requests = new Map<number, WaveRequest>();
    const waves = new Map<number, Wave>();
    const cordonedSinceMs = new Map<string, number>();
    let scheduler: Scheduler | undefined;
    let vms = new Map<string, VmRecord>();
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let lookedAtMs = Number.NEGATIVE_INFINITY;
    let isRunning = false;

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });

    const refreshList = async (): Promise<boolean> => {
        const listed = await vmService.list();
        if (listed.err) {
            return false;
        }
        vms = new Map(listed.val.map(vm => [vm.vmId, vm]));
        listedAtMs = timers.nowMs();
        return true;
    };

    const workerOn = (vm: VmRecord | undefined): WorkerRecord | undefined =>
        vm?.workerId === undefined ? undefined : scheduler?.state.workers.get(vm.workerId);

    const openWave = (request: WaveRequest): Wave => {
        const known = waves.get(request.waveNumber);
        if (known) {
            known.request = request;
            return known;
        }
        const stored = options.mirror().values(waveProgressPrefix).find(each => each.key === `${waveProgressPrefix}${request.waveNumber}`);
        const progress: WaveProgress = stored ?
            JSON.parse(stored.value) as WaveProgress :
            { startedWallMs: timers.wallClockMs(), restartedVmIds: [], isCompleted: false };
        const wave: Wave = { request, progress, ordered: new Map(), savedText: stored?.value ?? "", savedStatus: "" };
        waves.set(request.waveNumber, wave);
        logger.log(logEvents.waveChanged, {
            wave: request.waveNumber,
            vmsCount: request.vmIds.length,
            restartedCount: progress.restartedVmIds.length,
            withinMs: request.withinMs,
            maximumDown: request.maximumDown,
        });
        return wave;
    };

    const save = async (wave: Wave): Promise<void> => {
        const text = JSON.stringify(wave.progress);
        const status = options.encodeWaveStatus(wave.request.waveNumber, wave.progress.isCompleted);
        const token = options.ownership().token();
        if (token === undefined || (text === wave.savedText && status === wave.savedStatus)) {
            return;
        }
        const swapped = await options.store.swap([{ key: "nutmegjunction/term", expectedRevision: token }], [
            { key: `${waveProgressPrefix}${wave.request.waveNumber}`, value: text },
            { key: options.waveStatusKey(wave.request.waveNumber), value: status },
        ]);
        if (swapped.ok && swapped.val.isSwapped) {
            wave.savedText = text;
            wave.savedStatus = status;
        }
    };

    /** Takes what the list shows into the wave: a VM with another worker than before the order has been restarted. */
    const settleOrders = (wave: Wave): void => {
        for (const [vmId, order] of wave.ordered) {
            const vm = vms.get(vmId);
            const sinceOrderMs = listedAtMs - order.orderedAtMs;
            const isUp = vm?.state === vmStates.up;
            // A VM of a standby pool has no worker that would change.
            const isBack = isUp &&
                (vm.workerId !== order.workerId || (order.isAccepted && sinceOrderMs > options.restartMs + restartSlackMs));
            const isOver = !vm || isBack;
            const isMissed = isUp && !isBack && sinceOrderMs > orderShowsWithinMs;
            if (vm && (isOver || vm.state === vmStates.restarting) && !wave.progress.restartedVmIds.includes(vmId)) {
                wave.progress.restartedVmIds.push(vmId);
            }
            if (isOver || isMissed) {
                wave.ordered.delete(vmId);
                if (vm && isMissed) {
                    setEnding(vm, false);
                }
                uncordon(vmId);
                logger.log(logEvents.waveChanged, {
                    wave: wave.request.waveNumber,
                    vmId,
                    isRestarted: !isMissed,
                    leftCount: wave.request.vmIds.length - wave.progress.restartedVmIds.length,
                });
            }
        }
    };

    const cordon = (vmId: string): void => {
        if (!cordonedSinceMs.has(vmId)) {
            cordonedSinceMs.set(vmId, timers.nowMs());
        }
        const worker = workerOn(vms.get(vmId));
        if (worker) {
            worker.isCordoned = true;
        }
    };
    const uncordon = (vmId: string): void => {
        cordonedSinceMs.delete(vmId);
        const worker = workerOn(vms.get(vmId));
        if (worker) {
            worker.isCordoned = false;
        }
    };

    const setEnding = (vm: VmRecord, isEnding: boolean): void => {
        const worker = workerOn(vm);
        if (worker) {
            worker.isEnding = isEnding;
        }
    };

    const poolLoad = (poolName: string): number => {
        let used = 0;
        let capacity = 0;
        for (const worker of scheduler?.state.workers.values() ?? []) {
            if (worker.entry.poolName === poolName) {
                used += worker.used.cpuMillicores;
                capacity += worker.entry.capacity.cpuMillicores;
            }
        }
        return capacity === 0 ? 0 : used / capacity;
    };

    const describeVm = (vmId: string, running: Scheduler): WaveVm => {
        const vm = vms.get(vmId);
        const worker = workerOn(vm);
        return {
            vmId,
            isUp: vm?.state === vmStates.up,
            cordonedSinceMs: cordonedSinceMs.get(vmId),
            shortRunCount: worker ? [...worker.runs.values()].filter(run => !run.isServing).length : 0,
            servingByStep: worker ? servingTasksByStep(running.state, worker) : new Map(),
            poolLoad: vm ? poolLoad(vm.poolName) : 0,
        };
    };

    const onOrderAnswered = (vmId: string, outcome: VmOrderOutcome, what: string): void =>
        logger.log(logEvents.vmOrderAnswered, { vmId, what, outcome, token: options.ownership().token() });

    const restart = async (wave: Wave, vmId: string): Promise<void> => {
        const token = options.ownership().token();
        const vm = vms.get(vmId);
        if (token === undefined || !options.ownership().isProven() || !vm) {
            return;
        }
        cordon(vmId);
        const placed: RestartOrder = { workerId: vm.workerId, orderedAtMs: timers.nowMs(), isAccepted: false };
        wave.ordered.set(vmId, placed);
        setEnding(vm, true);
        const outcome = await vmService.restart(vmId, wave.request.waveNumber, { name: options.nodeName, token });
        onOrderAnswered(vmId, outcome, `restart for wave ${wave.request.waveNumber}`);
        placed.isAccepted = outcome === vmOrderOutcomes.accepted;
        if (outcome !== vmOrderOutcomes.accepted && outcome !== vmOrderOutcomes.unknown) {
            wave.ordered.delete(vmId);
            setEnding(vm, false);
            uncordon(vmId);
        }
    };

    /** Once the list shows another state, nothing runs on the VM any more. */
    const dropRunsOfDownVms = (running: Scheduler): void => {
        const now = moment();
        for (const wave of waves.values()) {
            for (const [vmId, order] of wave.ordered) {
                const vm = vms.get(vmId);
                const worker = order.workerId === undefined ? undefined : running.state.workers.get(order.workerId);
                if (vm && worker && worker.runs.size > 0 && listedAtMs > order.orderedAtMs && vm.state !== vmStates.up) {
                    loseRuns(running.state, worker, "its VM restarts", now);
                }
            }
        }
    };

    const lookForTasksComingUp = (running: Scheduler): void => {
        if (timers.nowMs() - lookedAtMs >= lookIntervalMs) {
            lookedAtMs = timers.nowMs();
            workersWithTasksComingUp(running.state).forEach(workerId => running.state.commands.push({ kind: commandKinds.look, workerId }));
        }
    };

    const evacuateOne = (running: Scheduler, vmId: string, step: string): void => {
        const worker = workerOn(vms.get(vmId));
        const run = worker && [...worker.runs.values()].find(each => stepKey(each) === step && each.phase === runPhases.running);
        if (run) {
            stopRun(running.state, run, "its VM is to restart");
        }
    };

    const advanceWave = async (wave: Wave, running: Scheduler): Promise<void> => {
        settleOrders(wave);
        const { request, progress } = wave;
        const left = request.vmIds.filter(vmId => !progress.restartedVmIds.includes(vmId) && vms.has(vmId));
        progress.isCompleted = left.length === 0 && wave.ordered.size === 0;
        const spareByStep = spareTasksByStep(running.state);
        const plan = planWave({
            nowMs: timers.nowMs(),
            vms: left.filter(vmId => !wave.ordered.has(vmId)).map(vmId => describeVm(vmId, running)),
            downCount: wave.ordered.size +
                request.vmIds.filter(vmId => !wave.ordered.has(vmId) && vms.get(vmId)?.state === vmStates.restarting).length,
            maximumDown: request.maximumDown,
            spareByStep,
            timeLeftMs: progress.startedWallMs + request.withinMs - timers.wallClockMs(),
            restartMs: options.restartMs,
        });
        plan.cordon.forEach(cordon);
        plan.evacuate.forEach(({ vmId, step }) => evacuateOne(running, vmId, step));
        const restarts = plan.restart.map(vmId => restart(wave, vmId));
        await Promise.all(restarts);
        if (restarts.length > 0) {
            await refreshList();
        }
        await save(wave);
    };

    const round = async (): Promise<void> => {
        const running = scheduler;
        if (!running || !options.ownership().isProven()) {
            return;
        }
        const open = [...requests.values()].map(openWave).filter(wave => !wave.progress.isCompleted || wave.savedStatus === "");
        if (open.length === 0) {
            return;
        }
        if (timers.nowMs() - listedAtMs >= listIntervalMs && !await refreshList()) {
            return;
        }
        lookForTasksComingUp(running);
        dropRunsOfDownVms(running);
        for (const wave of open) {
            await advanceWave(wave, running);
            dropRunsOfDownVms(running);
        }
    };

    timers.every(roundIntervalMs, options.signal, () => {
        if (!isRunning) {
            isRunning = true;
            round().catch((error: unknown) => logger.log(logEvents.unexpectedError, { where: "vmManager", error: String(error) }))
                .finally(() => isRunning = false);
        }
    });

    return {
        onScheduler: next => {
            scheduler = next;
            waves.clear();
            cordonedSinceMs.clear();
            listedAtMs = Number.NEGATIVE_INFINITY;
        },
        onWave: request => {
            requests.set(request.waveNumber, request);
        },
    };
}
