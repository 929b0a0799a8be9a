/** Sends the stops of a session with a worker; those that are not accepted are repeated. */
import { delay } from "../common/timerService.js";
import { retryDelayMs } from "../decisions/paceListings.js";
import { type CommandOutcome, commandOutcomes } from "../scheduling/commandOutcomes.js";
import type { Moment } from "../scheduling/reconcileListing.js";
import type { SchedulerCommand } from "../scheduling/schedulerState.js";
import type { Run } from "../scheduling/workerRecord.js";
import type { WorkerSessionOptions } from "./workerSession.js";

type StopCommand = Extract<SchedulerCommand, { kind: "stop" }>;

export interface WorkerStops {
    send(command: StopCommand): void;
    /** Leaves the stops that were not sent to the next session with the worker. */
    abandon(): void;
}

export interface WorkerStopsOptions
    extends
        Pick<WorkerSessionOptions, "workerId" | "client" | "scheduler" | "timers" | "isLeaseValid" | "onFenced" | "onSchedulerChanged"> {
    /** Aborts when the session is closed. */
    signal: AbortSignal;
    /** Whether the worker is still known as the incarnation of the session. */
    isCurrent(): boolean;
    isCurrentToken(token: number): boolean;
    currentOutcome(outcome: CommandOutcome): CommandOutcome;
    /** Must be called when a stop got no response: the worker may have restarted. */
    unconfirm(): void;
}

/**
 * Further stops wait: more than the worker answers within a call's timeout would time out unsent and be repeated, and each takes memory.
 */
const maxOpenStops = 64;

export function createWorkerStops(options: WorkerStopsOptions): WorkerStops {
    const { workerId, client, scheduler, timers, signal } = options;
    let openCount = 0;
    const failuresCounts = new WeakMap<Run, number>();
    const waiting = new Set<StopCommand>();

    const moment = (): Moment => ({ nowMs: timers.nowMs(), wallMs: timers.wallClockMs() });
    const stop = async ({ run: targetRun }: StopCommand): Promise<void> => {
        if (!options.isCurrent()) {
            scheduler.stopResponseReceived(targetRun, commandOutcomes.unknown, moment());
            return;
        }
        const token = scheduler.commandToken(workerId);
        const answer = await client.stop({ taskName: targetRun.taskName, runId: targetRun.runId, token });
        if (answer.isFenced && options.isCurrentToken(token)) {
            options.onFenced();
            return;
        }
        if (answer.outcome === commandOutcomes.unknown) {
            options.unconfirm();
        }
        scheduler.setOwnershipProven(options.isLeaseValid());
        const outcome = options.currentOutcome(answer.outcome);
        if (outcome === commandOutcomes.otherWorker && options.isCurrent()) {
            scheduler.workerReplaced(workerId, moment());
        }
        if (outcome !== commandOutcomes.accepted) {
            const failuresCount = (failuresCounts.get(targetRun) ?? 0) + 1;
            failuresCounts.set(targetRun, failuresCount);
            await delay(timers, retryDelayMs(failuresCount), signal);
            scheduler.setOwnershipProven(options.isLeaseValid());
        }
        scheduler.stopResponseReceived(targetRun, outcome, moment());
        options.onSchedulerChanged();
    };
    const sendWaiting = (): void => {
        for (const command of waiting) {
            if (openCount >= maxOpenStops) {
                return;
            }
            waiting.delete(command);
            openCount += 1;
            void stop(command).finally(() => {
                openCount -= 1;
                sendWaiting();
            });
        }
    };
    return {
        send: command => {
            waiting.add(command);
            sendWaiting();
        },
        abandon: () => {
            waiting.forEach(({ run }) => scheduler.stopResponseReceived(run, commandOutcomes.unknown, moment()));
            waiting.clear();
        },
    };
}
