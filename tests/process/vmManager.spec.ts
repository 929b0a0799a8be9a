/**
 * Guards against VM orders and writes that the state of an ended term decides, and against moves that wait for work that is not urgent; checks
 * that a continued term goes on.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "../../src/common/results.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, StoreGuard, StoreWrite } from "../../src/connection/platformStore.js";
import { type VmOrderOutcome, vmOrderOutcomes, type VmRecord, type VmService } from "../../src/connection/vmService.js";
import { createDemandTracker } from "../../src/process/demandTracker.js";
import { createSilentLogger } from "../../src/process/logger.js";
import type { SchedulingOwnership } from "../../src/process/schedulingOwnership.js";
import type { StoreMirror } from "../../src/process/storeMirror.js";
import { createVmManager, type VmManager } from "../../src/process/vmManager.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { describeVm } from "./describeVm.js";

interface Fixture {
    manager: VmManager;
    /** VM list requests without an answer yet, in the order in which they were sent. */
    lists: (() => Promise<void>)[];
    /** VM orders without an answer yet, and what was requested of the VM service. */
    answers: ((outcome: VmOrderOutcome) => Promise<void>)[];
    orders: string[];
    writes: { guards: StoreGuard[]; writes: StoreWrite[] }[];
    acquire(token: number, harness: SchedulerHarness): void;
    continueWith(token: number, harness: SchedulerHarness): void;
    lose(): void;
    /** How late the process runs its timers; at first it does not. */
    setLatenessMs(latenessMs: number): void;
    pass(): Promise<void>;
}

const vm = (vmId: string, poolName: string, workerId: string | undefined): VmRecord => describeVm({ vmId, poolName, workerId });

/** A VM service and a store whose answers the test gives. */
function createFixture(vms: VmRecord[], storedWaveProgress?: string): Fixture {
    const timers = createManualTimerService();
    const lists: Fixture["lists"] = [];
    const answers: Fixture["answers"] = [];
    const orders: string[] = [];
    const writes: Fixture["writes"] = [];
    let token: number | undefined;
    let term = new AbortController();
    let latenessMs = 0;
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 3; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const order = (text: string): Promise<VmOrderOutcome> => {
        orders.push(text);
        return new Promise(resolve => answers.push(outcome => (resolve(outcome), settle())));
    };
    const vmService: VmService = {
        list: () => new Promise(resolve => lists.push(() => (resolve(Ok(vms)), settle()))),
        move: (vmId, poolName, owner) => order(`move ${vmId} to ${poolName} with ${owner.token}`),
        restart: (vmId, waveNumber, owner) => order(`restart ${vmId} for ${waveNumber} with ${owner.token}`),
    };
    const manager = createVmManager({
        nodeName: "node",
        vmService,
        store: {
            swap: (guards: StoreGuard[], written: StoreWrite[]) => {
                writes.push({ guards, writes: written });
                return Promise.resolve(Ok({ isSwapped: true, revision: 1, current: [] }));
            },
        } as unknown as ChangeFeedStore,
        mirror: () => ({ valueOf: (key: string) => key.endsWith("wave/7") ? storedWaveProgress : undefined }) as unknown as StoreMirror,
        ownership: () => ({ token: () => token, isLeaseValid: () => token !== undefined, leaseAgeMs: () => 0 }) as SchedulingOwnership,
        timers,
        logger: createSilentLogger(),
        signal: new AbortController().signal,
        restartMs: 1_000,
        demand: createDemandTracker(timers.nowMs),
        latenessMs: () => latenessMs,
        waveStatusKey: waveNumber => `status/${waveNumber}`,
        encodeWaveStatus: (_waveNumber, isCompleted) => String(isCompleted),
    });
    return {
        manager,
        lists,
        answers,
        orders,
        writes,
        acquire: (newToken, harness) => {
            token = newToken;
            term = new AbortController();
            manager.onTermStarted(harness.scheduler, term.signal);
        },
        continueWith: (newToken, harness) => {
            token = newToken;
            harness.scheduler.renewTerm(newToken);
        },
        lose: () => {
            token = undefined;
            term.abort();
        },
        setLatenessMs: newLatenessMs => latenessMs = newLatenessMs,
        pass: async () => {
            timers.advance(150);
            await settle();
        },
    };
}

