/**
 * A model around the real scheduler: two successive owners, two workers, a store, and commands that are answered, lost or
 * executed late. A run of the model is a list of actions, so that an explorer can try all of them.
 */
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { encodeProgress, encodeSubmission, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { possibleWorkerIds, sendPersistedStarts } from "../../src/scheduling/plannedStarts.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, runEnds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { snapshotStates, type WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { describeModelWorker, describeOwner, describePendingCommand } from "./describeScheduler.js";
import { type FaultInjection, injectIntoProgress } from "./faultInjection.js";
import { possibleActions } from "./modelActions.js";
import { createModelGuarantees } from "./modelGuarantees.js";
import { modelPolicy, modelSubmission } from "./modelJob.js";
import { defaultLimits, type ModelLimits } from "./modelLimits.js";
import { type ModelOwner, type PendingCommand, registerWorkers } from "./modelOwner.js";
import { createSaveActions } from "./modelSaves.js";
import { createModelStore, describePendingSave } from "./modelStore.js";
import { createModelWorker, type ModelWorker } from "./modelWorker.js";
import { createWorkerActions } from "./modelWorkerActions.js";

const tickMs = 1_000;
const workerLeaseMs = 2_000;
const startValidityMs = 1_500;
const ownershipGracePeriodMs = 2_000;
/** One tick is longer than the scheduler's own allowances for slow clocks. */
const unknownLeaseMs = ownershipGracePeriodMs + workerLeaseMs + tickMs;
const tokenStep = 10;

export interface SchedulingModel {
    /** Actions that are possible in the current state. */
    actions(): string[];
    perform(action: string): void;
    /** Identifies the current state. */
    key(): string;
    /** The first guarantee that was violated. */
    violation(): string | undefined;
    progress(): JobProgress | undefined;
    /** Index of the owner of the newest term. */
    currentOwner(): number;
    /** Number of runs that have ended as failed, for the task for which it is highest. */
    failedRunsCount(): number;
    /** Number of starts of the deadly task. */
    deadlyStartsCount(): number;
}

/**
 * `storedWorkerIds` are the workers that the store lists for the job when the first owner begins; `deadlyTask` crashes each worker
 * that starts it.
 */
export function createSchedulingModel(
    faults: FaultInjection,
    storedWorkerIds: readonly string[] = [],
    limits: ModelLimits = defaultLimits,
    deadlyTask?: string,
): SchedulingModel {
    const left = { ...limits };
    const unknownForMs = faults.takesOverWithoutWaiting ? -1 : unknownLeaseMs;
    let nowMs = 0;
    const guarantees = createModelGuarantees(deadlyTask);
    const { doneTasks, acknowledgedDone, failedRuns, endFirstRun } = guarantees;
    const snapshots = new Map<string, { snapshot: WorkerSnapshot; writtenAtMs: number }>();
    let pendingCommands: PendingCommand[] = [];
    const workers: ModelWorker[] = ["w1", "w2"].map(id =>
        createModelWorker(id, taskName => guarantees.checkStart(taskName, workers), taskName => doneTasks.add(taskName))
    );
    const owners: ModelOwner[] = [];
    const store = createModelStore(
        storedWorkerIds.length === 0 ? undefined : { state: jobStates.queued, workerIds: [...storedWorkerIds] },
        guarantees.checkStored,
    );

    const moment = (): Moment => ({ nowMs, wallMs: nowMs });
    const workerOf = (id: string): ModelWorker => workers.find(worker => worker.id === id)!;

    /** Snapshots of unresponsive workers are written at once, and only by the current owner. */
    const changeSnapshot = (owner: ModelOwner, command: SchedulerCommand): void => {
        if (owner.token === store.highestTerm && command.kind === commandKinds.writeSnapshot) {
            snapshots.set(command.workerId, { snapshot: command.snapshot, writtenAtMs: nowMs });
            owner.scheduler.snapshotStateChanged(command.workerId, snapshotStates.written);
        }
        else if (owner.token === store.highestTerm && command.kind === commandKinds.removeSnapshot) {
            snapshots.delete(command.workerId);
            owner.scheduler.snapshotStateChanged(command.workerId, snapshotStates.none);
        }
    };

    const stepOwner = (index: number): void => {
        const owner = owners[index]!;
        const maySendCommands = owner.lostAtMs === undefined || nowMs - owner.lostAtMs < ownershipGracePeriodMs;
        if (maySendCommands) {
            owner.scheduler.step(moment());
        }
        if (faults.startsBeforeSaving) {
            const { state } = owner.scheduler;
            for (const job of state.jobs.values()) {
                job.persistedWorkerIds = possibleWorkerIds(job);
                sendPersistedStarts(state, job, nowMs);
            }
        }
        for (const command of owner.scheduler.takeCommands()) {
            changeSnapshot(owner, command);
            if (maySendCommands && (command.kind === commandKinds.start || command.kind === commandKinds.stop)) {
                const token = owner.scheduler.commandToken(command.run.workerId);
                pendingCommands.push({ owner: index, token, command, sentAtMs: nowMs, isLate: false });
            }
        }
    };

    const addOwner = (): void => {
        const token = store.highestTerm + tokenStep;
        store.highestTerm = token;
        const scheduler = createScheduler({
            policy: modelPolicy,
            term: { token, unknownWorkersUntilMs: nowMs + unknownForMs },
            ...{ workerLeaseMs, maxWorkerLeaseMs: workerLeaseMs },
            taskStopMs: tickMs,
            onDecision: () => undefined,
        });
        const stored = injectIntoProgress(faults, store.progress());
        scheduler.addJob(encodeSubmission(modelSubmission), stored && encodeProgress(stored), false, nowMs);
        registerWorkers(scheduler, workers.filter(({ leftAtMs }) => nowMs - (leftAtMs ?? nowMs) < unknownLeaseMs), moment());
        snapshots.forEach(({ snapshot, writtenAtMs }, workerId) =>
            scheduler.restoreSnapshot(snapshot, workerOf(workerId).leftAtMs === undefined, writtenAtMs, moment())
        );
        scheduler.restoreSuspectStarts(moment());
        owners.push({ token, scheduler, isProven: true, startedAtMs: nowMs, lostAtMs: undefined, partitionedFrom: new Set() });
    };

    const execute = (pending: PendingCommand): boolean => {
        const worker = workerOf(pending.command.run.workerId);
        const { token, command: { run: { taskName, runId } } } = pending;
        if (pending.command.kind === commandKinds.stop) {
            return worker.stop({ taskName, runId, token });
        }
        const runsBefore = new Map(worker.running);
        const isAccepted = worker.start({ taskName, runId, token, untilMs: pending.sentAtMs + startValidityMs }, nowMs);
        if (isAccepted && runsBefore.get(taskName) !== runId && !pending.isSentBeforeShrinkage) {
            guarantees.checkRoom(worker, runsBefore.size);
        }
        if (isAccepted && taskName === deadlyTask) {
            crash(worker);
        }
        return isAccepted;
    };
    const answer = (pending: PendingCommand, outcome: "accepted" | "refused" | "unknown"): void => {
        const { scheduler } = owners[pending.owner]!;
        const { run, kind } = pending.command;
        if (kind === commandKinds.start) {
            const reportedOutcome = faults.retriesUnansweredStarts && outcome === "unknown" ?
                commandOutcomes.refused :
                commandOutcomes[outcome];
            scheduler.startResponseReceived(run, reportedOutcome, "", moment());
        }
        else {
            scheduler.stopResponseReceived(run, commandOutcomes[outcome], moment());
        }
        stepOwner(pending.owner);
    };

    const list = (index: number, workerId: string): void => {
        const owner = owners[index]!;
        const worker = workerOf(workerId);
        const token = owner.scheduler.commandToken(workerId);
        if (token < worker.highestToken) {
            return;
        }
        worker.highestToken = token;
        const record = owner.scheduler.state.workers.get(workerId);
        const acknowledged = faults.acknowledgesBeforeSaving ? record?.lastEndNumber ?? 0 : owner.scheduler.acknowledgedEndNumber(workerId);
        const acknowledgedEnds = worker.ends.filter(each => each.endNumber <= acknowledged && each.end === runEnds.done);
        acknowledgedEnds.forEach(end => acknowledgedDone.add(end.taskName));
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledged);
        if (owner.scheduler.mayExtendLeases(workerId)) {
            owner.scheduler.leaseExtensionSent(workerId, workerLeaseMs, nowMs);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, nowMs + workerLeaseMs);
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        // The listing was requested after all responses so far.
        owner.scheduler.listingReceived(
            workerId,
            { bornWallMs: worker.bornWallMs, running, ended: [...worker.ends] },
            nowMs + 0.5,
            moment(),
        );
        stepOwner(index);
    };

    const setProven = (owner: ModelOwner, isProven: boolean): void => {
        owner.isProven = isProven;
        owner.scheduler.setOwnershipProven(isProven);
    };
    const tick = (): void => {
        nowMs += tickMs;
        for (const worker of workers) {
            if (nowMs > worker.leaseEndsAtMs) {
                [...worker.running.keys()].forEach(taskName => worker.end(taskName, runEnds.lapsed));
            }
        }
        pendingCommands.filter(pending => !pending.isLate).forEach(pending => {
            pending.isLate = true;
            answer(pending, "unknown");
        });
        owners.forEach((_, index) => stepOwner(index));
    };

    const { crash, handlers: workerHandlers } = createWorkerActions({
        ...{ workers, owners, store, left, faults, moment, stepOwner, endFirstRun },
        commands: () => pendingCommands,
        setCommands: commands => pendingCommands = commands,
    });

    addOwner();

    const handlers: Record<string, (argument: string, second: string) => void> = {
        deliver: index => {
            const [pending] = pendingCommands.splice(Number(index), 1);
            answer(pending!, execute(pending!) ? "accepted" : "refused");
        },
        loseResponse: index => {
            left.losses -= 1;
            const [pending] = pendingCommands.splice(Number(index), 1);
            execute(pending!);
            answer(pending!, "unknown");
        },
        late: index => void execute(pendingCommands.splice(Number(index), 1)[0]!),
        list: (index, workerId) => list(Number(index), workerId),
        ...createSaveActions({ store, owners, left, faults, nowMs: () => nowMs, stepOwner }),
        ...workerHandlers,
        partition: (index, workerId) => {
            left.partitions -= 1;
            owners[Number(index)]!.partitionedFrom.add(workerId);
        },
        takeOver: () => {
            left.takeOvers -= 1;
            const previous = owners.at(-1)!;
            previous.isProven = false;
            previous.scheduler.setOwnershipProven(faults.expiresLeasesWithoutProof === true);
            previous.lostAtMs = nowMs;
            addOwner();
            stepOwner(owners.length - 1);
        },
        loseLease: () => setProven(owners.at(-1)!, false),
        renewTerm: () => {
            left.renewals -= 1;
            const owner = owners.at(-1)!;
            owner.token = store.highestTerm += tokenStep;
            owner.scheduler.renewTerm(owner.token);
            setProven(owner, true);
            stepOwner(owners.length - 1);
        },
        /** Ends all faults: the current owner holds its lease and reaches every worker. */
        recover: () => {
            const owner = owners.at(-1)!;
            owner.partitionedFrom.clear();
            setProven(owner, true);
            workers.filter(worker => worker.capacity === 0).forEach(worker => workerHandlers.grow(worker.id));
        },
        tick,
    };

    return {
        progress: store.progress,
        currentOwner: () => owners.length - 1,
        deadlyStartsCount: guarantees.deadlyStartsCount,
        failedRunsCount: () => Math.max(0, ...failedRuns.values()),
        violation: guarantees.violation,
        actions: () =>
            possibleActions({
                nowMs,
                pendingCommands,
                owners,
                workers,
                ownershipGracePeriodMs,
                left,
                pendingSaves: store.pendingSaves,
            }),
        perform: action => {
            const [name, first, second] = action.split(" ");
            handlers[name!]!(first ?? "", second ?? "");
        },
        key: () =>
            JSON.stringify([
                guarantees.violation(),
                nowMs,
                left,
                store.progress(),
                store.pendingSaves.map(describePendingSave),
                [...doneTasks],
                [...acknowledgedDone],
                [...failedRuns],
                guarantees.deadlyStartsCount(),
                pendingCommands.map(describePendingCommand),
            ]) +
            JSON.stringify([workers.map(describeModelWorker), owners.map(describeOwner), [...snapshots]]),
    };
}
