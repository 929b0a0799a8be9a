/** The scheduler's interface to a worker. Each order carries the fencing token of the owner's term. */
import type { CommandOutcome } from "../scheduling/commandOutcomes.js";
import type { Listing } from "../scheduling/reconcileListing.js";
import type { WorkerEntry } from "../scheduling/workerRecord.js";

export interface StartOrder {
    taskName: string;
    runId: number;
    payload: string;
    checkpoint: string;
    token: number;
    /** Time on the worker's clock at which the order expires; the run's lease lasts at least until then. */
    validUntilClockMs: number;
    /** Asked when the order is about to be sent: whether this process still may. */
    mayStillSend(): boolean;
}

export interface RunOrder {
    taskName: string;
    runId: number;
    token: number;
}

export interface ListOrder {
    token: number;
    /** The ends of runs up to this number have been recorded and need not be reported again. */
    acknowledgedEndNumber: number;
    /** Time on the worker's clock until which the leases of all its runs are renewed. */
    leaseUntilClockMs: number | undefined;
    /** Longest time for which the worker waits for a run to end before it responds. */
    waitMs: number;
}

export interface OrderResponse {
    outcome: CommandOutcome;
    reason: string;
    /** Whether the worker has received an order with a higher token: another process now owns the scheduling. */
    isFenced: boolean;
    /** The worker's clock when it responded. */
    clockMs?: number | undefined;
}

export interface ListResponse extends OrderResponse {
    listing: Listing | undefined;
    /** Whether the worker's address refused the connection or ended it before it responded, rather than being silent. */
    isDisconnected?: boolean;
}

export interface WorkerClient {
    start(order: StartOrder): Promise<OrderResponse>;
    stop(order: RunOrder): Promise<OrderResponse>;
    setPace(order: RunOrder & { percent: number }): Promise<OrderResponse>;
    list(order: ListOrder): Promise<ListResponse>;
    close(): void;
}

export type ConnectWorker = (entry: WorkerEntry) => WorkerClient;