const wave = { waveNumber: 7, vmIds: ["vm1"], withinMs: 60_000, maximumDown: 1 };

/** A scheduler that knows of no task on its worker. */
const createIdle = (token: number): SchedulerHarness => {
    const harness = createSchedulerHarness({ workers: 1, token });
    harness.list("w1", { sentAtMs: 0 });
    return harness;
};
/** A scheduler whose worker runs a task that another owner started. */
const createBusy = (token: number): SchedulerHarness => {
    const harness = createSchedulerHarness({ workers: 1, token });
    harness.submit("job", { taskCount: 1, formerWorkerIds: ["w1"] });
    harness.list("w1", { sentAtMs: 0, running: [{ taskName: "job.0.0.0", runId: 15_000_001 }] });
    return harness;
};

/** A scheduler with an idle worker, and a standby pool for VMs that may be moved. */
const createWithStandby = (token: number): SchedulerHarness => {
    const harness = createIdle(token);
    const { state } = harness.scheduler;
    state.policy = { ...state.policy, pools: new Map([...state.policy.pools, ["idle", { name: "idle", isStandby: true }]]) };
    return harness;
};

describe("a VM list that is answered in a later term", () => {
    it("should not restart a VM that was empty in the earlier term", async () => {
        const { manager, lists, orders, writes, acquire, lose, pass } = createFixture([vm("vm1", "pool", "w1")]);
        manager.onWaveRequested(wave);
        acquire(10, createIdle(10));
        await pass();
        const earlierList = lists.shift()!;
        lose();
        acquire(20, createBusy(20));
        await earlierList();
        assert.deepEqual(orders, []);
        assert.deepEqual(writes, []);
    });

    it("should not hold up the later term", async () => {
        const { manager, lists, orders, writes, acquire, lose, pass } = createFixture([vm("vm1", "pool", "w1")]);
        manager.onWaveRequested(wave);
        acquire(10, createIdle(10));
        await pass();
        lists.splice(0);
        lose();
        acquire(20, createBusy(20));
        await pass();
        assert.equal(lists.length, 1, "the later term reads the list by itself");
        await lists.shift()!();
        assert.deepEqual(orders, [], "the VM is drained first");
        assert.deepEqual(writes.map(({ guards }) => guards[0]!.expectedRevision), [20]);
    });

    it("should not move a VM that was empty in the earlier term", async () => {
        const { lists, orders, acquire, lose, pass } = createFixture([vm("vm1", "pool", "w1"), vm("idle1", "idle", undefined)]);
        const createWithWaitingWork = (token: number): SchedulerHarness => {
            const harness = createWithStandby(token);
            harness.submit("wide", { taskCount: 24 });
            return harness;
        };
        acquire(10, createWithWaitingWork(10));
        await pass();
        const earlierList = lists.shift()!;
        lose();
        acquire(20, createBusy(20));
        await earlierList();
        assert.deepEqual(orders, []);
        lose();
        acquire(30, createWithWaitingWork(30));
        await pass();
        await lists.shift()!();
        assert.deepEqual(orders, ["move idle1 to pool with 30"], "the same demand moves the VM within a term");
    });
});

describe("a VM order that is answered in a later term", () => {
    it("should not overwrite the stored progress of the wave", async () => {
        const { manager, lists, answers, orders, writes, acquire, lose, pass } = createFixture([vm("vm1", "pool", "w1")]);
        manager.onWaveRequested(wave);
        acquire(10, createIdle(10));
        await pass();
        await lists.shift()!();
        assert.deepEqual(orders, ["restart vm1 for 7 with 10"]);
        lose();
        acquire(20, createBusy(20));
        await answers.shift()!(vmOrderOutcomes.accepted);
        const listsAfterEnd = lists.splice(0);
        for (const answerList of listsAfterEnd) {
            await answerList();
        }
        assert.deepEqual(writes, []);
        assert.equal(listsAfterEnd.length, 0, "the earlier term does not read the list again");
    });
});

