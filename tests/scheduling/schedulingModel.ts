/**
 * A model around the real scheduler: two successive owners, two workers, a store, and commands that are answered, lost or
 * executed late. A run of the model is a list of actions, so that an explorer can try all of them.
 */
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { decodeProgress, encodeProgress, encodeSubmission, type JobProgress } from "../../src/scheduling/jobDocuments.js";
import { jobStates } from "../../src/scheduling/jobTypes.js";
import { possibleWorkerIds, sendPersistedStarts } from "../../src/scheduling/plannedStarts.js";
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { commandKinds, runEnds, type SchedulerCommand } from "../../src/scheduling/schedulerState.js";
import { snapshotStates, type WorkerSnapshot } from "../../src/scheduling/unresponsiveWorkers.js";
import { describeModelWorker, describeOwner, describePendingCommand } from "./describeScheduler.js";
import type { FaultInjection } from "./faultInjection.js";
import { possibleActions } from "./modelActions.js";
import { entryOf, modelPolicy, modelSubmission } from "./modelJob.js";
import type { ModelOwner, PendingCommand } from "./modelOwner.js";
import { createModelWorker, type ModelWorker } from "./modelWorker.js";

const tickMs = 1_000;
const workerLeaseMs = 2_000;
const startValidityMs = 1_500;
const ownershipGracePeriodMs = 2_000;
/** One tick is longer than the scheduler's own allowances for slow clocks. */
const unknownLeaseMs = ownershipGracePeriodMs + workerLeaseMs + tickMs;
const tokens = [10, 20];

export interface SchedulingModel {
    /** Actions that are possible in the current state. */
    actions(): string[];
    perform(action: string): void;
    /** Identifies the current state. */
    key(): string;
    /** The first guarantee that was violated. */
    violation(): string | undefined;
    progress(): JobProgress | undefined;
}

