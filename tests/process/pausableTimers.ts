/** Timers of a process that is paused at times: what becomes due in a pause happens after it. */
import type { TimerService } from "../../src/common/timerService.js";

const checkIntervalMs = 20;

export interface PausableTimers extends TimerService {
    /** The responses to the calls of this object are read after the pause. */
    delayResponses<T extends object>(target: T): T;
}

export function createPausableTimers(timers: TimerService, isPaused: () => boolean): PausableTimers {
    const after: TimerService["after"] = (delayMs, callback) => {
        let cancel = (): void => undefined;
        const fire = (nowMs: number): void => {
            if (isPaused()) {
                cancel = timers.after(checkIntervalMs, fire);
            }
            else {
                callback(nowMs);
            }
        };
        cancel = timers.after(delayMs, fire);
        return () => cancel();
    };
    const delayResponse = async <T>(response: Promise<T>): Promise<T> => {
        const value = await response;
        if (isPaused()) {
            await new Promise<void>(resolve => after(0, () => resolve()));
        }
        return value;
    };
    return {
        ...timers,
        after,
        every: (intervalMs, signal, callback) => timers.every(intervalMs, signal, nowMs => isPaused() ? undefined : callback(nowMs)),
        delayResponses: target =>
            new Proxy(target, {
                get: (object, name) => {
                    const member: unknown = Reflect.get(object, name);
                    return typeof member !== "function" ? member : (...args: unknown[]): unknown => {
                        const response: unknown = Reflect.apply(member, object, args);
                        return response instanceof Promise ? delayResponse(response) : response;
                    };
                },
            }),
    };
}
