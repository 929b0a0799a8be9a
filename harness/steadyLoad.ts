/** Closed-loop load generator: keeps a fixed number of calls in flight until it is stopped. */
import type { Pool } from "undici";
import { type CallResult, callService, type ServiceCall } from "./callService.js";

export interface SteadyLoad {
    /** Results received so far. */
    results: CallResult[];
    /** Resolves once `count` more results have been received. */
    waitForMoreResults(count: number): Promise<void>;
    /** Stops sending calls and resolves with all results once the calls in flight have completed. */
    end(): Promise<CallResult[]>;
}

export interface SteadyLoadOptions {
    callers: Pool[];
    openCount: number;
    /** Creates the call with the given sequence number. */
    makeCall(number: number): ServiceCall;
}

/** Starts the load. Calls are distributed over the callers round-robin. */
export function startSteadyLoad(options: SteadyLoadOptions): SteadyLoad {
    const results: CallResult[] = [];
    const waiting = new Set<{ count: number; resolve(): void }>();
    let isEnding = false;
    let nextNumber = 0;

    const addResult = (result: CallResult): void => {
        results.push(result);
        waiting.forEach(entry => {
            if (results.length >= entry.count) {
                waiting.delete(entry);
                entry.resolve();
            }
        });
    };
    const sendUntilEnd = async (): Promise<void> => {
        while (!isEnding) {
            const number = nextNumber++;
            addResult(await callService(options.callers[number % options.callers.length]!, options.makeCall(number)));
        }
    };
    const loops = Array.from({ length: options.openCount }, sendUntilEnd);
    return {
        results,
        waitForMoreResults: count => new Promise(resolve => waiting.add({ count: results.length + count, resolve })),
        end: async () => {
            isEnding = true;
            await Promise.all(loops);
            return results;
        },
    };
}