describe("a VM list that is answered in a continued term", () => {
    it("should be acted on with the token of the continued term", async () => {
        const { manager, lists, orders, acquire, continueWith, pass } = createFixture([vm("vm1", "pool", "w1")]);
        manager.onWaveRequested(wave);
        const harness = createIdle(10);
        acquire(10, harness);
        await pass();
        continueWith(20, harness);
        await lists.shift()!();
        assert.deepEqual(orders, ["restart vm1 for 7 with 20"]);
    });
});

describe("a wave whose stored progress cannot be read", () => {
    for (const storedProgress of ["{", '{"startedWallMs":0,"restartedVmIds":"vm1","isCompleted":true}']) {
        it(`should be carried out from its start, and hold up no other wave: ${storedProgress}`, async () => {
            const { manager, lists, orders, acquire, pass } = createFixture(
                [vm("vm1", "pool", "w1"), vm("vm2", "pool", undefined)],
                storedProgress,
            );
            manager.onWaveRequested(wave);
            manager.onWaveRequested({ ...wave, waveNumber: 8, vmIds: ["vm2"] });
            acquire(10, createIdle(10));
            await pass();
            await lists.shift()!();
            assert.ok(orders.includes("restart vm1 for 7 with 10"), orders.join());
        });
    }
});

describe("a surge", () => {
    const vms = [vm("vm1", "pool", "w1"), vm("idle1", "idle", undefined), vm("idle2", "idle", undefined)];

    it("should get VMs while the restarts of a wave have no response", async () => {
        const { manager, lists, orders, acquire, pass } = createFixture(vms);
        manager.onWaveRequested({ ...wave, vmIds: ["idle2"] });
        const harness = createWithStandby(10);
        harness.submit("wide", { taskCount: 24 });
        acquire(10, harness);
        await pass();
        await lists.shift()!();
        await pass();
        assert.deepEqual(orders.toSorted(), ["move idle1 to pool with 10", "restart idle2 for 7 with 10"]);
    });

    it("should get further VMs while an earlier move has no response", async () => {
        const { lists, orders, acquire, pass } = createFixture(vms);
        const harness = createWithStandby(10);
        harness.submit("narrow", { taskCount: 15 });
        acquire(10, harness);
        await pass();
        await lists.shift()!();
        assert.equal(orders.length, 1, orders.join());
        harness.submit("wide", { taskCount: 24 });
        await pass();
        assert.equal(orders.length, 2, orders.join());
    });

    it("should get VMs while the VM list has no response for less than it may take", async () => {
        const { lists, orders, acquire, pass } = createFixture(vms);
        const harness = createWithStandby(10);
        acquire(10, harness);
        await pass();
        await lists.shift()!();
        for (let passes = 0; passes < 4; passes++) {
            await pass();
        }
        assert.equal(lists.length, 1, "the list is read again");
        harness.submit("wide", { taskCount: 24 });
        await pass();
        assert.ok(orders.length > 0);
    });

    it("should not cost a process that is late the processor time of more lists", async () => {
        const { lists, acquire, setLatenessMs, pass } = createFixture(vms);
        const countLists = async (): Promise<number> => {
            let listsCount = 0;
            for (let passes = 0; passes < 20; passes++) {
                await pass();
                for (const answer of lists.splice(0)) {
                    listsCount += 1;
                    await answer();
                }
            }
            return listsCount;
        };
        acquire(10, createWithStandby(10));
        const inTimeCount = await countLists();
        setLatenessMs(300);
        const lateCount = await countLists();
        assert.ok(inTimeCount >= 6, String(inTimeCount));
        assert.ok(lateCount > 0 && lateCount <= 3, String(lateCount));
    });
});
