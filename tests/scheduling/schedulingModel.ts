/**
 * A small world around the real scheduler: two owners one after the other, two workers, a store, and orders that are
 * answered, lost, or carried out late. A run of it is a list of actions, so that an explorer can try all of them.
 */
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { decodeProgress, encodeProgress, encodeSubmission, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { possibleWorkerIds, sendPersistedStarts } from "../../src/scheduling/plannedStarts.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, runEnds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { snapshotStates, type WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { describeModelWorker, describeOrder, describeOwner } from "./describeScheduler.js";
import type { FaultInjection } from "./faultInjection.js";
import { possibleActions } from "./modelActions.js";
import { entryOf, modelPolicy, modelSubmission } from "./modelJob.js";
import type { ModelOwner, OpenOrder } from "./modelOwner.js";
import { createModelWorker, type ModelWorker } from "./modelWorker.js";

const tickMs = 1_000;
const workerLeaseMs = 2_000;
const startValidityMs = 1_500;
const ownerContinuationMs = 2_000;
/** The scheduler's own allowances for slow clocks are below one tick. */
const unknownLeaseMs = ownerContinuationMs + workerLeaseMs + tickMs;
const tokens = [10, 20];

export interface SchedulingModel {
    /** Actions that are possible now. */
    actions(): string[];
    perform(action: string): void;
    /** Tells states apart. */
    key(): string;
    /** The first promise that was broken. */
    violation(): string | undefined;
    progress(): JobProgress | undefined;
}

/** `footprint` is what the store holds of the job's workers from before the first owner. */
export function createSchedulingModel(breakage: FaultInjection, footprint: readonly string[] = []): SchedulingModel {
    let nowMs = 0;
    let violation: string | undefined;
    let crashesLeft = 1;
    let lossesLeft = 2;
    let unansweredSavesLeft = 1;
    let cutsLeft = 1;
    let stored: JobProgress | undefined = footprint.length === 0 ? undefined : { state: jobStates.queued, workerIds: [...footprint] };
    let highestTerm = tokens[0]!;
    const notes = new Map<string, WorkerSnapshot>();
    const doneTasks = new Set<string>();
    const acknowledgedDone = new Set<string>();
    let orders: OpenOrder[] = [];
    const workers: ModelWorker[] = ["w1", "w2"].map(id =>
        createModelWorker(id, taskName => checkStart(taskName), taskName => doneTasks.add(taskName))
    );
    const owners: ModelOwner[] = [];

    const moment = (): Moment => ({ nowMs, wallMs: nowMs });
    const workerOf = (id: string): ModelWorker => workers.find(worker => worker.id === id)!;
    const fail = (text: string): void => {
        violation ??= text;
    };

    /** Notes of silent workers are written at once, by the present owner only. */
    const changeNote = (owner: ModelOwner, command: SchedulerCommand): void => {
        if (owner.token === highestTerm && command.kind === commandKinds.writeSnapshot) {
            notes.set(command.workerId, command.snapshot);
            owner.scheduler.snapshotStateChanged(command.workerId, snapshotStates.written);
        }
        else if (owner.token === highestTerm && command.kind === commandKinds.removeSnapshot) {
            notes.delete(command.workerId);
            owner.scheduler.snapshotStateChanged(command.workerId, snapshotStates.none);
        }
    };

    const pump = (index: number): void => {
        const owner = owners[index]!;
        const mayOrder = owner.lostAtMs === undefined || nowMs - owner.lostAtMs < ownerContinuationMs;
        if (mayOrder) {
            owner.scheduler.step(moment());
        }
        if (breakage.startsBeforeSaving) {
            const { state } = owner.scheduler;
            for (const job of state.jobs.values()) {
                job.persistedWorkerIds = possibleWorkerIds(job);
                sendPersistedStarts(state, job, nowMs);
            }
        }
        for (const command of owner.scheduler.takeCommands()) {
            changeNote(owner, command);
            if (mayOrder && (command.kind === commandKinds.start || command.kind === commandKinds.stop)) {
                orders.push({ owner: index, command, sentAtMs: nowMs, isLate: false });
            }
        }
    };

    const addOwner = (token: number): void => {
        const scheduler = createScheduler({
            policy: modelPolicy,
            term: { token, startedWallMs: nowMs, unknownWorkersUntilMs: nowMs + unknownLeaseMs },
            workerLeaseMs,
            taskStopMs: tickMs,
            unknownLeaseMs: breakage.takesOverWithoutWaiting ? -1 : unknownLeaseMs,
            onDecision: () => undefined,
        });
        scheduler.addJob(encodeSubmission(modelSubmission), stored && encodeProgress(stored), false, nowMs);
        workers.forEach(worker => scheduler.registerWorker(entryOf(worker), moment()));
        notes.forEach(note => scheduler.restoreSnapshot(note, true, moment()));
        owners.push({ token, scheduler, isProven: true, startedAtMs: nowMs, lostAtMs: undefined, partitionedFrom: new Set() });
    };

    const execute = (order: OpenOrder): boolean => {
        const worker = workerOf(order.command.run.workerId);
        const { taskName, runId } = order.command.run;
        const { token } = owners[order.owner]!;
        return order.command.kind === commandKinds.start ?
            worker.start({ taskName, runId, token, untilMs: order.sentAtMs + startValidityMs }, nowMs) :
            worker.stop({ taskName, runId, token });
    };
    const checkStart = (taskName: string): void => {
        if (workers.some(each => each.running.has(taskName))) {
            fail(`${taskName} runs twice`);
        }
        if (acknowledgedDone.has(taskName)) {
            fail(`${taskName} starts after its end was acknowledged`);
        }
        if (taskName === "job.0.1.0" && !doneTasks.has("job.0.0.0")) {
            fail("a step starts before the one that it depends on is done");
        }
    };

    const answer = (order: OpenOrder, outcome: "accepted" | "refused" | "unknown"): void => {
        const { scheduler } = owners[order.owner]!;
        const { run, kind } = order.command;
        if (kind === commandKinds.start) {
            const told = breakage.retriesUnansweredStarts && outcome === "unknown" ? commandOutcomes.refused : commandOutcomes[outcome];
            scheduler.startResponseReceived(run, told, "", moment());
        }
        else {
            scheduler.stopResponseReceived(run, commandOutcomes[outcome], moment());
        }
        pump(order.owner);
    };

    const list = (index: number, workerId: string): void => {
        const owner = owners[index]!;
        const worker = workerOf(workerId);
        if (owner.token < worker.highestToken) {
            return;
        }
        worker.highestToken = owner.token;
        const seen = owner.scheduler.state.workers.get(workerId);
        const acknowledged = breakage.acknowledgesBeforeSaving ? seen?.lastEndNumber ?? 0 : owner.scheduler.acknowledgedEndNumber(workerId);
        for (const end of worker.ends.filter(each => each.endNumber <= acknowledged && each.end === runEnds.done)) {
            acknowledgedDone.add(end.taskName);
        }
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledged);
        if (owner.scheduler.mayExtendLeases(workerId)) {
            owner.scheduler.leaseExtensionSent(workerId, workerLeaseMs, nowMs);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + workerLeaseMs);
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        // The listing was asked for after every answer so far.
        owner.scheduler.listingReceived(
            workerId,
            { bornWallMs: worker.bornWallMs, running, ended: [...worker.ends] },
            nowMs + 0.5,
            moment(),
        );
        pump(index);
    };

    const save = (index: number, isAnswered: boolean): void => {
        const owner = owners[index]!;
        for (const job of owner.scheduler.takeUnsavedJobs(10)) {
            if (owner.token < highestTerm) {
                owner.scheduler.progressSaveFailed(job.jobId);
                return;
            }
            stored = decodeProgress(encodeProgress(job.progress));
            if (stored.state === jobStates.completed && doneTasks.size < 2) {
                fail("the job shows as completed before its tasks are done");
            }
            if (isAnswered) {
                owner.scheduler.progressSaved(job.jobId, job.version, nowMs);
            }
            else {
                owner.scheduler.progressSaveFailed(job.jobId);
            }
        }
        pump(index);
    };

    const tick = (): void => {
        nowMs += tickMs;
        for (const worker of workers) {
            if (nowMs > worker.leaseEndsAtMs) {
                [...worker.running.keys()].forEach(taskName => worker.end(taskName, runEnds.lapsed));
            }
        }
        orders.filter(order => !order.isLate).forEach(order => {
            order.isLate = true;
            answer(order, "unknown");
        });
        owners.forEach((_, index) => pump(index));
    };

    const crash = (worker: ModelWorker): void => {
        crashesLeft -= 1;
        worker.restart();
        // Orders end with the connections to the old life. Only an owner that still calls may reach the new one with an order
        // that waited for a connection.
        orders = orders.filter(order =>
            order.command.run.workerId !== worker.id || (!order.isLate && owners[order.owner]!.token === highestTerm)
        );
        owners.filter(owner => !owner.partitionedFrom.has(worker.id)).forEach(owner =>
            owner.scheduler.registerWorker(entryOf(worker), moment())
        );
        owners.forEach((_, index) => pump(index));
    };

    addOwner(tokens[0]!);

    const handlers: Record<string, (argument: string, second: string) => void> = {
        deliver: index => {
            const [order] = orders.splice(Number(index), 1);
            answer(order!, execute(order!) ? "accepted" : "refused");
        },
        loseAnswer: index => {
            lossesLeft -= 1;
            const [order] = orders.splice(Number(index), 1);
            execute(order!);
            answer(order!, "unknown");
        },
        late: index => void execute(orders.splice(Number(index), 1)[0]!),
        list: (index, workerId) => list(Number(index), workerId),
        save: index => save(Number(index), true),
        saveUnanswered: index => {
            unansweredSavesLeft -= 1;
            save(Number(index), false);
        },
        finish: workerId => {
            const worker = workerOf(workerId);
            worker.end([...worker.running.keys()][0]!, runEnds.done);
        },
        crash: workerId => crash(workerOf(workerId)),
        cut: (index, workerId) => {
            cutsLeft -= 1;
            owners[Number(index)]!.partitionedFrom.add(workerId);
        },
        takeOver: () => {
            owners[0]!.isProven = false;
            owners[0]!.scheduler.setOwnershipProven(breakage.expiresLeasesWithoutProof === true);
            owners[0]!.lostAtMs = nowMs;
            highestTerm = tokens[1]!;
            addOwner(tokens[1]!);
            pump(1);
        },
        tick,
    };

    return {
        progress: () => stored,
        violation: () => violation,
        actions: () =>
            possibleActions({
                nowMs,
                orders,
                owners,
                workers,
                ownerContinuationMs,
                crashesLeft,
                lossesLeft,
                unansweredSavesLeft,
                partitionsLeft: cutsLeft,
            }),
        perform: action => {
            const [name, first, second] = action.split(" ");
            handlers[name!]!(first ?? "", second ?? "");
        },
        key: () =>
            JSON.stringify([
                nowMs,
                crashesLeft,
                lossesLeft,
                unansweredSavesLeft,
                cutsLeft,
                stored,
                [...doneTasks],
                [...acknowledgedDone],
                orders.map(describeOrder),
            ]) +
            JSON.stringify([workers.map(describeModelWorker), owners.map(describeOwner), [...notes]]),
    };
}
