/**
 * Connections to the workers of a simulation, whose commands are late, lost, or executed without a response, some of them seconds later and
 * by the next life of the worker. A command that is sent after a restart reaches the new life, whether or not its sender knows of it.
 */
import type { SeededRandom } from "../../harness/random.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, RunOrder, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { type CallKind, callKinds, createLateCommands, type WorkerCall } from "./lateCommands.js";

/** What happens to a call that gets no response. */
export interface CallFault {
    /** After how long the worker carries the command out; `undefined` if it never does. */
    carriedOutAfterMs: number | undefined;
}

export interface WorkerConnectorOptions {
    timers: TimerService;
    random: SeededRandom;
    /** Whether a fault of this chance happens now. */
    isFault(percent: number): boolean;
    hasFaults(): boolean;
    /** Replaces the faults that are chosen at random. */
    chooseFault?(call: WorkerCall): CallFault | undefined;
    /** Whether the worker is up and no path to it is cut. */
    isReachable?(worker: ModelWorker, ownerName: string): boolean;
    /** Whether the worker runs; one that is down carries out nothing. */
    isUp?(worker: ModelWorker): boolean;
    /** Listings wait as long as they ask for, and calls that are open when the worker restarts hang until they time out. */
    waitsInFull?: boolean;
    /** How long the request for a listing takes to reach the worker; none if not set. */
    listingDelayMs?(): number;
    /** A call is not carried out late because no owner can prevent its effect. */
    onLeftOut?(call: WorkerCall): void;
    /** A listing that is carried out late extends no lease, because no owner can prevent that. */
    onLeaseLeftOut?(): void;
}

const commandTimeoutMs = 500;
const briefWaitMs = 60;
const turnMs = 20;

