/** What the scheduler needs of a connection to a worker. Every order carries the fencing token of the owner's term. */
import type { CommandOutcome } from "../scheduling/commandOutcomes.js";
import type { Listing } from "../scheduling/reconcileListing.js";
import type { WorkerEntry } from "../scheduling/workerRecord.js";

export interface StartOrder {
    taskName: string;
    runId: number;
    payload: string;
    checkpoint: string;
    token: number;
    /** On the worker's clock: the order is void afterwards, and the lease of the run lasts at least until then. */
    validUntilClockMs: number;
}

export interface RunOrder {
    taskName: string;
    runId: number;
    token: number;
}

export interface ListOrder {
    token: number;
    /** Ends up to this number are safe and need not be repeated. */
    acknowledgedEndNumber: number;
    /** On the worker's clock: all that runs there keeps its lease until then. */
    leaseUntilClockMs: number | undefined;
    /** How long the worker waits for a run to end before it answers. */
    waitMs: number;
}

export interface OrderAnswer {
    outcome: CommandOutcome;
    reason: string;
    /** The worker has had an order with a higher token: another process owns the scheduling. */
    isFenced: boolean;
}

export interface ListAnswer {
    outcome: CommandOutcome;
    reason: string;
    isFenced: boolean;
    clockMs: number | undefined;
    listing: Listing | undefined;
}

export interface WorkerClient {
    start(order: StartOrder): Promise<OrderAnswer>;
    stop(order: RunOrder): Promise<OrderAnswer>;
    setPace(order: RunOrder & { percent: number }): Promise<OrderAnswer>;
    list(order: ListOrder): Promise<ListAnswer>;
    close(): void;
}

export type ConnectWorker = (entry: WorkerEntry) => WorkerClient;
