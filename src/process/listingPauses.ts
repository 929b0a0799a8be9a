/** Waits between two listings of a worker, so that the next one shows something that the last one did not. */
import { delay, type TimerService } from "../common/timerService.js";
import { listingPauseMs, maxAcknowledgementWaitMs, retryDelayMs } from "../decisions/paceListings.js";

export interface ListingPauses {
    /** Resolves when the next listing is due; the worker would return the ends of the last one again at once before. */
    afterListing(): Promise<void>;
    /** Resolves when a worker that could not be listed is tried again; `isRefused`: its address refused the connection. */
    afterFailure(isRefused: boolean): Promise<void>;
    /** Ends the wait after a failure, so that the worker is polled at once; `false` if none is under way. */
    retry(): boolean;
    /** Must be called when the worker has responded to a listing. */
    onListed(): void;
    /** Must be called when progress was saved or a start got its response. */
    onChanged(): void;
}

export interface ListingPausesOptions {
    timers: TimerService;
    signal: AbortSignal;
    /** How late this process runs its timers. */
    latenessMs(): number;
    hasUnsavedEnds(): boolean;
    /** Whether ends can be acknowledged only once the starts under way have responses. */
    isAcknowledgementHeldUp(): boolean;
    /** Whether the worker has no entry and is not known to run anything. */
    hasDeparted(): boolean;
}

export function createListingPauses({ timers, signal, ...options }: ListingPausesOptions): ListingPauses {
    let wake: (() => void) | undefined;
    let wakeRetry: (() => void) | undefined;
    let failuresCount = 0;

    const retry = (): boolean => {
        failuresCount = 0;
        const isWaiting = wakeRetry !== undefined;
        wakeRetry?.();
        return isWaiting;
    };
    const mayAcknowledge = (): boolean => !options.hasUnsavedEnds() && !options.isAcknowledgementHeldUp();
    const waitForAcknowledgement = async (): Promise<void> => {
        const isReady = new Promise<void>(resolve => wake = () => mayAcknowledge() && resolve());
        await Promise.race([delay(timers, maxAcknowledgementWaitMs, signal), isReady]);
        wake = undefined;
    };
    return {
        afterListing: async () => {
            if (!mayAcknowledge()) {
                // Pauses longer if this process is late, so that the next listing returns several ends at once.
                const pauseMs = listingPauseMs(options.latenessMs());
                const ready = waitForAcknowledgement();
                await (pauseMs > 0 ? Promise.all([ready, delay(timers, pauseMs, signal)]) : ready);
            }
        },
        afterFailure: async isRefused => {
            failuresCount += 1;
            const isWoken = new Promise<void>(resolve => wakeRetry = resolve);
            await Promise.race([delay(timers, retryDelayMs(failuresCount, isRefused && options.hasDeparted()), signal), isWoken]);
            wakeRetry = undefined;
        },
        retry,
        onListed: () => {
            retry();
            wake?.();
        },
        onChanged: () => wake?.(),
    };
}
