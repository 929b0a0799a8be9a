/** Several processes' job services on one store in memory, of which the test decides which writes are late or have no response. */
import { Err, Ok, type Result } from "../../src/common/results.js";
import { createManualTimerService, type ManualTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore, StoreError, StoreGuard, StoreWrite, SwapOutcome } from "../../src/connection/platformStore.js";
import { createJobService, type JobService } from "../../src/process/jobService.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { refusalCauses, type RefusalDecision } from "../../src/process/submissionWriter.js";
import { createJobDirectory, type JobDirectory } from "../../src/scheduling/jobDirectory.js";
import { configuredPolicy } from "./jobServiceFixture.js";

export const refusal: RefusalDecision = {
    cause: refusalCauses.withinShare,
    reason: "overload",
    isWithinShare: true,
    retryAfterMs: 4_000,
};

/** What becomes of a process's next write. */
export type Fate = "answered" | "lost" | "late";

export interface FixtureProcess {
    jobs: JobService;
    directory: JobDirectory;
    /** Whether the process would refuse a submission because of load. */
    isOverloaded: boolean;
    /** For the next writes in their order; further ones are answered. */
    fates: Fate[];
    writesCount(): number;
    /** Brings the process's copy of the store up to date. */
    sync(): void;
    unresponsiveForMs: number;
}

export interface RefusalFixture {
    timers: ManualTimerService;
    items: Map<string, { value: string; revision: number }>;
    createProcess(): FixtureProcess;
    /** Lets the store carry out all late writes. */
    deliverLateWrites(): void;
    swap(guards: readonly StoreGuard[], writes: readonly StoreWrite[]): SwapOutcome;
    /** Lets time pass until the operation has ended. */
    finish<T>(operation: Promise<T>): Promise<T>;
}

export function createRefusalFixture(): RefusalFixture {
    const timers = createManualTimerService();
    timers.advance(10_000);
    const items = new Map<string, { value: string; revision: number }>();
    const lateWrites: (() => void)[] = [];
    let revision = 0;
    const swap = (guards: readonly StoreGuard[], writes: readonly StoreWrite[]): SwapOutcome => {
        if (guards.some(({ key, expectedRevision }) => (items.get(key)?.revision ?? 0) !== expectedRevision)) {
            const current = guards.flatMap(({ key }) => items.has(key) ? [{ key, ...items.get(key)! }] : []);
            return { isSwapped: false, revision: 0, current };
        }
        revision += 1;
        writes.forEach(({ key, value }) => value === undefined ? items.delete(key) : items.set(key, { value, revision }));
        return { isSwapped: true, revision, current: [] };
    };

    const createProcess = (): FixtureProcess => {
        const known = new Map<string, { revision: number; atMs: number }>();
        const directory = createJobDirectory({ onUnreadable: key => assertReadable(key) });
        let writesCount = 0;
        const write = (guards: StoreGuard[], writes: StoreWrite[]): Result<SwapOutcome, StoreError> => {
            writesCount += 1;
            const fate = process.fates.shift() ?? "answered";
            if (fate === "late") {
                lateWrites.push(() => void swap(guards, writes));
                return Err({ call: "swap", reason: "timeout" });
            }
            const outcome = swap(guards, writes);
            return fate === "answered" ? Ok(outcome) : Err({ call: "swap", reason: "timeout" });
        };
        const store = {
            swap: (guards: StoreGuard[], writes: StoreWrite[]) => Promise.resolve(write(guards, writes)),
            read: (key: string) => Promise.resolve(Ok(items.has(key) ? { key, ...items.get(key)! } : undefined)),
            unresponsiveForMs: () => process.unresponsiveForMs,
        } as unknown as ChangeFeedStore;
        const jobs = createJobService({
            store,
            directory,
            directoryAgeMs: () => 100,
            mirroredRevision: key => known.get(key)?.revision ?? 0,
            mirroredAtMs: key => known.get(key)?.atMs,
            admission: { decide: () => process.isOverloaded ? refusal : undefined, onRefused: () => undefined },
            timers,
            logger: createSilentLogger(),
            configurationGuard: () => undefined,
            policy: () => configuredPolicy,
            onConfigurationChanged: () => undefined,
            onProgressRead: () => undefined,
        });
        const sync = (): void => {
            for (const key of new Set([...items.keys(), ...known.keys()])) {
                const item = items.get(key);
                if (item?.revision !== known.get(key)?.revision) {
                    directory.apply(key, item?.value);
                    known.delete(key);
                    if (item) {
                        known.set(key, { revision: item.revision, atMs: timers.nowMs() });
                    }
                }
            }
        };
        const process: FixtureProcess = {
            jobs,
            directory,
            isOverloaded: false,
            fates: [],
            writesCount: () => writesCount,
            sync,
            unresponsiveForMs: 100,
        };
        return process;
    };
    const assertReadable = (key: string): never => {
        throw new Error(`unreadable: ${key}`);
    };
    const finish = async <T>(operation: Promise<T>): Promise<T> => {
        let isOver = false;
        void operation.finally(() => isOver = true);
        while (!isOver) {
            timers.advance(5);
            await new Promise(resolve => setImmediate(resolve));
        }
        return operation;
    };
    return { timers, items, createProcess, deliverLateWrites: () => lateWrites.splice(0).forEach(deliver => deliver()), swap, finish };
}
