/** Connections to the workers of a simulation, whose commands are late, lost, or executed without a response. */
import type { SeededRandom } from "../../harness/random.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { workerLeaseMs } from "../scheduling/schedulerHarness.js";

export interface WorkerConnectorOptions {
    timers: TimerService;
    random: SeededRandom;
    /** Whether a fault of this chance happens now. */
    isFault(percent: number): boolean;
    hasFaults(): boolean;
}

const commandTimeoutMs = 500;

export function createWorkerConnector(
    { timers, random, isFault, hasFaults }: WorkerConnectorOptions,
): (worker: ModelWorker) => WorkerClient {
    const wait = (durationMs: number): Promise<void> => new Promise(resolve => timers.after(durationMs, () => resolve()));

    const order = async (token: number, worker: ModelWorker, execute: () => boolean): Promise<OrderResponse> => {
        const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
        const { bornWallMs } = worker;
        // A command ends with its connection, and thus with the incarnation to which it was sent.
        const hasRestarted = (): boolean => worker.bornWallMs !== bornWallMs;
        if (isFault(10)) {
            if (isFault(50)) {
                timers.after(random.between(0, 2_000), () => void (hasRestarted() || execute()));
            }
            await wait(commandTimeoutMs);
            return noResponse;
        }
        await wait(random.between(1, hasFaults() ? 300 : 5));
        if (hasRestarted()) {
            return noResponse;
        }
        const isFenced = token < worker.highestToken;
        const isAccepted = execute();
        return { outcome: isAccepted ? commandOutcomes.accepted : commandOutcomes.refused, reason: "", isFenced };
    };
    const list = async (
        worker: ModelWorker,
        { token, acknowledgedEndNumber, leaseUntilClockMs, waitMs }: ListOrder,
    ): Promise<ListResponse> => {
        const noListing = { isFenced: false, clockMs: undefined, listing: undefined };
        const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", ...noListing };
        const { bornWallMs } = worker;
        if (isFault(5)) {
            await wait(commandTimeoutMs + waitMs);
            return noResponse;
        }
        if (token < worker.highestToken) {
            return { outcome: commandOutcomes.refused, reason: "fence", ...noListing, isFenced: true };
        }
        worker.highestToken = token;
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledgedEndNumber);
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, Math.min(leaseUntilClockMs ?? 0, timers.nowMs() + workerLeaseMs));
        await wait(Math.min(waitMs, 60));
        if (worker.bornWallMs !== bornWallMs) {
            return noResponse;
        }
        const running = [...worker.running].map(([taskName, runId]) => ({ taskName, runId, checkpoint: "", percent: 100, measured: 0 }));
        const listing = { bornWallMs, running, ended: [...worker.ends] };
        const clockMs = timers.nowMs();
        await wait(random.between(1, hasFaults() ? 100 : 3));
        return { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs, listing };
    };
    return worker => ({
        start: ({ taskName, runId, token, validUntilClockMs }: StartOrder) =>
            order(token, worker, () => worker.start({ taskName, runId, token, untilMs: validUntilClockMs }, timers.nowMs())),
        stop: ({ taskName, runId, token }) => order(token, worker, () => worker.stop({ taskName, runId, token })),
        setPace: () => Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false }),
        list: each => list(worker, each),
        close: () => undefined,
    });
}
