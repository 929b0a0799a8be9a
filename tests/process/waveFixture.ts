/** Maintenance waves over the VMs of one pool, in virtual time; the test says what the platform answers and lists. */
import { Ok } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, StoreWrite } from "../../src/connection/platformStore.js";
import { type VmOrderOutcome, vmOrderOutcomes, type VmRecord, type VmService } from "../../src/connection/vmService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createVmInventory } from "../../src/process/vmInventory.js";
import { createWaveRunner, type WaveRunner } from "../../src/process/waveRunner.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";

export const restartMs = 2_000;

/** A pool of `vmCount` VMs, each with an idle worker; the platform answers the orders as the test says, at first not at all. */
export async function createWaveFixture(vmCount: number) {
    const harness = createSchedulerHarness({ workers: vmCount });
    const vms = Array.from({ length: vmCount }, (_, index) => describeVm({ vmId: `vm${index + 1}`, workerId: `w${index + 1}` }));
    vms.forEach(({ workerId }) => harness.list(workerId!, { sentAtMs: 0 }));
    const orders: string[] = [];
    const statuses = new Map<string, string>();
    const platform: { outcome: VmOrderOutcome; listed: VmRecord[] } = { outcome: vmOrderOutcomes.unknown, listed: vms };
    const vmService: VmService = {
        list: () => Promise.resolve(Ok(platform.listed.map(vm => ({ ...vm })))),
        move: () => Promise.reject(new Error("unexpected move")),
        restart: (vmId, waveNumber) => {
            orders.push(`${vmId} for ${waveNumber}`);
            return Promise.resolve(platform.outcome);
        },
    };
    const timers = { nowMs: harness.nowMs, wallClockMs: harness.nowMs } as TimerService;
    const logger = createSilentLogger();
    const inventory = createVmInventory({ scheduler: harness.scheduler, vmService, timers, logger });
    await inventory.refresh();
    const store = {
        swap: (_: unknown, writes: StoreWrite[]) => {
            writes.forEach(({ key, value }) => void statuses.set(key, value ?? ""));
            return Promise.resolve(Ok({ isSwapped: true, revision: 20, current: [] }));
        },
    } as unknown as ChangeFeedStore;
    const createWave = (waveNumber: number, vmIds: string[], storedProgress?: string): WaveRunner =>
        createWaveRunner({
            request: { waveNumber, vmIds, withinMs: 60_000, maximumDown: 1 },
            storedProgress,
            inventory,
            vmService,
            nodeName: "node",
            store,
            orderToken: () => 10,
            timers,
            logger,
            restartMs,
            isMoving: () => false,
            spareCounts: () => undefined,
            statusKey: `status/${waveNumber}`,
            encodeStatus: isCompleted => isCompleted ? "completed" : "running",
        });
    const passFor = async (durationMs: number, ...waves: WaveRunner[]): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
            harness.advance(100);
            await inventory.refresh();
            for (const wave of waves) {
                await wave.advance();
            }
        }
    };
    /** Shows the VM in this state, up with this worker, from the next list on. */
    const show = (vmId: string, changes: Partial<VmRecord>): void => {
        platform.listed = platform.listed.map(vm => vm.vmId === vmId ? { ...vm, ...changes } : vm);
    };
    return { createWave, harness, orders, passFor, platform, show, status: (wave: number) => statuses.get(`status/${wave}`) };
}
