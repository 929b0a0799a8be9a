/**
 * The owner's session with one incarnation of a worker: long polls that extend leases and return ended runs, and commands in parallel to
 * them.
 */
import { delay, type TimerService } from "../common/timerService.js";
import type { ListResponse, WorkerClient } from "../connection/workerClient.js";
import { listingWaitMs } from "../decisions/paceListings.js";
import { acknowledgementFailures } from "../scheduling/acknowledgedEnds.js";
import { type CommandOutcome, commandOutcomes } from "../scheduling/commandOutcomes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../scheduling/schedulerState.js";
import { createWorkerClock, logClockDeviation } from "../scheduling/workerClock.js";
import { runPhases, type WorkerRecord } from "../scheduling/workerRecord.js";
import { createListingPauses } from "./listingPauses.js";
import { createShortLeaseExtender } from "./shortLeases.js";
import { createWorkerStops } from "./workerStops.js";

/** Scheduler commands that are sent to the worker. */
export type WorkerCommand = Extract<SchedulerCommand, { kind: "start" | "stop" | "pace" | "list" }>;

export interface WorkerSession {
    execute(command: WorkerCommand): void;
    /** Must be called when progress was saved: the ends that the worker keeps reporting may all be stored now. */
    onProgressSaved(): void;
    close(): void;
}

export interface WorkerSessionOptions {
    workerId: string;
    bornWallMs: number;
    client: WorkerClient;
    scheduler: Scheduler;
    timers: TimerService;
    /** Longest lease that the worker grants. */
    leaseMs: number;
    /** Whether commands may be sent now. */
    maySendOrders(): boolean;
    isLeaseValid(): boolean;
    /** The worker has received a higher fencing token. */
    onFenced(): void;
    /** The scheduler's state has changed. */
    onSchedulerChanged(): void;
    /** A listing could not be read or applied; called once for several such failures in a row. */
    onListFailed(reason: string): void;
    /** How late this process runs its timers. */
    latenessMs(): number;
}