/** `storedWorkerIds` are the workers that the store lists for the job when the first owner begins. */
export function createSchedulingModel(faults: FaultInjection, storedWorkerIds: readonly string[] = []): SchedulingModel {
    let nowMs = 0;
    let violation: string | undefined;
    let crashesLeft = 1;
    let lossesLeft = 2;
    let unansweredSavesLeft = 1;
    let partitionsLeft = 1;
    let stored: JobProgress | undefined = storedWorkerIds.length === 0 ?
        undefined :
        { state: jobStates.queued, workerIds: [...storedWorkerIds] };
    let highestTerm = tokens[0]!;
    const snapshots = new Map<string, WorkerSnapshot>();
    const doneTasks = new Set<string>();
    const acknowledgedDone = new Set<string>();
    let pendingCommands: PendingCommand[] = [];
    const workers: ModelWorker[] = ["w1", "w2"].map(id =>
        createModelWorker(id, taskName => checkStart(taskName), taskName => doneTasks.add(taskName))
    );
    const owners: ModelOwner[] = [];

    const moment = (): Moment => ({ nowMs, wallMs: nowMs });
    const workerOf = (id: string): ModelWorker => workers.find(worker => worker.id === id)!;
    const reportViolation = (text: string): void => {
        violation ??= text;
    };

    /** Snapshots of unresponsive workers are written at once, and only by the current owner. */
    const changeSnapshot = (owner: ModelOwner, command: SchedulerCommand): void => {
        if (owner.token === highestTerm && command.kind === commandKinds.writeSnapshot) {
            snapshots.set(command.workerId, command.snapshot);
            owner.scheduler.snapshotStateChanged(command.workerId, snapshotStates.written);
        }
        else if (owner.token === highestTerm && command.kind === commandKinds.removeSnapshot) {
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
                pendingCommands.push({ owner: index, command, sentAtMs: nowMs, isLate: false });
            }
        }
    };

    const addOwner = (token: number): void => {
        const scheduler = createScheduler({
            policy: modelPolicy,
            term: { token, startedWallMs: nowMs, unknownWorkersUntilMs: nowMs + unknownLeaseMs },
            workerLeaseMs,
            taskStopMs: tickMs,
            unknownLeaseMs: faults.takesOverWithoutWaiting ? -1 : unknownLeaseMs,
            onDecision: () => undefined,
        });
        scheduler.addJob(encodeSubmission(modelSubmission), stored && encodeProgress(stored), false, nowMs);
        workers.forEach(worker => scheduler.registerWorker(entryOf(worker), moment()));
        snapshots.forEach(snapshot => scheduler.restoreSnapshot(snapshot, true, moment()));
        owners.push({ token, scheduler, isProven: true, startedAtMs: nowMs, lostAtMs: undefined, partitionedFrom: new Set() });
    };

    const execute = (pending: PendingCommand): boolean => {
        const worker = workerOf(pending.command.run.workerId);
        const { taskName, runId } = pending.command.run;
        const { token } = owners[pending.owner]!;
        return pending.command.kind === commandKinds.start ?
            worker.start({ taskName, runId, token, untilMs: pending.sentAtMs + startValidityMs }, nowMs) :
            worker.stop({ taskName, runId, token });
    };
    const checkStart = (taskName: string): void => {
        if (workers.some(each => each.running.has(taskName))) {
            reportViolation(`${taskName} runs twice`);
        }
        if (acknowledgedDone.has(taskName)) {
            reportViolation(`${taskName} starts after its end was acknowledged`);
        }
        if (taskName === "job.0.1.0" && !doneTasks.has("job.0.0.0")) {
            reportViolation("a step starts before the one that it depends on is done");
        }
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
        if (owner.token < worker.highestToken) {
            return;
        }
        worker.highestToken = owner.token;
        const record = owner.scheduler.state.workers.get(workerId);
        const acknowledged = faults.acknowledgesBeforeSaving ? record?.lastEndNumber ?? 0 : owner.scheduler.acknowledgedEndNumber(workerId);
        for (const end of worker.ends.filter(each => each.endNumber <= acknowledged && each.end === runEnds.done)) {
            acknowledgedDone.add(end.taskName);
        }
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

    const save = (index: number, isAnswered: boolean): void => {
        const owner = owners[index]!;
        for (const job of owner.scheduler.takeUnsavedJobs(10)) {
            if (owner.token < highestTerm) {
                owner.scheduler.progressSaveFailed(job.jobId);
                return;
            }
            stored = decodeProgress(encodeProgress(job.progress));
            if (stored.state === jobStates.completed && doneTasks.size < 2) {
                reportViolation("the job shows as completed before its tasks are done");
            }
            if (isAnswered) {
                owner.scheduler.progressSaved(job.jobId, job.version, nowMs);
            }
            else {
                owner.scheduler.progressSaveFailed(job.jobId);
            }
        }
        stepOwner(index);
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

    const crash = (worker: ModelWorker): void => {
        crashesLeft -= 1;
        worker.restart();
        // Pending commands end with the connections to the old incarnation. Only the current owner, while it still waits for
        // the response, may reach the new incarnation with a command that waited for a connection.
        pendingCommands = pendingCommands.filter(pending =>
            pending.command.run.workerId !== worker.id || (!pending.isLate && owners[pending.owner]!.token === highestTerm)
        );
        owners.filter(owner => !owner.partitionedFrom.has(worker.id)).forEach(owner =>
            owner.scheduler.registerWorker(entryOf(worker), moment())
        );
        owners.forEach((_, index) => stepOwner(index));
    };

    addOwner(tokens[0]!);

    const handlers: Record<string, (argument: string, second: string) => void> = {
        deliver: index => {
            const [pending] = pendingCommands.splice(Number(index), 1);
            answer(pending!, execute(pending!) ? "accepted" : "refused");
        },
        loseResponse: index => {
            lossesLeft -= 1;
            const [pending] = pendingCommands.splice(Number(index), 1);
            execute(pending!);
            answer(pending!, "unknown");
        },
        late: index => void execute(pendingCommands.splice(Number(index), 1)[0]!),
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
        partition: (index, workerId) => {
            partitionsLeft -= 1;
            owners[Number(index)]!.partitionedFrom.add(workerId);
        },
        takeOver: () => {
            owners[0]!.isProven = false;
            owners[0]!.scheduler.setOwnershipProven(faults.expiresLeasesWithoutProof === true);
            owners[0]!.lostAtMs = nowMs;
            highestTerm = tokens[1]!;
            addOwner(tokens[1]!);
            stepOwner(1);
        },
        tick,
    };

    return {
        progress: () => stored,
        violation: () => violation,
        actions: () =>
            possibleActions({
                nowMs,
                pendingCommands,
                owners,
                workers,
                ownershipGracePeriodMs,
                crashesLeft,
                lossesLeft,
                unansweredSavesLeft,
                partitionsLeft,
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
                partitionsLeft,
                stored,
                [...doneTasks],
                [...acknowledgedDone],
                pendingCommands.map(describePendingCommand),
            ]) +
            JSON.stringify([workers.map(describeModelWorker), owners.map(describeOwner), [...snapshots]]),
    };
}
