/** Waits between two listings of a worker, so that the next one can acknowledge the ends that the last one returned. */
import { delay, type TimerService } from "../common/timerService.js";
import { listingPauseMs } from "../decisions/paceListings.js";

export interface ListingPauses {
    /** Resolves when the next listing is due; the worker would return the ends of the last one again at once before. */
    afterListing(): Promise<void>;
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
}

/** Longest wait for ended runs to be saved, and for the responses to starts: new ends are seen that much later. */
const maxWaitMs = 40;

export function createListingPauses({ timers, signal, ...options }: ListingPausesOptions): ListingPauses {
    let wake: (() => void) | undefined;

    const mayAcknowledge = (): boolean => !options.hasUnsavedEnds() && !options.isAcknowledgementHeldUp();
    const waitForAcknowledgement = async (): Promise<void> => {
        const isReady = new Promise<void>(resolve => wake = () => mayAcknowledge() && resolve());
        await Promise.race([delay(timers, maxWaitMs, signal), isReady]);
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
        onChanged: () => wake?.(),
    };
}
