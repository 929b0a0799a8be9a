/** A timeout that is put off while a response keeps arriving. */

export interface TransferTimeoutOptions {
    timeoutMs: number;
    /** How much longer than `timeoutMs` the response may take while it keeps arriving. */
    transferTimeoutMs: number;
    /** Size of what has arrived so far. */
    receivedBytes(): number;
    /** Calls back after this time; returns a function that cancels it. */
    after(durationMs: number, callback: () => void): () => void;
    onTimeout(): void;
}

/** While a response arrives beyond its timeout, its progress is checked at this interval. */
const checkIntervalMs = 500;

/** Starts the timeout; returns a function that cancels it. */
export function startTransferTimeout(options: TransferTimeoutOptions): () => void {
    let checkedBytes = options.receivedBytes();
    let remainingTransferMs = options.transferTimeoutMs;
    let isCancelled = false;

    const check = (): void => {
        if (isCancelled) {
            return;
        }
        if (options.receivedBytes() <= checkedBytes || remainingTransferMs <= 0) {
            options.onTimeout();
            return;
        }
        checkedBytes = options.receivedBytes();
        const untilCheckMs = Math.min(checkIntervalMs, remainingTransferMs);
        remainingTransferMs -= untilCheckMs;
        cancelTimer = options.after(untilCheckMs, checkAfterReading);
    };
    // A process that is late runs its timers before it reads its sockets, so a response that has already arrived is read first.
    const checkAfterReading = (): void => void setImmediate(check);
    let cancelTimer = options.after(options.timeoutMs, checkAfterReading);

    return () => {
        isCancelled = true;
        cancelTimer();
    };
}
