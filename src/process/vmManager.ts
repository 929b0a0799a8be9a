/** Runs maintenance waves and moves VMs between pools, in the process that owns the scheduling. */
import { describeError } from "../common/describeError.js";
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
    /** Must be called when the scheduler of a term was created; `termSignal` aborts when the term ends. */
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
    /** Key under which the operator reads the status of a wave, encoded by `encodeWaveStatus`. */
    waveStatusKey(waveNumber: number): string;
    encodeWaveStatus(waveNumber: number, isCompleted: boolean): string;
}

/** State about the VMs that lasts for one term, or for several in a row that are continued. */
interface Term {
    /** Fencing token of what this term's state decides; `undefined` while the lease is not confirmed, and once the term has ended. */
    orderToken(): number | undefined;
    isAdvancing: boolean;
    /** What `advanceTerm` is doing; `undefined` while it does nothing. */
    activePart: { name: string; startedAtMs: number } | undefined;
    movesPlannedAtMs: number;
    delayLoggedAtMs: number;
    inventory: VmInventory;
    rebalancer: PoolRebalancer;
    waves: Map<number, WaveRunner>;
}

const advanceIntervalMs = 150;
/** The VM list changes through this process's own requests, after which it is read at once, and through failures. */
const listIntervalMs = 400;
/** Interval at which workers with unready long-running tasks are listed, so that a ready task is noticed soon. */
const unreadyListIntervalMs = 300;
/** Moves that are planned later than this miss the first part of a surge. */
const loggedDelayMs = 1_000;

export function createVmManager(options: VmManagerOptions): VmManager {
    const { timers, logger } = options;
    const requests = new Map<number, WaveRequest>();
    let unreadyListedAtMs = Number.NEGATIVE_INFINITY;

    const createWave = (activeTerm: Term, request: WaveRequest): void => {
        activeTerm.waves.set(
            request.waveNumber,
            createWaveRunner({
                ...options,
                request,
                storedProgress: options.mirror().valueOf(`${waveProgressPrefix}${request.waveNumber}`),
                inventory: activeTerm.inventory,
                isMoving: activeTerm.rebalancer.isMoving,
                orderToken: activeTerm.orderToken,
                statusKey: options.waveStatusKey(request.waveNumber),
                encodeStatus: isCompleted => options.encodeWaveStatus(request.waveNumber, isCompleted),
            }),
        );
    };

    const listWorkersWithUnreadyTasks = (scheduler: Scheduler): void => {
        if (timers.nowMs() - unreadyListedAtMs >= unreadyListIntervalMs) {
            unreadyListedAtMs = timers.nowMs();
            workersWithUnreadyTasks(scheduler.state).forEach(workerId =>
                scheduler.state.commands.push({ kind: commandKinds.list, workerId })
            );
        }
    };

    /** What fails for one wave must hold up neither other waves nor the moves. */
    const continueAfterError = async (part: string, advance: () => Promise<unknown>): Promise<void> => {
        try {
            await advance();
        }
        catch (error) {
            logger.log(logEvents.unexpectedError, { where: `vmManager, ${part}`, error: describeError(error) });
        }
    };

    const advanceTerm = async (activeTerm: Term): Promise<void> => {
        const mayAct = (): boolean => activeTerm.orderToken() !== undefined;
        if (!mayAct()) {
            return;
        }
        for (const request of requests.values()) {
            if (!activeTerm.waves.has(request.waveNumber)) {
                createWave(activeTerm, request);
            }
        }
        const enter = (name: string): void => void (activeTerm.activePart = { name, startedAtMs: timers.nowMs() });
        const isDue = timers.nowMs() - activeTerm.inventory.listedAtMs() >= listIntervalMs;
        enter("list");
        if (isDue && (!await activeTerm.inventory.refresh() || !mayAct())) {
            return;
        }
        const unfinishedWaves = [...activeTerm.waves.values()].filter(wave => !wave.isFinished());
        if (unfinishedWaves.length > 0) {
            listWorkersWithUnreadyTasks(activeTerm.inventory.scheduler);
        }
        for (const wave of unfinishedWaves) {
            enter("wave");
            await continueAfterError("wave", () => wave.advance());
            if (!mayAct()) {
                return;
            }
        }
        enter("moves");
        activeTerm.movesPlannedAtMs = timers.nowMs();
        await continueAfterError("moves between pools", () => activeTerm.rebalancer.advance());
    };

    const logDelay = (activeTerm: Term): void => {
        const { activePart } = activeTerm;
        const nowMs = timers.nowMs();
        const delayMs = nowMs - activeTerm.movesPlannedAtMs;
        if (delayMs < loggedDelayMs || nowMs - activeTerm.delayLoggedAtMs < loggedDelayMs) {
            return;
        }
        activeTerm.delayLoggedAtMs = nowMs;
        logger.log(logEvents.vmWorkDelayed, {
            delayMs: Math.round(delayMs),
            activeParts: activePart ? [`${activePart.name} for ${Math.round(nowMs - activePart.startedAtMs)} ms`] : [],
            leaseAgeMs: options.ownership().leaseAgeMs(),
        });
    };

    const advanceIfIdle = (activeTerm: Term): void => {
        if (!activeTerm.isAdvancing) {
            activeTerm.isAdvancing = true;
            advanceTerm(activeTerm)
                .catch((error: unknown) => logger.log(logEvents.unexpectedError, { where: "vmManager", error: describeError(error) }))
                .finally(() => {
                    activeTerm.isAdvancing = false;
                    activeTerm.activePart = undefined;
                });
        }
    };

    return {
        onTermStarted: (scheduler, termSignal) => {
            const inventory = createVmInventory({ scheduler, vmService: options.vmService, timers, logger });
            const waves = new Map<number, WaveRunner>();
            const mustStay = (vmId: string): boolean => [...waves.values()].some(wave => wave.isWaitingFor(vmId));
            // The lease alone does not show that the term goes on: this process may have lost the ownership and acquired it again.
            const orderToken = (): number | undefined =>
                !termSignal.aborted && options.ownership().isLeaseValid() ? scheduler.state.term.token : undefined;
            const rebalancer = createPoolRebalancer({ ...options, inventory, mustStay, orderToken });
            const term: Term = {
                orderToken,
                isAdvancing: false,
                activePart: undefined,
                movesPlannedAtMs: timers.nowMs(),
                delayLoggedAtMs: Number.NEGATIVE_INFINITY,
                inventory,
                rebalancer,
                waves,
            };
            timers.every(advanceIntervalMs, termSignal, () => {
                logDelay(term);
                advanceIfIdle(term);
            });
        },
        onWaveRequested: request => {
            requests.set(request.waveNumber, request);
        },
    };
}
