/** The timer service: the only source of time for all modules, replaced by a manual one in tests. */

/** Called at each due time with the monotonic time in milliseconds. */
export type TimerCallback = (nowMs: number) => void;

/** Clocks and timers. */
export interface TimerService {
    /** Monotonic time in milliseconds. */
    nowMs(): number;
    /** Wall clock time in milliseconds since the Unix epoch, for timestamps that leave the process. */
    wallClockMs(): number;
    /** Calls `callback` every `intervalMs` until `signal` aborts. */
    every(intervalMs: number, signal: AbortSignal, callback: TimerCallback): void;
    /** Calls `callback` once after `delayMs`, unless the returned function is called first. */
    after(delayMs: number, callback: TimerCallback): () => void;
}

/** Resolves after `delayMs`, or as soon as `signal` aborts. */
export function delay(timers: TimerService, delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            cancel();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const cancel = timers.after(delayMs, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });
}

/**
 * Detects process stalls: calls `onStall` when the process was paused for longer than `thresholdMs`. The returned function
 * checks immediately; it is needed because, after a pause, a request may be read before the timer fires.
 */
export function watchStalls(
    timers: TimerService,
    options: { intervalMs: number; thresholdMs: number; signal: AbortSignal },
    onStall: (stallMs: number) => void,
): () => void {
    let lastMs = timers.nowMs();
    const check = (): void => {
        const nowMs = timers.nowMs();
        const stallMs = nowMs - lastMs - options.intervalMs;
        lastMs = nowMs;
        if (stallMs > options.thresholdMs) {
            onStall(stallMs);
        }
    };
    timers.every(options.intervalMs, options.signal, check);
    return check;
}

/** Creates a timer service that uses the system clocks. */
export function createTimerService(): TimerService {
    return {
        nowMs: () => performance.now(),
        wallClockMs: () => Date.now(),
        every: (intervalMs, signal, callback) => {
            const handle = setInterval(() => callback(performance.now()), intervalMs);
            signal.addEventListener("abort", () => clearInterval(handle), { once: true });
        },
        after: (delayMs, callback) => {
            const handle = setTimeout(() => callback(performance.now()), delayMs);
            return () => clearTimeout(handle);
        },
    };
}

/** A timer service whose time changes only through `advance`. */
export interface ManualTimerService extends TimerService {
    /** Advances the time by `durationMs` and makes all callbacks that become due, in order. */
    advance(durationMs: number): void;
}

interface ManualTimer {
    dueMs: number;
    intervalMs: number | undefined;
    callback: TimerCallback;
}

/** Creates a timer service that is controlled by a test or a seeded simulation. */
export function createManualTimerService(): ManualTimerService {
    let currentMs = 0;
    const timers = new Set<ManualTimer>();
    const add = (timer: ManualTimer): () => void => {
        timers.add(timer);
        return () => timers.delete(timer);
    };
    const nextDue = (untilMs: number): ManualTimer | undefined =>
        [...timers].filter(timer => timer.dueMs <= untilMs).sort((a, b) => a.dueMs - b.dueMs)[0];
    const fire = (timer: ManualTimer): void => {
        currentMs = Math.max(currentMs, timer.dueMs);
        if (timer.intervalMs === undefined) {
            timers.delete(timer);
        }
        else {
            timer.dueMs += timer.intervalMs;
        }
        timer.callback(currentMs);
    };
    return {
        nowMs: () => currentMs,
        wallClockMs: () => currentMs,
        every: (intervalMs, signal, callback) => {
            const remove = add({ dueMs: currentMs + intervalMs, intervalMs, callback });
            signal.addEventListener("abort", remove, { once: true });
        },
        after: (delayMs, callback) => add({ dueMs: currentMs + delayMs, intervalMs: undefined, callback }),
        advance: durationMs => {
            const untilMs = currentMs + durationMs;
            for (let timer = nextDue(untilMs); timer; timer = nextDue(untilMs)) {
                fire(timer);
            }
            currentMs = untilMs;
        },
    };
}
