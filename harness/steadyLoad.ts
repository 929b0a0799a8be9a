/** A load that keeps a number of calls open until it is told to end. */
import type { Pool } from "undici";
import { type CallResult, callService, type ServiceCall } from "./callService.js";

export interface SteadyLoad {
    /** Results so far. */
    results: CallResult[];
    /** Resolves when so many results more have come than now. */
    waitForMoreResults(count: number): Promise<void>;
    /** Starts no more calls and resolves when all have ended. */
    end(): Promise<CallResult[]>;
}

export interface SteadyLoadOptions {
    callers: Pool[];
    openCount: number;
    /** Makes the call with the given number. */
    makeCall(number: number): ServiceCall;
}

/** Starts the load; call n goes to caller n modulo their number. */
export function startSteadyLoad(options: SteadyLoadOptions): SteadyLoad {
    const results: CallResult[] = [];
    const waiting = new Set<{ count: number; resolve(): void }>();
    let isEnding = false;
    let nextNumber = 0;

    const note = (result: CallResult): void => {
        results.push(result);
        waiting.forEach(entry => {
            if (results.length >= entry.count) {
                waiting.delete(entry);
                entry.resolve();
            }
        });
    };
    const keepOpen = async (): Promise<void> => {
        while (!isEnding) {
            const number = nextNumber++;
            note(await callService(options.callers[number % options.callers.length]!, options.makeCall(number)));
        }
    };
    const loops = Array.from({ length: options.openCount }, keepOpen);
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
