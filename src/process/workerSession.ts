/** The owner's conversation with one worker: holds that renew leases and bring ends, and orders beside them. */
import { delay, type TimerService } from "../common/timerService.js";
import type { ListResponse, WorkerClient } from "../connection/workerClient.js";
import { type OrderOutcome, orderOutcomes } from "../scheduling/orderOutcomes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import { type Scheduler, startValidityMs } from "../scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../scheduling/schedulerState.js";

/** Commands that are orders to the worker. */
export type WorkerCommand = Extract<SchedulerCommand, { kind: "start" | "stop" | "pace" | "look" }>;

export interface WorkerSession {
    carryOut(command: WorkerCommand): void;
    /** Progress was saved: ends that the worker repeats may be acknowledged now. */
    onSaved(): void;
    end(): void;
}

export interface WorkerSessionOptions {
    workerId: string;
    client: WorkerClient;
    scheduler: Scheduler;
    timers: TimerService;
    /** Longest lease that the worker grants. */
    leaseMs: number;
    /** Whether orders may be given now. */
    mayGiveOrders(): boolean;
    isOwnershipProven(): boolean;
    /** The worker has seen a higher token. */
    onFenced(): void;
    /** The scheduler's state has changed. */
    onChanged(): void;
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
        scheduler.setOwnershipProven(options.isOwnershipProven());
        if (answer.isFenced) {
            options.onFenced();
            return;
        }
        if (answer.outcome === orderOutcomes.otherWorker) {
            scheduler.workerReplaced(workerId, now);
        }
        else if (answer.listing && answer.clockMs !== undefined) {
            clock = { clockMs: answer.clockMs, atMs: now.nowMs };
            scheduler.listed(workerId, answer.listing, sentAtMs, now);
        }
        else {
            scheduler.workerSilent(workerId, now.nowMs);
        }
        options.onChanged();
    };

    const list = async (waitMs: number): Promise<OrderOutcome> => {
        const sentAtMs = timers.nowMs();
        // A worker that has fallen silent gets no longer leases: its runs must be given up some time.
        const clockMs = wasAnswered && scheduler.mayExtendLeases(workerId) ? workerClockMs() : undefined;
        if (clockMs !== undefined) {
            scheduler.holdSent(workerId, options.leaseMs, sentAtMs);
        }
        const answer = await client.list({
            token: scheduler.state.term.token,
            acknowledgedEndNumber: scheduler.acknowledgedEndNumber(workerId),
            leaseUntilClockMs: clockMs === undefined ? undefined : Math.round(clockMs + options.leaseMs),
            waitMs,
        });
        wasAnswered = answer.outcome === orderOutcomes.accepted;
        takeListing(answer, sentAtMs);
        return answer.outcome;
    };

    const waitForSave = async (): Promise<void> => {
        await Promise.race([delay(timers, savePauseMs, signal), new Promise<void>(resolve => wakeAfterSave = resolve)]);
        wakeAfterSave = undefined;
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            if (!options.mayGiveOrders()) {
                await delay(timers, retryPauseMs, signal);
                continue;
            }
            const outcome = await list(clock ? holdWaitMs : 0);
            if (outcome !== orderOutcomes.accepted) {
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
        if (clockMs === undefined || !options.mayGiveOrders()) {
            const reason = clockMs === undefined ? "the worker's clock is not known" : "the ownership is not proven";
            scheduler.startAnswered(ordered, orderOutcomes.refused, reason, moment());
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
        scheduler.startAnswered(ordered, answer.outcome, answer.reason, moment());
        options.onChanged();
    };
    const stop = async (command: Extract<SchedulerCommand, { kind: "stop" }>): Promise<void> => {
        const { run: ordered } = command;
        const answer = await client.stop({ taskName: ordered.taskName, runId: ordered.runId, token: scheduler.state.term.token });
        if (answer.isFenced) {
            options.onFenced();
            return;
        }
        if (answer.outcome === orderOutcomes.otherWorker) {
            scheduler.workerReplaced(workerId, moment());
        }
        if (answer.outcome !== orderOutcomes.accepted) {
            await delay(timers, retryPauseMs, signal);
        }
        scheduler.stopAnswered(ordered, answer.outcome, moment());
        options.onChanged();
    };
    const look = async (): Promise<void> => {
        if (!isLooking && options.mayGiveOrders()) {
            isLooking = true;
            await list(0);
            isLooking = false;
        }
    };

    return {
        carryOut: command => {
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
        onSaved: () => wakeAfterSave?.(),
        end: () => {
            lifetime.abort();
            client.close();
        },
    };
}