/** How often a session that may send nothing looks whether it may again. */
const permissionCheckMs = 100;

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { workerId, bornWallMs, client, scheduler, timers } = options;
    const lifetime = new AbortController();
    const { signal } = lifetime;
    const clock = createWorkerClock();
    /** Ends the wait for the last poll's response. */
    let abandonPoll: (() => void) | undefined;
    /** When the last of the listings with a response was sent. */
    let answeredSentAtMs = Number.NEGATIVE_INFINITY;
    let isImmediateListOpen = false;
    let wasLastListAccepted = false;
    /** Since then, only a listing that is sent later confirms that the worker has not restarted. */
    let unconfirmedSinceMs = Number.NEGATIVE_INFINITY;
    let isListFailing = false;

    const worker = (): WorkerRecord | undefined => scheduler.state.workers.get(workerId);
    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const workerClockMs = (): number | undefined => clock.estimateMs(timers.nowMs());

    /** Whether the scheduler still knows the worker as this incarnation; nothing is sent to it by the clock of the former one. */
    const isCurrent = (): boolean => !signal.aborted && worker()?.entry.bornWallMs === bornWallMs;
    const maySendOrders = (): boolean => isCurrent() && options.maySendOrders();
    /**
     * Whether a refusal of this token shows a newer owner: a newer token may also be of this process's continued term, or of a newer
     * incarnation.
     */
    const isCurrentToken = (token: number): boolean => isCurrent() && token === scheduler.commandToken(workerId);

    /** Once the session is closed, its worker may be at another address; of the late responses, only a refusal still holds there. */
    const currentOutcome = (outcome: CommandOutcome): CommandOutcome =>
        signal.aborted && outcome !== commandOutcomes.refused ? commandOutcomes.unknown : outcome;

    const unconfirm = (): void => {
        unconfirmedSinceMs = timers.nowMs();
    };
    const isConfirmed = (): boolean => wasLastListAccepted && answeredSentAtMs >= unconfirmedSinceMs;

    const handleListResponse = (answer: ListResponse, token: number, sentAtMs: number, extendedByMs: number | undefined): void => {
        // The fencing token of a former incarnation's session does not show that the present one refuses earlier commands.
        if (!isCurrent()) {
            return;
        }
        const now = moment();
        scheduler.setOwnershipProven(options.isLeaseValid());
        if (answer.isFenced) {
            if (isCurrentToken(token)) {
                options.onFenced();
            }
            return;
        }
        if (answer.outcome === commandOutcomes.otherWorker) {
            scheduler.workerReplaced(workerId, now);
        }
        else if (answer.listing && answer.clockMs !== undefined) {
            const time = { sentAtMs, readAtMs: now.nowMs };
            logClockDeviation(scheduler.state, clock.deviationMs(answer.clockMs, time), { workerId, call: "listing" });
            if (answer.listing.bornWallMs === bornWallMs) {
                clock.set(answer.clockMs, time);
            }
            answeredSentAtMs = Math.max(answeredSentAtMs, sentAtMs);
            scheduler.listingReceived(workerId, answer.listing, sentAtMs, now, extendedByMs);
        }
        // A missing response says nothing once a later listing got one.
        else if (answer.isDisconnected || sentAtMs >= answeredSentAtMs) {
            scheduler.workerUnresponsive(workerId, now.nowMs, answer.reason, answer.isDisconnected);
        }
        options.onSchedulerChanged();
    };

    /** A worker whose listings cannot be read counts as unresponsive: what runs there is not known. */
    const handleListFailure = (reason: string): void => {
        if (!isListFailing) {
            isListFailing = true;
            options.onListFailed(reason);
        }
        if (signal.aborted) {
            return;
        }
        scheduler.workerUnresponsive(workerId, timers.nowMs(), reason);
        options.onSchedulerChanged();
    };

    const list = async (waitMs: number): Promise<{ outcome: CommandOutcome; hasNewEnds: boolean }> => {
        const sentAtMs = timers.nowMs();
        // The leases of an unresponsive worker are not extended, so that its runs can eventually be considered lost.
        const clockMs = wasLastListAccepted && scheduler.mayExtendLeases(workerId) ? workerClockMs() : undefined;
        if (clockMs !== undefined) {
            scheduler.leaseExtensionSent(workerId, options.leaseMs, sentAtMs);
        }
        const token = scheduler.commandToken(workerId);
        // If the worker has restarted, this number would make it forget ends that nobody has seen.
        const acknowledgedEndNumber = isConfirmed() ? scheduler.takeAcknowledgement(workerId, sentAtMs) : 0;
        try {
            const answer = await client.list({
                token,
                acknowledgedEndNumber,
                leaseUntilClockMs: clockMs === undefined ? undefined : Math.round(clockMs + options.leaseMs),
                waitMs,
            });
            const isOvertaken = answer.isFenced && isCurrent() && !isCurrentToken(token);
            if (acknowledgedEndNumber > 0 && (isOvertaken || answer.outcome === commandOutcomes.unknown)) {
                const sent = { endNumber: acknowledgedEndNumber, token, sentAtMs };
                const { overtaken, unanswered } = acknowledgementFailures;
                scheduler.acknowledgementFailed(workerId, isOvertaken ? overtaken : unanswered, sent, timers.nowMs());
            }
            if (isOvertaken) {
                return { outcome: commandOutcomes.accepted, hasNewEnds: false };
            }
            if (answer.outcome === commandOutcomes.accepted || sentAtMs >= answeredSentAtMs) {
                const isPresent = answer.outcome === commandOutcomes.accepted && answer.listing?.bornWallMs === bornWallMs;
                wasLastListAccepted = isPresent && sentAtMs >= (worker()?.doubtedAtMs ?? sentAtMs);
            }
            // By the worker's clock in the response, which was written after `sentAtMs`, however late it is read.
            const extendedByMs = clockMs === undefined || answer.clockMs === undefined ?
                undefined :
                clockMs + options.leaseMs - answer.clockMs;
            const lastEndNumber = worker()?.lastEndNumber ?? 0;
            handleListResponse(answer, token, sentAtMs, extendedByMs);
            isListFailing = false;
            if (answer.outcome === commandOutcomes.accepted) {
                pauses.onListed();
            }
            return { outcome: answer.outcome, hasNewEnds: (worker()?.lastEndNumber ?? 0) > lastEndNumber };
        }
        catch (error) {
            wasLastListAccepted = false;
            handleListFailure(String(error));
            return { outcome: commandOutcomes.unknown, hasNewEnds: false };
        }
    };

    const pauses = createListingPauses({
        ...{ timers, signal, latenessMs: options.latenessMs },
        hasUnsavedEnds: () => (worker()?.unsavedEnds.length ?? 0) > 0,
        isAcknowledgementHeldUp: () => isConfirmed() && scheduler.isAcknowledgementHeldUp(workerId),
        hasDeparted: () => worker()?.isRegistered === false && worker()?.runs.size === 0,
    });
    const poll = (): Promise<CommandOutcome> => {
        const abandoned = new Promise<CommandOutcome>(resolve => abandonPoll = () => resolve(commandOutcomes.accepted));
        const listed = list(wasLastListAccepted ? listingWaitMs(worker()?.runs.size ?? 0) : 0).then(({ outcome }) => outcome);
        return Promise.race([listed, abandoned]);
    };
    const pollLoop = async (): Promise<void> => {
        while (!signal.aborted) {
            if (!maySendOrders()) {
                await delay(timers, permissionCheckMs, signal);
                continue;
            }
            const outcome = await poll();
            await (outcome === commandOutcomes.accepted ?
                pauses.afterListing() :
                pauses.afterFailure(outcome === commandOutcomes.refused));
        }
    };
    void pollLoop();

    const extendShortLease = createShortLeaseExtender(() => maySendOrders() ? list(0) : Promise.resolve(), signal);
    const start = async (command: Extract<SchedulerCommand, { kind: "start" }>): Promise<void> => {
        const { run: targetRun } = command;
        const clockMs = workerClockMs();
        // The store's response that releases a start may be read late, after a pause, when another process already owns the scheduling.
        const mayStart = (): boolean =>
            targetRun.phase === runPhases.starting && maySendOrders() && scheduler.mayStillStartOn(workerId, timers.nowMs());
        if (clockMs === undefined || !mayStart()) {
            const reason = clockMs === undefined ? "the worker's clock is unknown" : "this process may no longer send the start";
            scheduler.startResponseReceived(targetRun, commandOutcomes.refused, reason, moment());
            pauses.onChanged();
            return;
        }
        const token = scheduler.takeStartToken(workerId);
        const sentAtMs = timers.nowMs();
        const answer = await client.start({
            taskName: targetRun.taskName,
            runId: targetRun.runId,
            payload: command.payload,
            checkpoint: command.checkpoint,
            token,
            validUntilClockMs: Math.round(clockMs + targetRun.startValidityMs),
            mayStillSend: () => mayStart() && isCurrentToken(token),
        });
        if (answer.clockMs !== undefined) {
            const deviationMs = clock.deviationMs(answer.clockMs, { sentAtMs, readAtMs: timers.nowMs() });
            logClockDeviation(scheduler.state, deviationMs, { workerId, call: "start", run: targetRun });
            if (deviationMs !== 0 && isCurrent()) {
                wasLastListAccepted = false;
                unconfirm();
                scheduler.incarnationDoubted(workerId, timers.nowMs());
            }
        }
        if (answer.isFenced && isCurrentToken(token)) {
            options.onFenced();
            return;
        }
        scheduler.setOwnershipProven(options.isLeaseValid());
        scheduler.startResponseReceived(targetRun, currentOutcome(answer.outcome), answer.reason, moment());
        pauses.onChanged();
        options.onSchedulerChanged();
        if (answer.outcome === commandOutcomes.accepted) {
            await extendShortLease(targetRun);
        }
    };
    const setPace = async ({ run: { taskName, runId }, percent }: Extract<SchedulerCommand, { kind: "pace" }>): Promise<void> => {
        const token = scheduler.commandToken(workerId);
        const answer = await client.setPace({ taskName, runId, token, percent });
        if (answer.isFenced && maySendOrders() && !isCurrentToken(token)) {
            // A start that was sent later has overtaken the command.
            await client.setPace({ taskName, runId, token: scheduler.commandToken(workerId), percent });
        }
    };
    const stops = createWorkerStops({ ...options, signal, isCurrent, isCurrentToken, currentOutcome, unconfirm });
    const listImmediately = async (): Promise<void> => {
        if (!pauses.retry() && !isImmediateListOpen && maySendOrders()) {
            isImmediateListOpen = true;
            const { hasNewEnds } = await list(0);
            isImmediateListOpen = false;
            if (hasNewEnds) {
                // An open poll would have returned the ends, so it gets no response.
                abandonPoll?.();
            }
        }
    };

    return {
        execute: command => {
            switch (command.kind) {
                case commandKinds.start:
                    void start(command);
                    return;
                case commandKinds.stop:
                    stops.send(command);
                    return;
                case commandKinds.list:
                    void listImmediately();
                    return;
                case commandKinds.pace:
                    void setPace(command);
            }
        },
        onProgressSaved: pauses.onChanged,
        close: () => {
            lifetime.abort();
            client.close();
            // The next session with the worker sends them.
            scheduler.setOwnershipProven(options.isLeaseValid());
            stops.abandon();
        },
    };
}
