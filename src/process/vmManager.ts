/** Carries out maintenance waves and moves VMs between pools, in the process that owns the scheduling. */
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import type { VmService, WaveRequest } from "../connection/vmService.js";
import { workersWithUnreadyTasks } from "../scheduling/availability.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { commandKinds } from "../scheduling/schedulerState.js";
import type { DemandTracker } from "./demandTracker.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { createPoolRebalancer, type PoolRebalancer } from "./poolRebalancer.js";
import type { SchedulingOwnership } from "./schedulingOwnership.js";
import type { StoreMirror } from "./storeMirror.js";
import { createVmInventory, type VmInventory } from "./vmInventory.js";
import { createWaveRunner, waveProgressPrefix, type WaveRunner } from "./waveRunner.js";

export interface VmManager {
    /** A term's scheduler runs, until `termSignal` aborts. */
    onTermStarted(scheduler: Scheduler, termSignal: AbortSignal): void;
    onWaveRequested(request: WaveRequest): void;
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
    demand: DemandTracker;
    /** Where the operator reads how far a wave is, and in which form. */
    waveStatusKey(waveNumber: number): string;
    encodeWaveStatus(waveNumber: number, isCompleted: boolean): string;
}

/** What this process holds of the VMs during one term. */
interface Term {
    inventory: VmInventory;
    mover: PoolRebalancer;
    waves: Map<number, WaveRunner>;
}

const roundIntervalMs = 150;
/** The list changes by this process's orders, after which it is read at once, and by failures. */
const listIntervalMs = 400;
/** Asked for again as often as that, a long-running task is seen at work soon. */
const lookIntervalMs = 300;

export function createVmManager(options: VmManagerOptions): VmManager {
    const { timers, logger } = options;
    const requests = new Map<number, WaveRequest>();
    let term: Term | undefined;
    let lookedAtMs = Number.NEGATIVE_INFINITY;
    let isRunning = false;

    const openWave = (held: Term, request: WaveRequest): void => {
        held.waves.set(
            request.waveNumber,
            createWaveRunner({
                ...options,
                request,
                storedProgress: options.mirror().valueOf(`${waveProgressPrefix}${request.waveNumber}`),
                inventory: held.inventory,
                statusKey: options.waveStatusKey(request.waveNumber),
                encodeStatus: isCompleted => options.encodeWaveStatus(request.waveNumber, isCompleted),
            }),
        );
    };

    const lookForTasksComingUp = (scheduler: Scheduler): void => {
        if (timers.nowMs() - lookedAtMs >= lookIntervalMs) {
            lookedAtMs = timers.nowMs();
            workersWithUnreadyTasks(scheduler.state).forEach(workerId =>
                scheduler.state.commands.push({ kind: commandKinds.look, workerId })
            );
        }
    };

    const round = async (held: Term): Promise<void> => {
        if (!options.ownership().isLeaseValid()) {
            return;
        }
        for (const request of requests.values()) {
            if (!held.waves.has(request.waveNumber)) {
                openWave(held, request);
            }
        }
        const isDue = timers.nowMs() - held.inventory.listedAtMs() >= listIntervalMs;
        if (isDue && !await held.inventory.refresh()) {
            return;
        }
        const open = [...held.waves.values()].filter(wave => !wave.isFinished());
        if (open.length > 0) {
            lookForTasksComingUp(held.inventory.scheduler);
        }
        for (const wave of open) {
            await wave.advance();
        }
        await held.mover.advance();
    };

    const runRound = (): void => {
        if (!isRunning && term) {
            isRunning = true;
            round(term).catch((error: unknown) => logger.log(logEvents.unexpectedError, { where: "vmManager", error: String(error) }))
                .finally(() => isRunning = false);
        }
    };

    return {
        onTermStarted: (scheduler, termSignal) => {
            termSignal.addEventListener("abort", () => term = undefined, { once: true });
            timers.every(roundIntervalMs, termSignal, runRound);
            const inventory = createVmInventory({ scheduler, vmService: options.vmService, timers, logger });
            const waves = new Map<number, WaveRunner>();
            const isInWave = (vmId: string): boolean => [...waves.values()].some(wave => wave.isPending(vmId));
            term = { inventory, waves, mover: createPoolRebalancer({ ...options, inventory, isInWave }) };
        },
        onWaveRequested: request => {
            requests.set(request.waveNumber, request);
        },
    };
}
