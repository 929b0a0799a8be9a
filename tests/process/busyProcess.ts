/** The processor of a simulated process: what it has to handle is handled one after the other, and its timers run late meanwhile. */
import type { VirtualTime } from "../../harness/schedulingLoad.js";
import type { TimerService } from "../../src/common/timerService.js";
import type { WorkerClient } from "../../src/connection/workerClient.js";

/** Processor time of a call to a worker, half of it to send the request and half to handle the response. */
export interface CallCosts {
    startMs: number;
    listingMs: number;
}

export interface BusyProcess {
    timers: TimerService;
    /** Calls of this client wait for the processor, and take some of its time. */
    charge(client: WorkerClient): WorkerClient;
    /** What the process does from now on has no effect. */
    kill(): void;
}

export function createBusyProcess(time: VirtualTime, costs: CallCosts): BusyProcess {
    let busyUntilMs = 0;
    let isKilled = false;

    /** Runs the work once what came before has been handled. */
    const handle = (costMs: number, work: () => void): void => {
        busyUntilMs = Math.max(busyUntilMs, time.nowMs()) + costMs;
        const waitMs = busyUntilMs - time.nowMs();
        const run = (): void => isKilled ? undefined : work();
        if (waitMs > 0) {
            time.after(waitMs, run);
        }
        else {
            run();
        }
    };
    const after: TimerService["after"] = (delayMs, callback) => {
        let isCancelled = false;
        time.after(delayMs, () => handle(0, () => isCancelled ? undefined : callback(time.nowMs())));
        return () => isCancelled = true;
    };
    const every: TimerService["every"] = (intervalMs, signal, callback) => {
        const repeat = (nowMs: number): void => {
            if (!signal.aborted) {
                after(intervalMs, repeat);
                callback(nowMs);
            }
        };
        after(intervalMs, repeat);
    };
    const chargeCall = <Order, Response>(costMs: number, call: (order: Order) => Promise<Response>) => (order: Order): Promise<Response> =>
        new Promise(resolve => handle(costMs / 2, () => void call(order).then(response => handle(costMs / 2, () => resolve(response)))));
    return {
        timers: { nowMs: time.nowMs, wallClockMs: time.nowMs, after, every },
        charge: client => ({
            ...client,
            start: chargeCall(costs.startMs, client.start),
            stop: chargeCall(costs.startMs, client.stop),
            list: chargeCall(costs.listingMs, client.list),
        }),
        kill: () => isKilled = true,
    };
}
