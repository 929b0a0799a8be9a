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

export interface OrderResponse {
    outcome: CommandOutcome;
    reason: string;
    /** The worker has had an order with a higher token: another process owns the scheduling. */
    isFenced: boolean;
}

export interface ListResponse {
    outcome: CommandOutcome;
    reason: string;
    isFenced: boolean;
    clockMs: number | undefined;
    listing: Listing | undefined;
}

export interface WorkerClient {
    start(order: StartOrder): Promise<OrderResponse>;
    stop(order: RunOrder): Promise<OrderResponse>;
    setPace(order: RunOrder & { percent: number }): Promise<OrderResponse>;
    list(order: ListOrder): Promise<ListResponse>;
    close(): void;
}

export type ConnectWorker = (entry: WorkerEntry) => WorkerClient;
