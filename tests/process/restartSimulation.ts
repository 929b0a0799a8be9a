/**
 * Tasks on workers that restart under their ids and are cut off soon after, on a simulated clock, while the owner of the scheduling is
 * killed and commands are carried out late. Each life of a worker has its own clock, and grants leases of up to 10 s. Records runs of a
 * task that overlap, and starts after an end as done that was acknowledged.
 */
import { defaultStep } from "../../harness/defaultStep.js";
import type { SeededRandom } from "../../harness/random.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { Logger } from "../../src/process/logger.js";
import { decodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import { entryOf, modelPolicy } from "../scheduling/modelJob.js";
import { createModelWorker, type ModelWorker } from "../scheduling/modelWorker.js";
import { createEndLedger } from "./endLedger.js";
import { interruptStore } from "./interruptedStore.js";
import type { CallKind, WorkerCall } from "./lateCommands.js";
import { type SimulatedProcess, startSimulatedProcess } from "./simulatedProcess.js";
import { createSimulatedStore } from "./simulatedStore.js";
import { type CallFault, createWorkerConnector } from "./simulatedWorkerClient.js";

export interface RestartSimulationOptions {
    random: SeededRandom;
    /** How many tasks each worker has room for. */
    capacities: readonly number[];
    /** Faults of calls that are not held on purpose. */
    chooseFault?(call: WorkerCall): CallFault | undefined;
}

export interface JobOptions {
    tasksCount?: number;
    /** How long the tasks run; `undefined` if they run until they are stopped. */
    durationMs?: number;
    estimatedDurationMs?: number;
}

export interface RestartOptions {
    /** What the clock of the new life shows when it begins. */
    clockMs: number;
    /** How long after that the store shows the new life. */
    entryDelayMs?: number;
}

export interface RestartSimulation {
    nowMs(): number;
    run(durationMs: number): Promise<void>;
    /** Runs until the condition holds; throws with the decisions if it does not within half a minute. */
    runUntil(what: string, holds: () => boolean): Promise<void>;
    submit(jobId: string, job: JobOptions): void;
    workers: readonly ModelWorker[];
    /** The worker that runs the task, whether or not it is in touch. */
    workerOf(taskName: string): ModelWorker | undefined;
    startsCount(taskName: string): number;
    jobState(jobId: string): string | undefined;
    setCapacity(worker: ModelWorker, capacity: number): void;
    /** The worker ends without a sign, and starts again under its id after a time in which it is dark. */
    restart(worker: ModelWorker, options: RestartOptions): void;
    /** No call gets through to the worker, and it writes no entry; it runs on. */
    cut(worker: ModelWorker, durationMs: number): void;
    /** Ends the process that owns the scheduling; another one starts on its node after a while. */
    killOwner(returnsAfterMs: number): void;
    /** The next call of this kind to the worker gets no response, and is carried out after this time, if at all. */
    hold(kind: CallKind, worker: ModelWorker, carriedOutAfterMs: number | undefined): void;
    /** How many of the held calls have been made. */
    heldCount(): number;
    /** How many commands were not carried out late because no owner could have prevented their effect. */
    leftOutCount(): number;
    /** How many late listings extended no lease for that reason. */
    leasesLeftOutCount(): number;
    violations: string[];
    /** What the owners decided, one line each. */
    decisions: string[];
    termsCount(): number;
    close(): void;
}

export const darkMs = 600;
/** Longest lease that the workers grant. */
export const grantedLeaseMs = 10_000;
const turnMs = 20;
const maxWaitMs = 30_000;
const nodeNames = ["node0", "node1", "node2"];
const entryLifetimeMs = 3_000;
const firstClockMs = 500_000;

export function createRestartSimulation(options: RestartSimulationOptions): RestartSimulation {
    const { random } = options;
    const timers = createManualTimerService();
    const store = createSimulatedStore(timers, random, false);
    const processes: SimulatedProcess[] = [];
    const decisions: string[] = [];
    const violations: string[] = [];
    const down = new Set<ModelWorker>();
    const unregistered = new Set<ModelWorker>();
    const cutUntilMs = new Map<ModelWorker, number>();
    const durationsMs = new Map<string, number>();
    const startedAtMs = new Map<string, number>();
    const startsByTask = new Map<string, number>();
    const heldCalls: { kind: CallKind; worker: ModelWorker; carriedOutAfterMs: number | undefined }[] = [];
    let heldCount = 0;
    let leftOutCount = 0;
    let leasesLeftOutCount = 0;
    let termsCount = 0;
    let nextMemberId = 1;

    const ledger = createEndLedger(timers.nowMs, violations);
    const workers: ModelWorker[] = options.capacities.map((capacity, index) => {
        const id = `w${index + 1}`;
        const worker = createModelWorker(
            id,
            taskName => {
                const other = workers.find(each => each.running.has(taskName));
                if (other) {
                    const heldForMs = Math.round(other.leaseEndsAtMs - timers.nowMs());
                    violations.push(
                        `${taskName} starts on ${id} at ${timers.nowMs()} while it runs on ${other.id} for ${heldForMs} ms more`,
                    );
                }
                ledger.recordStart(taskName, id);
                startedAtMs.set(`${id} ${taskName}`, timers.nowMs());
                startsByTask.set(taskName, (startsByTask.get(taskName) ?? 0) + 1);
            },
            () => undefined,
            { maxLeaseMs: grantedLeaseMs, onAcknowledged: ledger.recordAcknowledged },
        );
        worker.capacity = capacity;
        worker.clockOffsetMs = firstClockMs;
        return worker;
    });
    const isCut = (worker: ModelWorker): boolean => (cutUntilMs.get(worker) ?? 0) > timers.nowMs();

    const chooseFault = (call: WorkerCall): CallFault | undefined => {
        const index = heldCalls.findIndex(({ kind, worker }) => kind === call.kind && worker === call.worker);
        if (index < 0) {
            return options.chooseFault?.(call);
        }
        heldCount += 1;
        return heldCalls.splice(index, 1)[0];
    };
    const connectWorker = createWorkerConnector({
        timers,
        random,
        isFault: () => false,
        hasFaults: () => false,
        chooseFault,
        isReachable: (worker, memberId) => !down.has(worker) && !isCut(worker) && !endedMembers.has(memberId),
        isUp: worker => !down.has(worker),
        waitsInFull: true,
        onLeftOut: () => leftOutCount += 1,
        onLeaseLeftOut: () => leasesLeftOutCount += 1,
    });

    const endedMembers = new Set<string>();
    const memberIds = new Map<SimulatedProcess, string>();
    const startProcess = (nodeName: string): void => {
        const memberId = `member${nextMemberId++}`;
        // The code of a process that was killed runs on here, so its calls must not get through.
        const isEnded = (): boolean => endedMembers.has(memberId);
        const logger: Logger = {
            flush: () => undefined,
            log: (_, { what, ...fields } = {}) => {
                if (typeof what === "string" && !isEnded()) {
                    const values = Object.entries(fields).filter(([name, value]) => name !== "jobId" && value !== undefined);
                    decisions.push([timers.nowMs(), what, ...values.map(([name, value]) => `${name}=${String(value)}`)].join("  "));
                }
            },
        };
        const process = startSimulatedProcess({
            nodeName,
            memberId,
            timers,
            random,
            store,
            processStore: interruptStore(store.connect(() => false), timers, isEnded),
            policy: modelPolicy,
            workerEntries: workers.filter(worker => !unregistered.has(worker)).map(entryOf),
            workerLeaseMs: grantedLeaseMs,
            connectWorker: entry => connectWorker(workers.find(worker => worker.id === entry.workerId)!, memberId),
            logger,
            onUnreadable: (key, reason) => violations.push(`${key}: ${reason}`),
            onTermStarted: () => {
                termsCount += 1;
                decisions.push(`${timers.nowMs()}  ${nodeName} owns the scheduling`);
            },
        });
        memberIds.set(process, memberId);
        processes.push(process);
    };

    const publish = (worker: ModelWorker): void => {
        if (!down.has(worker) && !isCut(worker)) {
            unregistered.delete(worker);
            processes.forEach(({ service }) => service.onWorkerChanged(worker.id, entryOf(worker)));
        }
    };
    const expireEntry = (worker: ModelWorker): void => {
        if (isCut(worker)) {
            unregistered.add(worker);
            processes.forEach(({ service }) => service.onWorkerChanged(worker.id, undefined));
        }
    };

    const advanceWorkers = (): void => {
        for (const worker of workers) {
            const isLapsed = timers.nowMs() > worker.leaseEndsAtMs;
            if (isLapsed) {
                ledger.recordLapse(worker.ends);
            }
            for (const taskName of [...worker.running.keys()]) {
                const durationMs = durationsMs.get(taskName.split(".")[0]!) ?? Number.POSITIVE_INFINITY;
                if (isLapsed) {
                    worker.end(taskName, runEnds.lapsed);
                }
                else if (timers.nowMs() - startedAtMs.get(`${worker.id} ${taskName}`)! >= durationMs) {
                    worker.end(taskName, runEnds.done);
                    ledger.recordDone(worker.id, worker.ends.at(-1)!);
                }
            }
        }
    };
    const run = async (durationMs: number): Promise<void> => {
        const untilMs = timers.nowMs() + durationMs;
        while (timers.nowMs() < untilMs) {
            timers.advance(turnMs);
            advanceWorkers();
            processes.forEach(each => each.follow());
            for (let turn = 0; turn < 3; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };

    nodeNames.forEach(startProcess);
    return {
        nowMs: timers.nowMs,
        run,
        runUntil: async (what, holds) => {
            const untilMs = timers.nowMs() + maxWaitMs;
            while (!holds()) {
                if (timers.nowMs() >= untilMs) {
                    throw new Error([`not within ${maxWaitMs} ms: ${what}`, ...decisions].join("\n"));
                }
                await run(turnMs);
            }
        },
        submit: (jobId, { tasksCount = 1, durationMs, estimatedDurationMs = 60_000 }) => {
            if (durationMs !== undefined) {
                durationsMs.set(jobId, durationMs);
            }
            const steps = [{ ...defaultStep, taskCount: tasksCount, isLongRunning: durationMs === undefined, estimatedDurationMs }];
            const submittedWallMs = timers.wallClockMs();
            const submission = { jobId, queueName: "queue", teamName: undefined, payload: "", steps, repeat: undefined, submittedWallMs };
            store.put(jobKeys.submissionPrefix + jobId, encodeSubmission(submission));
        },
        workers,
        workerOf: taskName => workers.find(each => each.running.has(taskName)),
        startsCount: taskName => startsByTask.get(taskName) ?? 0,
        jobState: jobId => {
            const progress = store.valueOf(jobKeys.progressPrefix + jobId);
            return progress === undefined ? undefined : decodeProgress(progress).state;
        },
        setCapacity: (worker, capacity) => {
            worker.capacity = capacity;
            publish(worker);
        },
        restart: (worker, { clockMs, entryDelayMs = 0 }) => {
            down.add(worker);
            worker.restart();
            worker.leaseEndsAtMs = 0;
            timers.after(darkMs, () => {
                down.delete(worker);
                worker.bornWallMs = timers.wallClockMs();
                worker.clockOffsetMs = clockMs - timers.nowMs();
                timers.after(entryDelayMs, () => publish(worker));
            });
        },
        cut: (worker, durationMs) => {
            cutUntilMs.set(worker, timers.nowMs() + durationMs);
            timers.after(entryLifetimeMs, () => expireEntry(worker));
            timers.after(durationMs, () => publish(worker));
        },
        killOwner: returnsAfterMs => {
            const owner = processes.find(({ ownership }) => ownership.isLeaseValid());
            if (owner) {
                owner.lifetime.abort();
                endedMembers.add(memberIds.get(owner)!);
                processes.splice(processes.indexOf(owner), 1);
                timers.after(returnsAfterMs, () => startProcess(owner.nodeName));
            }
        },
        hold: (kind, worker, carriedOutAfterMs) => void heldCalls.push({ kind, worker, carriedOutAfterMs }),
        heldCount: () => heldCount,
        leftOutCount: () => leftOutCount,
        leasesLeftOutCount: () => leasesLeftOutCount,
        violations,
        decisions,
        termsCount: () => termsCount,
        close: () => processes.forEach(({ lifetime }) => lifetime.abort()),
    };
}
