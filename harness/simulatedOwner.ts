/**
 * Drives a scheduler in virtual time as its owner does: listings of simulated workers, commands to them, writes of progress, and passes
 * that follow events.
 */
import { listingPauseMs, maxAcknowledgementWaitMs } from "../src/decisions/paceListings.js";
import { createStartWindow } from "../src/decisions/startWindow.js";
import { passDelayMs } from "../src/process/passTrigger.js";
import { commandOutcomes } from "../src/scheduling/commandOutcomes.js";
import { createOverdueEnds } from "../src/scheduling/overdueEnds.js";
import type { Listing, Moment } from "../src/scheduling/reconcileListing.js";
import type { Scheduler, UnsavedJob } from "../src/scheduling/scheduler.js";
import { commandKinds, type SchedulerCommand } from "../src/scheduling/schedulerState.js";
import type { Run } from "../src/scheduling/workerRecord.js";
import type { SimulatedWorker, VirtualTime } from "./schedulingLoad.js";

export interface SimulatedOwnerOptions {
    time: VirtualTime;
    scheduler: Scheduler;
    /** The worker with this id; `undefined` once it is gone. */
    findWorker(workerId: string): SimulatedWorker | undefined;
    /** How long the run takes; `undefined` if it runs until it is stopped. */
    runDurationMs(run: Run): number | undefined;
    /** Called before a command is executed. */
    onCommand?(command: SchedulerCommand): void;
    /** Called with the progress that is about to be written. */
    onWriteStarted?(jobs: readonly UnsavedJob[]): void;
    onSaved?(jobs: readonly UnsavedJob[]): void;
    /** Whether no process owns the scheduling now; the next owner gets the workers' responses. */
    isAway?(): boolean;
    /** Whether the store takes no writes now. */
    isStoreAway?(): boolean;
    /** Processor time for each call to a worker and for each response, which are handled one after the other; by default none. */
    callCostMs?: number;
    /** Whether a worker leaves the listing that is sent now without a response; by default none does. */
    isListingUnanswered?(): boolean;
}

export interface SimulatedOwner {
    /** Lists the worker again and again, from now on. */
    follow(workerId: string): void;
    /** Must be called after each event that may let tasks start. */
    requestPass(): void;
    /** Does what is due in the current millisecond. */
    advance(): void;
}

const linkMs = 2;
/** Time until a write is stored. */
export const storeMs = 6;
export const workerLeaseMs = 6_000;
const longPollMs = 1_000;
/** Time beyond the wait of a listing after which no response is expected, and pause before the next one. */
const listTimeoutMs = 500;
const retryDelayMs = 100;
const saveIntervalMs = 20;
const jobsPerWrite = 15;
const maxWritesInFlight = 3;
const passIntervalMs = 100;
/** How soon the next owner repeats a request of the former one. */
const takeoverRetryMs = 50;

