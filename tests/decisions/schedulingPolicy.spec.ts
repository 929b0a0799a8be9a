/** Tests of the scheduling decisions, each with the load pattern for which it is designed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { latenessClass, orderSteps, type StepOrderInput } from "../../src/decisions/orderSteps.js";
import { paceFillers } from "../../src/decisions/paceFillers.js";
import { type PlacementCandidate, placeTask } from "../../src/decisions/placeTask.js";
import { type ShareTokenBucket, takeShareToken } from "../../src/decisions/teamShare.js";

const step = (changes: Partial<StepOrderInput>): StepOrderInput => ({
    isLongRunning: false,
    workMillicoreS: 1_000,
    isWithinShare: true,
    submittedWallMs: 0,
    deadlineWallMs: 2_000,
    criticalPathMs: 1_000,
    hasStarted: false,
    ...changes,
});

describe("the order of waiting steps", () => {
    it("should put steps that can meet their deadline before steps that cannot", () => {
        const [onTime, late] = [step({ workMillicoreS: 9_000 }), step({ deadlineWallMs: 500 })];
        assert.deepEqual(orderSteps([late, onTime], 100), [onTime, late]);
    });

    it("should put long-running tasks first", () => {
        const serving = step({ isLongRunning: true, workMillicoreS: 99_000 });
        assert.equal(orderSteps([step({}), serving], 0)[0], serving);
    });

    it("should complete more jobs on time in a surge than first come, first served", () => {
        // One worker gets twenty jobs at once, of one to twenty units of work; each job has to end within sixty units.
        const jobs = Array.from(
            { length: 20 },
            (_, index) =>
                step({ workMillicoreS: 20 - index, submittedWallMs: index / 100, criticalPathMs: 20 - index, deadlineWallMs: 60 }),
        );
        const servedInTime = (ordered: readonly StepOrderInput[]): number => {
            let endMs = 0;
            return ordered.filter(job => (endMs += job.workMillicoreS) <= job.deadlineWallMs).length;
        };
        assert.ok(servedInTime(orderSteps(jobs, 0)) >= 2 * servedInTime(jobs));
    });

    it("should serve the other teams when one team exceeds its share many times", () => {
        // One team submits 20 jobs per second with a share of two, another team submits its two; the capacity is six per second.
        let greedy: ShareTokenBucket | undefined;
        let modest: ShareTokenBucket | undefined;
        const waiting: (StepOrderInput & { team: string })[] = [];
        const started = new Map([["greedy", 0], ["modest", 0]]);
        for (let tenth = 0; tenth < 200; tenth++) {
            const wallMs = tenth * 100;
            for (let each = 0; each < 2; each++) {
                const decision = takeShareToken(greedy, 2, wallMs);
                greedy = decision.bucket;
                waiting.push({
                    ...step({ workMillicoreS: 900, isWithinShare: decision.isWithinShare, deadlineWallMs: 1e6 }),
                    team: "greedy",
                });
            }
            if (tenth % 5 === 0) {
                const decision = takeShareToken(modest, 2, wallMs);
                modest = decision.bucket;
                waiting.push({ ...step({ isWithinShare: decision.isWithinShare, deadlineWallMs: 1e6 }), team: "modest" });
                for (const served of orderSteps(waiting, wallMs).slice(0, 3)) {
                    waiting.splice(waiting.indexOf(served), 1);
                    started.set(served.team, started.get(served.team)! + 1);
                }
            }
        }
        assert.ok(started.get("modest")! >= 38, `jobs of the modest team started: ${started.get("modest")} of 40`);
    });

    it("should distinguish late steps from steps without remaining value", () => {
        assert.deepEqual([0, 1_500, 6_000].map(wallMs => latenessClass(step({}), wallMs)), [0, 1, 2]);
    });
});

const candidate = (changes: Partial<PlacementCandidate>): PlacementCandidate => ({
    workerId: "w",
    rack: "r1",
    zone: "z",
    freeCpuMillicores: 16_000,
    freeMemoryMb: 64_000,
    isStartRecorded: false,
    sameStepCount: 0,
    sameStepOnRackCount: 0,
    longRunningCount: 0,
    longRunningPart: 0,
    suspectsCount: 0,
    ...changes,
});

describe("the placement of tasks", () => {
    const short = { isLongRunning: false, isFiller: false, isSuspect: false, preferredRack: undefined };

    it("should fill one worker before using another, so that whole workers stay empty", () => {
        const [empty, half] = [candidate({ workerId: "empty" }), candidate({ workerId: "half", freeCpuMillicores: 8_000 })];
        assert.equal(placeTask(short, [empty, half]), half);
    });

    it("should spread a long-running step over workers and racks", () => {
        const serving = { ...short, isLongRunning: true };
        const taken = candidate({ sameStepCount: 1, sameStepOnRackCount: 1 });
        const onSameRack = candidate({ sameStepOnRackCount: 1 });
        const otherRack = candidate({ rack: "r2", freeCpuMillicores: 2_000 });
        assert.equal(placeTask(serving, [taken, onSameRack, otherRack]), otherRack);
    });

    it("should put long-running tasks of different steps on the same workers, up to half of their capacity", () => {
        const serving = { ...short, isLongRunning: true };
        const [empty, shared, full] = [
            candidate({ workerId: "empty" }),
            candidate({ workerId: "shared", longRunningCount: 2, longRunningPart: 0.3, freeCpuMillicores: 11_000 }),
            candidate({ workerId: "full", longRunningCount: 5, longRunningPart: 0.6, freeCpuMillicores: 6_000 }),
        ];
        assert.equal(placeTask(serving, [empty, full, shared]), shared);
        assert.equal(placeTask(serving, [empty, full]), empty);
    });

    it("should keep tasks that may have crashed workers apart, and otherwise pay no attention to them", () => {
        const [fuller, apart] = [candidate({ freeCpuMillicores: 2_000, suspectsCount: 1 }), candidate({ workerId: "apart" })];
        assert.equal(placeTask({ ...short, isSuspect: true }, [fuller, apart]), apart);
        assert.equal(placeTask(short, [fuller, apart]), fuller);
    });

    it("should prefer the rack of the data", () => {
        const near = candidate({ rack: "r2", freeCpuMillicores: 15_000 });
        assert.equal(placeTask({ ...short, preferredRack: "r2" }, [candidate({ freeCpuMillicores: 1_000 }), near]), near);
    });
});

describe("the pace of fillers", () => {
    it("should bring a latency-sensitive task below its target within four updates, and keep it there", () => {
        // The tail latency grows with the pace of the fillers, and their effect triples in the middle of the test.
        let percent = 100;
        const overTarget: number[] = [];
        for (let listing = 0; listing < 40; listing++) {
            const tailLatencyMs = 20 + percent * (listing < 20 ? 0.5 : 1.5);
            overTarget.push(...(tailLatencyMs > 60 ? [listing] : []));
            percent = paceFillers(percent, [{ tailLatencyMs, targetMs: 60 }]);
        }
        assert.ok(
            overTarget.every(listing => listing < 4 || (listing >= 20 && listing < 24)),
            `above the target in updates ${overTarget.join(", ")}`,
        );
    });

    it("should let fillers run at full speed without latency-sensitive tasks", () => {
        let percent = 0;
        for (let listing = 0; listing < 10; listing++) {
            percent = paceFillers(percent, []);
        }
        assert.equal(percent, 100);
    });
});
