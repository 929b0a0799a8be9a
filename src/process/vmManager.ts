/** Runs maintenance waves and moves VMs between pools, in the process that owns the scheduling. */
import { describeError } from "../common/describeError.js";
import type { TimerService } from "../common/timerService.js";
import type { ChangeFeedStore } from "../connection/platformStore.js";
import type { VmService, WaveRequest } from "../connection/vmService.js";
import { mayPlanBetweenLists, vmListIntervalMs } from "../decisions/paceVmWork.js";
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
    /** How long a move of a VM takes; by default 1.5 s. */
    vmMoveMs?: number;
    demand: DemandTracker;
    /** How late this process runs its timers. */
    latenessMs(): number;
    /** Key under which the operator reads the status of a wave, encoded by `encodeWaveStatus`. */
    waveStatusKey(waveNumber: number): string;
    encodeWaveStatus(waveNumber: number, isCompleted: boolean): string;
}

/** State about the VMs that lasts for one term, or for several in a row that are continued. */
interface Term {
    /** Fencing token of what this term's state decides; `undefined` while the lease is not confirmed, and once the term has ended. */
    orderToken(): number | undefined;
    /** When the parts of the work began that wait for responses now. */
    activeParts: Map<string, number>;
    movesPlannedAtMs: number;
    delayLoggedAtMs: number;
    inventory: VmInventory;
    rebalancer: PoolRebalancer;
    waves: Map<number, WaveRunner>;
}

const advanceIntervalMs = 150;
/** Orders are planned from a list up to this age, which covers a slow response to the next one. */
const maxListAgeMs = 2_000;
/** Interval at which workers with unready long-running tasks are listed, so that a ready task is noticed soon. */
const unreadyListIntervalMs = 300;
/** Moves that are planned later than this miss the first part of a surge. */
const loggedDelayMs = 1_000;

export function createVmManager(options: VmManagerOptions): VmManager {
    const { timers, logger } = options;
    const requests = new Map<number, WaveRequest>();
    let unreadyListedAtMs = Number.NEGATIVE_INFINITY;

    const createWave = (term: Term, request: WaveRequest): void => {
        term.waves.set(
            request.waveNumber,
            createWaveRunner({
                ...options,
                request,
                storedProgress: options.mirror().valueOf(`${waveProgressPrefix}${request.waveNumber}`),
                inventory: term.inventory,
                isMoving: term.rebalancer.isMoving,
                spareCounts: term.rebalancer.spareCounts,
                orderToken: term.orderToken,
                statusKey: options.waveStatusKey(request.waveNumber),
                encodeStatus: isCompleted => options.encodeWaveStatus(request.waveNumber, isCompleted),
            }),
        );
    };

    const listWorkersWithUnreadyTasks = (scheduler: Scheduler): void => {
        if (timers.nowMs() - unreadyListedAtMs >= unreadyListIntervalMs) {
            unreadyListedAtMs = timers.nowMs();
            workersWithUnreadyTasks(scheduler.state)
                .filter(workerId => scheduler.state.workers.get(workerId)?.unresponsiveSinceMs === undefined)
                .forEach(workerId => scheduler.state.commands.push({ kind: commandKinds.list, workerId }));
        }
    };

    /**
     * Begins a part of the work unless it is under way. The parts do not wait for each other: a surge needs its moves, whatever responses a
     * wave waits for, and what fails for one wave must hold up neither other waves nor the moves.
     */
    const begin = (term: Term, part: string, work: () => Promise<unknown>): void => {
        if (term.activeParts.has(part)) {
            return;
        }
        term.activeParts.set(part, timers.nowMs());
        work()
            .catch((error: unknown) => logger.log(logEvents.unexpectedError, { where: `vmManager, ${part}`, error: describeError(error) }))
            .finally(() => term.activeParts.delete(part));
    };

    /** Orders what the last list shows to be needed. */
    const advanceOrders = (term: Term): void => {
        if (term.orderToken() === undefined || timers.nowMs() - term.inventory.listedAtMs() > maxListAgeMs) {
            return;
        }
        term.rebalancer.advance();
        term.movesPlannedAtMs = timers.nowMs();
        // Waves take what the moves leave.
        const unfinishedWaves = [...term.waves].filter(([, wave]) => !wave.isFinished());
        if (unfinishedWaves.length > 0) {
            listWorkersWithUnreadyTasks(term.inventory.scheduler);
        }
        unfinishedWaves.forEach(([waveNumber, wave]) => begin(term, `wave ${waveNumber}`, wave.advance));
    };

    const refreshList = async (term: Term): Promise<void> => {
        if (await term.inventory.refresh()) {
            advanceOrders(term);
        }
    };

    const advanceTerm = (term: Term): void => {
        if (term.orderToken() === undefined) {
            return;
        }
        for (const request of requests.values()) {
            if (!term.waves.has(request.waveNumber)) {
                createWave(term, request);
            }
        }
        const latenessMs = options.latenessMs();
        if (timers.nowMs() - term.inventory.listedAtMs() >= vmListIntervalMs(latenessMs)) {
            begin(term, "list", () => refreshList(term));
        }
        if (mayPlanBetweenLists(latenessMs)) {
            advanceOrders(term);
        }
    };

    const logDelay = (term: Term): void => {
        const nowMs = timers.nowMs();
        const delayMs = nowMs - term.movesPlannedAtMs;
        if (delayMs < loggedDelayMs || nowMs - term.delayLoggedAtMs < loggedDelayMs) {
            return;
        }
        term.delayLoggedAtMs = nowMs;
        logger.log(logEvents.vmWorkDelayed, {
            delayMs: Math.round(delayMs),
            activeParts: [...term.activeParts].map(([part, beganAtMs]) => `${part} for ${Math.round(nowMs - beganAtMs)} ms`),
            leaseAgeMs: options.ownership().leaseAgeMs(),
        });
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
                activeParts: new Map(),
                movesPlannedAtMs: timers.nowMs(),
                delayLoggedAtMs: Number.NEGATIVE_INFINITY,
                inventory,
                rebalancer,
                waves,
            };
            timers.every(advanceIntervalMs, termSignal, () => {
                try {
                    advanceTerm(term);
                }
                catch (error) {
                    logger.log(logEvents.unexpectedError, { where: "vmManager", error: describeError(error) });
                }
                logDelay(term);
            });
        },
        onWaveRequested: request => {
            requests.set(request.waveNumber, request);
        },
    };
}