export function createSimulatedOwner(options: SimulatedOwnerOptions): SimulatedOwner {
    const { time, scheduler, findWorker } = options;
    const isAway = options.isAway ?? ((): boolean => false);
    const isStoreAway = options.isStoreAway ?? ((): boolean => false);
    const waitingToAcknowledge = new Set<string>();
    const answeredSentAtMs = new Map<string, number>();
    /** Number of the last poll of each worker; an earlier one that is open gets no response. */
    const pollNumbers = new Map<string, number>();
    const { callCostMs = 0 } = options;
    const startWindow = createStartWindow();
    const overdueEnds = createOverdueEnds();
    let unansweredStartsCount = 0;
    const calls = { startsCount: 0, callsCount: 0 };
    let busyUntilMs = 0;
    let isPassDue = true;
    let lastPassAtMs = 0;
    let writesInFlight = 0;

    const moment = (): Moment => ({ nowMs: time.nowMs(), wallMs: time.nowMs() });
    const latenessMs = (): number => Math.max(0, busyUntilMs - time.nowMs());
    /** Handles a call or a response when those before it have been handled. */
    const handle = (work: () => void): void => {
        if (callCostMs === 0) {
            work();
            return;
        }
        busyUntilMs = Math.max(busyUntilMs, time.nowMs()) + callCostMs;
        time.after(Math.ceil(latenessMs()), work);
    };
    const lastEndNumber = (workerId: string): number => scheduler.state.workers.get(workerId)?.lastEndNumber ?? 0;
    const mayAcknowledge = (workerId: string): boolean =>
        scheduler.state.workers.get(workerId)?.unsavedEnds.length === 0 && !scheduler.isAcknowledgementHeldUp(workerId);

    const list = (workerId: string, waitMs: number, onListed: (hasNewEnds: boolean) => void): void => {
        if (!findWorker(workerId)) {
            return;
        }
        const sentAtMs = time.nowMs();
        calls.callsCount += 1;
        if (options.isListingUnanswered?.()) {
            time.after(waitMs + listTimeoutMs, () => {
                if (findWorker(workerId) && (answeredSentAtMs.get(workerId) ?? 0) <= sentAtMs) {
                    scheduler.workerUnresponsive(workerId, time.nowMs());
                }
                time.after(retryDelayMs, () => onListed(false));
            });
            return;
        }
        const acknowledged = scheduler.takeAcknowledgement(workerId, sentAtMs);
        scheduler.leaseExtensionSent(workerId, workerLeaseMs, sentAtMs);
        const receive = (listing: Listing): void => {
            if (isAway()) {
                time.after(takeoverRetryMs, () => receive(listing));
            }
            else if (findWorker(workerId)) {
                const earlierEndNumber = lastEndNumber(workerId);
                scheduler.listingReceived(workerId, listing, sentAtMs, moment());
                answeredSentAtMs.set(workerId, Math.max(answeredSentAtMs.get(workerId) ?? 0, sentAtMs));
                isPassDue = true;
                onListed(lastEndNumber(workerId) > earlierEndNumber);
            }
        };
        handle(() =>
            time.after(
                linkMs,
                () => findWorker(workerId)?.list(acknowledged, waitMs, listing => time.after(linkMs, () => handle(() => receive(listing)))),
            )
        );
    };
    const poll = (workerId: string, waitMs: number): void => {
        const pollNumber = (pollNumbers.get(workerId) ?? 0) + 1;
        pollNumbers.set(workerId, pollNumber);
        list(workerId, waitMs, () => {
            if (pollNumbers.get(workerId) === pollNumber) {
                continuePolling(workerId);
            }
        });
    };
    const continuePolling = (workerId: string): void => {
        if (mayAcknowledge(workerId)) {
            poll(workerId, longPollMs);
        }
        else {
            waitingToAcknowledge.add(workerId);
            time.after(maxAcknowledgementWaitMs, () => pollAfterWait(workerId));
        }
    };
    /** Lists the worker at once; if that shows ends, an open poll gets no response, and the next one is sent. */
    const listImmediately = (workerId: string): void => {
        list(workerId, 0, hasNewEnds => {
            if (hasNewEnds && !waitingToAcknowledge.has(workerId)) {
                pollNumbers.set(workerId, (pollNumbers.get(workerId) ?? 0) + 1);
                continuePolling(workerId);
            }
        });
    };
    const pollAfterWait = (workerId: string): void => {
        if (waitingToAcknowledge.delete(workerId)) {
            const pauseMs = listingPauseMs(latenessMs());
            if (pauseMs > 0) {
                time.after(Math.ceil(pauseMs), () => poll(workerId, longPollMs));
            }
            else {
                poll(workerId, longPollMs);
            }
        }
    };

    const flushProgress = (): void => {
        while (writesInFlight < maxWritesInFlight && !isStoreAway()) {
            const taken = scheduler.takeUnsavedJobs(jobsPerWrite);
            if (taken.length === 0) {
                return;
            }
            options.onWriteStarted?.(taken);
            writesInFlight += 1;
            time.after(storeMs, () => {
                writesInFlight -= 1;
                taken.forEach(job => scheduler.progressSaved(job.jobId, job.version, time.nowMs()));
                options.onSaved?.(taken);
                [...waitingToAcknowledge].filter(mayAcknowledge).forEach(pollAfterWait);
                isPassDue = true;
            });
        }
    };

    const execute = (command: SchedulerCommand): void => {
        options.onCommand?.(command);
        if (command.kind === commandKinds.list) {
            listImmediately(command.workerId);
        }
        else if (command.kind === commandKinds.start) {
            const { run } = command;
            const durationMs = options.runDurationMs(run);
            unansweredStartsCount += 1;
            calls.startsCount += 1;
            calls.callsCount += 1;
            handle(() => {
                time.after(linkMs, () => findWorker(run.workerId)?.start(run, durationMs));
                time.after(2 * linkMs, () =>
                    handle(() => {
                        unansweredStartsCount -= 1;
                        scheduler.startResponseReceived(run, commandOutcomes.accepted, "", moment());
                        [run.workerId].filter(each => waitingToAcknowledge.has(each) && mayAcknowledge(each)).forEach(pollAfterWait);
                        isPassDue = true;
                    }));
            });
        }
        else if (command.kind === commandKinds.stop) {
            const { run } = command;
            time.after(linkMs, () => findWorker(run.workerId)?.stop(run));
            time.after(2 * linkMs, () => {
                scheduler.stopResponseReceived(run, commandOutcomes.accepted, moment());
                isPassDue = true;
            });
        }
    };

    const runPass = (): void => {
        isPassDue = false;
        lastPassAtMs = time.nowMs();
        scheduler.setStoreWritable(!isStoreAway());
        const startsCount = unansweredStartsCount + scheduler.state.plannedRuns.size;
        scheduler.step(
            moment(),
            startWindow.furtherStarts(startsCount, { latenessMs: latenessMs(), ...calls }, time.nowMs()),
            startWindow.startsPerWorker(latenessMs()),
        );
        if (scheduler.hasPlannedStarts()) {
            flushProgress();
        }
        scheduler.takeCommands().forEach(execute);
    };

    return {
        follow: workerId => poll(workerId, 0),
        requestPass: () => isPassDue = true,
        advance: () => {
            if (isAway()) {
                return;
            }
            const nowMs = time.nowMs();
            if (nowMs % saveIntervalMs === 0) {
                flushProgress();
            }
            if (nowMs % passIntervalMs === 0) {
                overdueEnds.takeWorkers(scheduler.state, nowMs, latenessMs()).forEach(listImmediately);
                isPassDue = true;
            }
            if (isPassDue && passDelayMs(lastPassAtMs, nowMs) === 0) {
                runPass();
            }
        },
    };
}