export function createWorkerConnector(options: WorkerConnectorOptions): (worker: ModelWorker, ownerName?: string) => WorkerClient {
    const { timers, random, isFault, hasFaults, waitsInFull = false } = options;
    const lateCommands = createLateCommands();
    const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
    const noListing = { clockMs: undefined, listing: undefined };
    const wait = (durationMs: number): Promise<void> => new Promise(resolve => timers.after(Math.max(0, durationMs), () => resolve()));
    const chooseLateness = (): CallFault => ({
        carriedOutAfterMs: isFault(50) ? isFault(50) ? random.between(0, 2_000) : random.between(2_000, 12_000) : undefined,
    });
    const chooseFault = options.chooseFault ??
        (({ kind }: WorkerCall) => isFault(kind === callKinds.list ? 5 : 10) ? chooseLateness() : undefined);
    const isReachable = ({ worker, ownerName }: WorkerCall): boolean => options.isReachable?.(worker, ownerName) ?? true;
    const hasRestarted = ({ worker, bornWallMs }: WorkerCall): boolean => worker.bornWallMs !== bornWallMs;
    const clockMsOf = (worker: ModelWorker): number => timers.nowMs() + worker.clockOffsetMs;
    const isFencedBy = ({ worker, token }: WorkerCall): boolean => token < worker.highestToken;

    /** `executePreventable` does what any owner can prevent the effect of. */
    const carryOutLater = (
        call: WorkerCall,
        execute: () => unknown,
        fault: CallFault | undefined,
        executePreventable?: () => unknown,
    ): void => {
        if (fault?.carriedOutAfterMs !== undefined) {
            timers.after(fault.carriedOutAfterMs, () => {
                if (!(options.isUp?.(call.worker) ?? true)) {
                    return;
                }
                if (lateCommands.isPreventable(call, isReachable(call))) {
                    execute();
                }
                else if (executePreventable) {
                    executePreventable();
                    options.onLeaseLeftOut?.();
                }
                else {
                    options.onLeftOut?.(call);
                }
            });
        }
    };
    const createCall = (kind: CallKind, worker: ModelWorker, ownerName: string, token: number): WorkerCall => ({
        ...{ kind, worker, ownerName, token },
        sentAtMs: timers.nowMs(),
        bornWallMs: worker.bornWallMs,
    });

    const order = async (call: WorkerCall, execute: () => boolean): Promise<OrderResponse> => {
        const { worker, sentAtMs } = call;
        const carryOut = (): boolean => {
            const isAccepted = execute();
            if (isAccepted) {
                lateCommands.recordCarriedOut(call);
            }
            return isAccepted;
        };
        const fault = chooseFault(call);
        if (fault || !isReachable(call)) {
            carryOutLater(call, carryOut, fault);
            await wait(commandTimeoutMs);
            return noResponse;
        }
        await wait(random.between(1, hasFaults() ? 300 : 5));
        if (hasRestarted(call) || !isReachable(call)) {
            carryOutLater(call, carryOut, chooseLateness());
            await (waitsInFull ? wait(sentAtMs + commandTimeoutMs - timers.nowMs()) : undefined);
            return noResponse;
        }
        const isFenced = isFencedBy(call);
        const isAccepted = carryOut();
        const outcome = isAccepted ? commandOutcomes.accepted : commandOutcomes.refused;
        return { outcome, reason: "", isFenced, clockMs: clockMsOf(worker) };
    };

    /** The wait for an end ends early if there is one. */
    const waitForEnd = async (call: WorkerCall, waitMs: number): Promise<void> => {
        if (!waitsInFull) {
            await wait(Math.min(waitMs, briefWaitMs));
            return;
        }
        while (timers.nowMs() < call.sentAtMs + waitMs && !hasRestarted(call) && call.worker.ends.length === 0) {
            await wait(turnMs);
        }
    };
    const list = async (call: WorkerCall, { acknowledgedEndNumber, leaseUntilClockMs, waitMs }: ListOrder): Promise<ListResponse> => {
        const { worker, token, sentAtMs } = call;
        const timeOut = async (): Promise<ListResponse> => {
            await wait(sentAtMs + commandTimeoutMs + waitMs - timers.nowMs());
            return { ...noResponse, ...noListing };
        };
        const acknowledge = (): boolean => {
            if (isFencedBy(call)) {
                return false;
            }
            worker.highestToken = token;
            worker.acknowledge(acknowledgedEndNumber);
            return true;
        };
        const carryOut = (): boolean => {
            if (!acknowledge()) {
                return false;
            }
            worker.extendLease(leaseUntilClockMs ?? Number.NEGATIVE_INFINITY, timers.nowMs());
            lateCommands.recordCarriedOut(call);
            return true;
        };
        const fault = chooseFault(call);
        if (fault || !isReachable(call)) {
            carryOutLater(call, carryOut, fault, acknowledge);
            return timeOut();
        }
        if (options.listingDelayMs) {
            await wait(options.listingDelayMs());
            if (hasRestarted(call) || !isReachable(call)) {
                carryOutLater(call, carryOut, chooseLateness(), acknowledge);
                return timeOut();
            }
        }
        if (!carryOut()) {
            return { outcome: commandOutcomes.refused, reason: "fence", ...noListing, isFenced: true };
        }
        await waitForEnd(call, waitMs);
        if (hasRestarted(call) || !isReachable(call)) {
            return waitsInFull ? timeOut() : { ...noResponse, ...noListing };
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        const listing = { bornWallMs: worker.bornWallMs, running, ended: [...worker.ends] };
        const clockMs = clockMsOf(worker);
        await wait(random.between(1, hasFaults() ? 100 : 3));
        lateCommands.recordListed(call, timers.nowMs());
        return { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs, listing };
    };

    return (worker, ownerName = "") => {
        const runCall = (kind: CallKind, { taskName, runId, token }: RunOrder): WorkerCall => ({
            ...createCall(kind, worker, ownerName, token),
            run: { taskName, runId },
        });
        return {
            start: ({ taskName, runId, token, validUntilClockMs }: StartOrder) =>
                order(
                    runCall(callKinds.start, { taskName, runId, token }),
                    () => worker.start({ taskName, runId, token, untilMs: validUntilClockMs }, timers.nowMs()),
                ),
            stop: ({ taskName, runId, token }) =>
                order(runCall(callKinds.stop, { taskName, runId, token }), () => worker.stop({ taskName, runId, token })),
            setPace: () => Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false }),
            list: request => list(createCall(callKinds.list, worker, ownerName, request.token), request),
            close: () => undefined,
        };
    };
}
