/** Checks which VMs of a maintenance wave are drained and restarted, while queues surge and long-running steps allow few disruptions. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { planWave, type WavePlanInput, type WaveVm } from "../../src/decisions/planWave.js";

const waveVm = (vmId: string, changes: Partial<WaveVm>): WaveVm => ({
    vmId,
    poolName: "pool",
    canRestart: true,
    cordonedSinceMs: undefined,
    shortRunCount: 0,
    longRunningCountByStep: new Map(),
    poolUtilization: 0,
    ...changes,
});
const waveInput = (changes: Partial<WavePlanInput>): WavePlanInput => ({
    nowMs: 10_000,
    vms: [],
    downCount: 0,
    maximumDown: 2,
    disruptionsAllowedByStep: new Map(),
    spareCounts: undefined,
    timeLeftMs: 60_000,
    withinMs: 60_000,
    restartMs: 2_000,
    ...changes,
});

describe("a maintenance wave", () => {
    it("should never have more VMs down than allowed", () => {
        const vms = ["a", "b", "c", "d"].map(vmId => waveVm(vmId, {}));
        // Enough time for two rounds of restarts, and not for more.
        const timeLeftMs = 8_000;
        assert.equal(planWave(waveInput({ vms, timeLeftMs })).restart.length, 2);
        assert.equal(planWave(waveInput({ vms, timeLeftMs, downCount: 1 })).restart.length, 1);
        assert.equal(planWave(waveInput({ vms, timeLeftMs, downCount: 2 })).restart.length, 0);
        assert.equal(planWave(waveInput({ vms, downCount: 2 })).restart.length, 0);
    });

    it("should spread its restarts over its time, and end in time", () => {
        const [vmsCount, withinMs, restartMs, stepMs] = [100, 28_000, 2_000, 200];
        let waiting = Array.from({ length: vmsCount }, (_, index) => waveVm(`vm${index}`, {}));
        let upAtMs: number[] = [];
        const downCounts: number[] = [];
        for (let nowMs = 0; nowMs < withinMs; nowMs += stepMs) {
            upAtMs = upAtMs.filter(each => each > nowMs);
            const timeLeftMs = withinMs - nowMs;
            const { restart } = planWave(
                waveInput({ nowMs, vms: waiting, downCount: upAtMs.length, maximumDown: 66, timeLeftMs, withinMs, restartMs }),
            );
            waiting = waiting.filter(vm => !restart.includes(vm.vmId));
            upAtMs.push(...restart.map(() => nowMs + restartMs));
            downCounts.push(upAtMs.length);
        }
        assert.equal(waiting.length, 0);
        const leastPossible = vmsCount * restartMs / withinMs;
        assert.ok(Math.max(...downCounts) <= 3 * leastPossible, `${Math.max(...downCounts)} VMs are down at once`);
    });

    it("should take only VMs that no pool needs, until it is short of time", () => {
        const vms = ["calm", "calm", "short", "standby", "standby"].map((poolName, index) => waveVm(`${poolName}-${index}`, { poolName }));
        const plan = (counts: Record<string, number>, changes: Partial<WavePlanInput> = {}): string[] =>
            planWave(
                waveInput({
                    vms,
                    maximumDown: 9,
                    timeLeftMs: 8_000,
                    withinMs: 12_000,
                    spareCounts: new Map(Object.entries(counts)),
                    ...changes,
                }),
            )
                .restart;
        assert.deepEqual(plan({ calm: 1, short: -2, standby: 3 }), ["calm-0", "calm-1"], "the fleet has two");
        assert.deepEqual(plan({ calm: 0, short: -2, standby: 9 }), ["calm-0", "standby-3", "standby-4"], "calm gets one from standby");
        assert.deepEqual(plan({ calm: 1, short: -2, standby: 1 }), []);
        assert.deepEqual(plan({ calm: 1, short: -2, standby: 1 }, { timeLeftMs: 3_000 }), vms.map(vm => vm.vmId));
    });

    it("should restart VMs with long-running tasks also while their pool and the fleet lack VMs", () => {
        const longRunningCountByStep = new Map([["step", 1]]);
        const vms = ["calm", "short"].map(poolName => waveVm(poolName, { poolName, longRunningCountByStep }));
        assert.deepEqual(planWave(waveInput({ vms, timeLeftMs: 31_000, spareCounts: new Map([["calm", 0], ["short", -5]]) })).restart, [
            "calm",
            "short",
        ]);
    });

    it("should give back drained VMs only of a pool that lacks more than those", () => {
        const vms = ["a", "b", "c"].map(vmId => waveVm(vmId, { shortRunCount: 1, cordonedSinceMs: 9_500 }));
        const release = (spareCount: number): string[] =>
            planWave(waveInput({ vms, maximumDown: 3, spareCounts: new Map([["pool", spareCount]]) })).release;
        assert.deepEqual([release(0), release(-3), release(-4), release(-9)], [[], [], ["a"], ["a", "b", "c"]]);
    });

    it("should end in time although no order can be sent for a while, and long-running steps allow one disruption at a time", () => {
        const [vmsCount, withinMs, restartMs, stepMs] = [180, 28_000, 2_000, 200];
        const isSilent = (nowMs: number): boolean => (nowMs > 11_000 && nowMs < 12_000) || (nowMs > 16_000 && nowMs < 20_500);
        // Every fourth VM has a task of one of eight steps, which is disrupted until it runs elsewhere.
        const stepsOf = (index: number): Map<string, number> => new Map(index % 4 === 0 ? [[`step ${index % 8 + index % 3}`, 1]] : []);
        let waiting = Array.from({ length: vmsCount }, (_, index) => waveVm(`vm${index}`, { longRunningCountByStep: stepsOf(index) }));
        let down: { upAtMs: number; steps: string[] }[] = [];
        for (let nowMs = 0; nowMs < withinMs; nowMs += stepMs) {
            down = down.filter(each => each.upAtMs > nowMs);
            if (isSilent(nowMs)) {
                continue;
            }
            const disrupted = new Set(down.flatMap(each => each.steps));
            const { restart } = planWave(waveInput({
                nowMs,
                vms: waiting,
                downCount: down.length,
                maximumDown: 66,
                timeLeftMs: withinMs - nowMs,
                withinMs,
                restartMs,
                // Pools lack VMs in a surge, from 4 s to 13 s.
                spareCounts: new Map([["pool", nowMs > 4_000 && nowMs < 13_000 ? -20 : 100]]),
                disruptionsAllowedByStep: new Map(
                    waiting.flatMap(vm => [...vm.longRunningCountByStep.keys()]).map(each => [each, disrupted.has(each) ? 0 : 1]),
                ),
            }));
            down.push(
                ...waiting.filter(vm => restart.includes(vm.vmId)).map(vm => ({
                    upAtMs: nowMs + restartMs,
                    steps: [...vm.longRunningCountByStep.keys()],
                })),
            );
            waiting = waiting.filter(vm => !restart.includes(vm.vmId));
        }
        assert.equal(waiting.length, 0);
    });

    it("should disrupt only as many tasks of a long-running step as allowed, over all VMs together", () => {
        const vms = ["a", "b"].map(vmId => waveVm(vmId, { longRunningCountByStep: new Map([["step", 1]]) }));
        assert.deepEqual(planWave(waveInput({ vms, disruptionsAllowedByStep: new Map([["step", 1]]) })).restart, ["a"]);
        assert.deepEqual(planWave(waveInput({ vms, disruptionsAllowedByStep: new Map([["step", 0]]) })).restart, []);
    });

    it("should move one task away from a VM with more tasks of a step than may be disrupted", () => {
        const vms = [waveVm("a", { longRunningCountByStep: new Map([["step", 2]]) })];
        const plan = planWave(waveInput({ vms, disruptionsAllowedByStep: new Map([["step", 1]]) }));
        assert.deepEqual([plan.restart, plan.evacuate], [[], [{ vmId: "a", step: "step" }]]);
    });

    it("should count a planned restart and an evacuation of one step together", () => {
        const vms = [
            waveVm("a", { longRunningCountByStep: new Map([["step", 1]]) }),
            waveVm("b", { longRunningCountByStep: new Map([["step", 2]]), shortRunCount: 1 }),
        ];
        const plan = planWave(waveInput({ vms, disruptionsAllowedByStep: new Map([["step", 1]]) }));
        assert.deepEqual([plan.restart, plan.evacuate], [["a"], []]);
    });

    it("should wait for short tasks only while there is time", () => {
        const vms = [waveVm("a", { shortRunCount: 3, cordonedSinceMs: 9_500 })];
        assert.deepEqual(planWave(waveInput({ vms })).restart, []);
        assert.deepEqual(planWave(waveInput({ vms, timeLeftMs: 3_000 })).restart, ["a"]);
    });
});
