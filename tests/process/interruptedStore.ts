/** The store as a process reaches it whose path to it is cut at times. */
import { Err } from "../../src/common/results.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";

const timeoutMs = 1_200;

/** Calls that begin while `isCut` returns `true` are not executed, and fail after their timeout. */
export function interruptStore(store: ChangeFeedStore, timers: TimerService, isCut: () => boolean): ChangeFeedStore {
    const guard =
        <Arguments extends unknown[], Outcome>(call: (...args: Arguments) => Promise<Outcome>) =>
        async (...args: Arguments): Promise<Outcome> => {
            if (isCut()) {
                await new Promise<void>(resolve => timers.after(timeoutMs, () => resolve()));
                return Err({ call: "call", reason: "cut off", isKnownNotApplied: true }) as Outcome;
            }
            return call(...args);
        };
    return {
        ...store,
        swap: guard(store.swap),
        grantLease: guard(store.grantLease),
        keepLeaseAlive: guard(store.keepLeaseAlive),
        revokeLease: guard(store.revokeLease),
    };
}
