/** The owner's sessions with all workers of its scheduler. */
import { describeError } from "../common/describeError.js";
import type { ConnectWorker } from "../connection/workerClient.js";
import { createOpeningSchedule } from "../decisions/paceOpening.js";
import { createStartWindow } from "../decisions/startWindow.js";
import { orderFirstListings } from "../scheduling/firstListings.js";
import { createOverdueEnds } from "../scheduling/overdueEnds.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { commandKinds } from "../scheduling/schedulerState.js";
import type { WorkerEntry, WorkerRecord } from "../scheduling/workerRecord.js";
import { countWorkerCalls, type WorkerCallCounts } from "./workerCallCounts.js";
import { createWorkerSession, type WorkerCommand, type WorkerSession, type WorkerSessionOptions } from "./workerSession.js";

export interface WorkerSessions {
    /**
     * Opens and closes sessions so that there is one with the present incarnation of each worker of the scheduler that has not ended, at
     * its current address, and lists workers again whose ends may be hidden by a listing without a response. Must be called often: a new
     * owner of hundreds of workers opens some sessions at a time, so that it can start tasks in between.
     */
    sync(scheduler: Scheduler): void;
    /** Sends the command, if there is a session with its worker. */
    execute(command: WorkerCommand): void;
    /** Must be called when progress was saved. */
    onProgressSaved(): void;
    /** How many more starts may be planned, given those that are planned, those without a response and how late this process is. */
    maxFurtherStarts(plannedStartsCount: number): number;
    /** How many starts of one worker may be planned or without a response. */
    maxStartsPerWorker(): number;
    /** Returns how many calls were made to workers since this was last asked, and how many starts may be without a response. */
    takeCallCounts(): WorkerCallCounts & { startWindowSize: number };
    /** Closes all sessions; must be called before `sync` is called with another scheduler. */
    close(): void;
}

export interface WorkerSessionsOptions
    extends Omit<WorkerSessionOptions, "workerId" | "bornWallMs" | "client" | "scheduler" | "onListFailed"> {
    connectWorker: ConnectWorker;
    /** A listing of the worker could not be read or applied, or no session with it could be opened at its address. */
    onFailed(workerId: string, where: string, reason: string): void;
}

const overdueCheckIntervalMs = 100;
/** An owner opens these in some milliseconds, so they need not be spread. */
const maxOpenedAtOnce = 32;

export function createWorkerSessions(options: WorkerSessionsOptions): WorkerSessions {
    const calls = countWorkerCalls(options.connectWorker);
    const startWindow = createStartWindow();
    const overdueEnds = createOverdueEnds();
    let overdueCheckedAtMs = Number.NEGATIVE_INFINITY;
    /** The scheduler of the last `sync`. */
    let followed: Scheduler | undefined;
    const opening = createOpeningSchedule();
    /** The session is `undefined` if none could be opened; it is tried again at another address only. */
    const sessions = new Map<string, { address: string; bornWallMs: number; session: WorkerSession | undefined }>();

    /** A worker that cannot be connected must not hold up the others. */
    const open = (entry: WorkerEntry, scheduler: Scheduler): WorkerSession | undefined => {
        const { workerId, bornWallMs } = entry;
        try {
            return createWorkerSession({
                ...options,
                workerId,
                bornWallMs,
                client: calls.connectWorker(entry),
                scheduler,
                onListFailed: reason => options.onFailed(workerId, "worker listing", reason),
            });
        }
        catch (error) {
            options.onFailed(workerId, `connection to ${entry.address}`, describeError(error));
            return undefined;
        }
    };
    const add = ({ entry }: WorkerRecord, scheduler: Scheduler): void => {
        const { workerId, address, bornWallMs } = entry;
        sessions.set(workerId, { address, bornWallMs, session: open(entry, scheduler) });
    };
    const execute = (command: WorkerCommand): void => {
        const workerId = "run" in command ? command.run.workerId : command.workerId;
        const worker = followed?.state.workers.get(workerId);
        if (followed && worker && !worker.hasEnded && !sessions.has(workerId)) {
            add(worker, followed);
        }
        sessions.get(workerId)?.session?.execute(command);
    };
    const listOverdueWorkers = ({ state }: Scheduler): void => {
        const nowMs = options.timers.nowMs();
        if (nowMs - overdueCheckedAtMs >= overdueCheckIntervalMs) {
            overdueCheckedAtMs = nowMs;
            overdueEnds.takeWorkers(state, nowMs, options.latenessMs())
                .forEach(workerId => execute({ kind: commandKinds.list, workerId }));
        }
    };
    return {
        sync: scheduler => {
            const { workers } = scheduler.state;
            followed = scheduler;
            for (const [workerId, { address, bornWallMs, session }] of sessions) {
                const worker = workers.get(workerId);
                if (worker?.entry.address !== address || worker.entry.bornWallMs !== bornWallMs || worker.hasEnded) {
                    session?.close();
                    sessions.delete(workerId);
                }
            }
            const missing = [...workers.values()].filter(({ entry, hasEnded }) => !sessions.has(entry.workerId) && !hasEnded);
            const dueCount = Math.max(maxOpenedAtOnce, opening.dueCount(missing.length, options.timers.nowMs()));
            const due = missing.length <= dueCount ?
                missing :
                orderFirstListings(scheduler.state, missing, options.timers.wallClockMs()).slice(0, dueCount);
            due.forEach(worker => add(worker, scheduler));
            listOverdueWorkers(scheduler);
        },
        execute,
        onProgressSaved: () => sessions.forEach(({ session }) => session?.onProgressSaved()),
        maxFurtherStarts: plannedStartsCount =>
            startWindow.furtherStarts(
                plannedStartsCount + calls.openStartsCount(),
                { latenessMs: options.latenessMs(), ...calls.totals() },
                options.timers.nowMs(),
            ),
        maxStartsPerWorker: () => startWindow.startsPerWorker(options.latenessMs()),
        takeCallCounts: () => ({ ...calls.take(), startWindowSize: startWindow.size() }),
        close: () => {
            sessions.forEach(({ session }) => session?.close());
            sessions.clear();
            followed = undefined;
        },
    };
}
