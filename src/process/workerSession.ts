/** The owner's conversation with one worker: holds that renew leases and bring ends, and orders beside them. */
import { delay, type TimerService } from "../common/timerService.js";
import type { ListResponse, WorkerClient } from "../connection/workerClient.js";
import { type CommandOutcome, commandOutcomes } from "../scheduling/commandOutcomes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { type Scheduler, startValidityMs } from "../scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../scheduling/schedulerState.js";

/** Commands that are orders to the worker. */
export type WorkerCommand = Extract<SchedulerCommand, { kind: "start" | "stop" | "pace" | "look" }>;

export interface WorkerSession {
    execute(command: WorkerCommand): void;
    /** Progress was saved: ends that the worker repeats may be acknowledged now. */
    onProgressSaved(): void;
    close(): void;
}

export interface WorkerSessionOptions {
    workerId: string;
    client: WorkerClient;
    scheduler: Scheduler;
    timers: TimerService;
    /** Longest lease that the worker grants. */
    leaseMs: number;
    /** Whether orders may be given now. */
    maySendOrders(): boolean;
    isLeaseValid(): boolean;
    /** The worker has seen a higher token. */
    onFenced(): void;
    /** The scheduler's state has changed. */
    onSchedulerChanged(): void;
}

/** How long a hold waits for an end; each one also renews the leases. */
const holdWaitMs = 1_000;
const retryPauseMs = 100;
/** Bound of the wait for ends to be saved before the next hold, which would return at once with the same ends. */
const savePauseMs = 40;

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { workerId, client, scheduler, timers } = options;
    const lifetime = new AbortController();
    const { signal } = lifetime;
    let clock: { clockMs: number; atMs: number } | undefined;
    let wakeAfterSave: (() => void) | undefined;
    let isLooking = false;
    let wasAnswered = false;

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const workerClockMs = (): number | undefined => clock && clock.clockMs + (timers.nowMs() - clock.atMs);

    const takeListing = (answer: ListResponse, sentAtMs: number): void => {
        if (signal.aborted) {
            return;
        }
        const now = moment();
        scheduler.setOwnershipProven(options.isLeaseValid());
        if (answer.isFenced) {
            options.onFenced();
            return;
        }
        if (answer.outcome === commandOutcomes.otherWorker) {
            scheduler.workerReplaced(workerId, now);
        }
        else if (answer.listing && answer.clockMs !== undefined) {
            clock = { clockMs: answer.clockMs, atMs: now.nowMs };
            scheduler.listingReceived(workerId, answer.listing, sentAtMs, now);
        }
        else {
            scheduler.workerUnresponsive(workerId, now.nowMs);
        }
        options.onSchedulerChanged();
    };

    const list = async (waitMs: number): Promise<CommandOutcome> => {
        const sentAtMs = timers.nowMs();
        // A worker that has fallen silent gets no longer leases: its runs must be given up some time.
        const clockMs = wasAnswered && scheduler.mayExtendLeases(workerId) ? workerClockMs() : undefined;
        if (clockMs !== undefined) {
            scheduler.leaseExtensionSent(workerId, options.leaseMs, sentAtMs);
        }
        const answer = await client.list({
            token: scheduler.state.term.token,
            acknowledgedEndNumber: scheduler.acknowledgedEndNumber(workerId),
            leaseUntilClockMs: clockMs === undefined ? undefined : Math.round(clockMs + options.leaseMs),
            waitMs,
        });
        wasAnswered = answer.outcome === commandOutcomes.accepted;
        takeListing(answer, sentAtMs);
        return answer.outcome;
    };

    const waitForSave = async (): Promise<void> => {
        await Promise.race([delay(timers, savePauseMs, signal), new Promise<void>(resolve => wakeAfterSave = resolve)]);
        wakeAfterSave = undefined;
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            if (!options.maySendOrders()) {
                await delay(timers, retryPauseMs, signal);
                continue;
            }
            const outcome = await list(clock ? holdWaitMs : 0);
            if (outcome !== commandOutcomes.accepted) {
                await delay(timers, retryPauseMs, signal);
            }
            else if ((scheduler.state.workers.get(workerId)?.unsavedEnds.length ?? 0) > 0) {
                await waitForSave();
            }
        }
    };
    void run();

    const start = async (command: Extract<SchedulerCommand, { kind: "start" }>): Promise<void> => {
        const { run: ordered } = command;
        const clockMs = workerClockMs();
        // The answer of the store that lets a start go may be read after a pause, when another process owns the scheduling.
        if (clockMs === undefined || !options.maySendOrders()) {
            const reason = clockMs === undefined ? "the worker's clock is not known" : "the ownership is not proven";
            scheduler.startResponseReceived(ordered, commandOutcomes.refused, reason, moment());
            return;
        }
        const answer = await client.start({
            taskName: ordered.taskName,
            runId: ordered.runId,
            payload: command.payload,
            checkpoint: command.checkpoint,
            token: scheduler.state.term.token,
            validUntilClockMs: Math.round(clockMs + startValidityMs),
        });
        if (answer.isFenced) {
            options.onFenced();
            return;
        }
        scheduler.startResponseReceived(ordered, answer.outcome, answer.reason, moment());
        options.onSchedulerChanged();
    };
    const stop = async (command: Extract<SchedulerCommand, { kind: "stop" }>): Promise<void> => {
        const { run: ordered } = command;
        const answer = await client.stop({ taskName: ordered.taskName, runId: ordered.runId, token: scheduler.state.term.token });
        if (answer.isFenced) {
            options.onFenced();
            return;
        }
        if (answer.outcome === commandOutcomes.otherWorker) {
            scheduler.workerReplaced(workerId, moment());
        }
        if (answer.outcome !== commandOutcomes.accepted) {
            await delay(timers, retryPauseMs, signal);
        }
        scheduler.stopResponseReceived(ordered, answer.outcome, moment());
        options.onSchedulerChanged();
    };
    const look = async (): Promise<void> => {
        if (!isLooking && options.maySendOrders()) {
            isLooking = true;
            await list(0);
            isLooking = false;
        }
    };

    return {
        execute: command => {
            switch (command.kind) {
                case commandKinds.start:
                    void start(command);
                    return;
                case commandKinds.stop:
                    void stop(command);
                    return;
                case commandKinds.look:
                    void look();
                    return;
                case commandKinds.pace: {
                    const { run: paced, percent } = command;
                    void client.setPace({ taskName: paced.taskName, runId: paced.runId, token: scheduler.state.term.token, percent });
                }
            }
        },
        onProgressSaved: () => wakeAfterSave?.(),
        close: () => {
            lifetime.abort();
            client.close();
        },
    };
}
