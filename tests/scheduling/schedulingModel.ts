/**
 * A model around the real scheduler: two successive owners, two workers, a store, and commands that are answered, lost or
 * executed late. A run of the model is a list of actions, so that an explorer can try all of them.
 */
import { encodeProgress, encodeSubmission, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { possibleWorkerIds, sendPersistedStarts } from "../../src/scheduling/plannedStarts.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, runEnds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { snapshotStates, type WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { describeModelWorker, describeOwner, describePendingCommand } from "./describeScheduler.js";
import { assumeListed, type FaultInjection, injectIntoProgress } from "./faultInjection.js";
import { possibleActions } from "./modelActions.js";
import { createAnswers } from "./modelAnswers.js";
import { createModelGuarantees } from "./modelGuarantees.js";
import { modelPolicy, modelSubmission } from "./modelJob.js";
import { grantedUntilMs, maxGrantedLeaseMs } from "./modelLeases.js";
import { defaultLimits, type ModelLimits } from "./modelLimits.js";
import { createModelListings } from "./modelListings.js";
import { type ModelOwner, type PendingCommand, registerWorkers, sentWith, startTokenOf } from "./modelOwner.js";
import { createSaveActions } from "./modelSaves.js";
import { createModelStore, describePendingSave } from "./modelStore.js";
import { createModelWorker, type ModelWorker } from "./modelWorker.js";
import { createWorkerActions } from "./modelWorkerActions.js";
import { isUnpreventable, markSettledStarts } from "./settledStarts.js";

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
    const pendingCommands: PendingCommand[] = [];
    /** Former incarnations of the workers whose restart the store does not show yet. */
    const unnoticed = new Map<string, number>();
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
        if (faults.startsBeforeFirstListing) {
            owner.scheduler.state.workers.forEach(assumeListed);
        }
        if (faults.startsBeforeSaving) {
            const { state } = owner.scheduler;
            for (const job of state.jobs.values()) {
                job.persistedWorkerIds = possibleWorkerIds(state, job);
                sendPersistedStarts(state, job, nowMs);
            }
        }
        for (const command of owner.scheduler.takeCommands()) {
            changeSnapshot(owner, command);
            if (maySendCommands && (command.kind === commandKinds.start || command.kind === commandKinds.stop)) {
                pendingCommands.push({
                    owner: index,
                    command,
                    isLate: false,
                    isSettled: false,
                    ...sentWith(owner, workerOf(command.run.workerId), nowMs, faults),
                    ...(command.kind === commandKinds.start ? { token: startTokenOf(owner, command.run.workerId, faults) } : {}),
                });
            }
        }
    };

    const addOwner = (): void => {
        const token = store.highestTerm + tokenStep;
        store.highestTerm = token;
        const scheduler = createScheduler({
            policy: modelPolicy,
            term: {
                token,
                unknownWorkersUntilMs: nowMs + unknownForMs,
                formerOwnersEndAtMs: owners.length > 0 && !faults.takesOverWithoutWaiting ? nowMs + ownershipGracePeriodMs : undefined,
            },
            workerLeaseMs,
            maxWorkerLeaseMs: faults.trustsRequestedLeases ? workerLeaseMs : maxGrantedLeaseMs,
            taskStopMs: tickMs,
            onDecision: () => undefined,
        });
        const stored = injectIntoProgress(faults, store.progress());
        scheduler.addJob(encodeSubmission(modelSubmission), stored && encodeProgress(stored), false, nowMs);
        const known = workers.filter(({ leftAtMs }) => nowMs - (leftAtMs ?? nowMs) < unknownLeaseMs);
        registerWorkers(scheduler, known, unnoticed, moment());
        snapshots.forEach(({ snapshot, writtenAtMs }, workerId) =>
            scheduler.restoreSnapshot(snapshot, workerOf(workerId).leftAtMs === undefined, writtenAtMs, moment())
        );
        scheduler.restoreSuspectStarts(moment());
        const listings = { unansweredListings: new Map<string, "open" | "failed">(), reachedIncarnations: new Map<string, number>() };
        const partitionedFrom = new Set<string>();
        owners.push({ token, scheduler, isProven: true, startedAtMs: nowMs, lostAtMs: undefined, partitionedFrom, ...listings });
    };

    const execute = (pending: PendingCommand): boolean => {
        const worker = workerOf(pending.command.run.workerId);
        const { token, command: { run: { taskName, runId } } } = pending;
        if (pending.command.kind === commandKinds.stop) {
            return worker.stop({ taskName, runId, token });
        }
        const runsBefore = new Map(worker.running);
        const { sentAtMs, bornWallMs } = pending;
        const untilMs = grantedUntilMs(worker, { untilMs: sentAtMs + startValidityMs, bornWallMs }, nowMs);
        const isAccepted = worker.start({ taskName, runId, token, untilMs }, nowMs);
        if (isAccepted && runsBefore.get(taskName) !== runId && !pending.isSentBeforeShrinkage) {
            guarantees.checkRoom(worker, runsBefore.size);
        }
        if (isAccepted && taskName === deadlyTask) {
            crash(worker);
        }
        return isAccepted;
    };
    const answer = createAnswers({ owners, faults, moment, workerOf, stepOwner });

    const listings = createModelListings({ owners, left, faults, workerLeaseMs, acknowledgedDone, moment, workerOf, stepOwner });

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
        owners.forEach(({ unansweredListings }) => [...unansweredListings.keys()].forEach(id => unansweredListings.set(id, "failed")));
        owners.forEach((_, index) => stepOwner(index));
    };

    const { crash, handlers: workerHandlers } = createWorkerActions({
        ...{ workers, owners, unnoticed, left, faults, moment, stepOwner, endFirstRun },
        commands: () => pendingCommands,
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
        ...listings.handlers,
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
        /** Ends all faults: the current owner holds its lease, reaches every worker, and sees their entries. */
        recover: () => {
            const owner = owners.at(-1)!;
            owner.partitionedFrom.clear();
            setProven(owner, true);
            workers.filter(worker => worker.capacity === 0).forEach(worker => workerHandlers.grow(worker.id));
            workers.filter(worker => worker.leftAtMs === undefined).forEach(worker => workerHandlers.notice(worker.id));
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
                isUnpreventable: pending => isUnpreventable(pending, owners.at(-1)!, workerOf(pending.command.run.workerId), nowMs),
                pendingListings: listings.pending,
                mayCarryOut: listings.mayCarryOut,
                unnoticed,
                ...{ owners, workers, ownershipGracePeriodMs },
                left,
                pendingSaves: store.pendingSaves,
            }),
        perform: action => {
            const [name, first, second] = action.split(" ");
            handlers[name!]!(first ?? "", second ?? "");
            markSettledStarts(pendingCommands, owners.at(-1)!, workerOf, ({ sentAtMs }) => nowMs > sentAtMs + startValidityMs);
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
                listings.pending,
                [...unnoticed],
            ]) +
            JSON.stringify([workers.map(describeModelWorker), owners.map(describeOwner), [...snapshots]]),
    };
}
