/** Counts the owner's calls to workers: in a surge these, and not its decisions, take most of its processor time. */
import type { ConnectWorker } from "../connection/workerClient.js";
import { type CommandOutcome, commandOutcomes } from "../scheduling/commandOutcomes.js";

export interface WorkerCallCounts {
    startsCount: number;
    stopsCount: number;
    listingsCount: number;
    /** Calls of any kind whose response did not arrive in time, or at all. */
    unansweredCount: number;
}

export interface CountedWorkerCalls {
    connectWorker: ConnectWorker;
    /** Starts without a response so far. */
    openStartsCount(): number;
    /** Returns the counts since they were last taken. */
    take(): WorkerCallCounts;
}

function noCalls(): WorkerCallCounts {
    return { startsCount: 0, stopsCount: 0, listingsCount: 0, unansweredCount: 0 };
}

export function countWorkerCalls(connectWorker: ConnectWorker): CountedWorkerCalls {
    let counts = noCalls();
    let openStartsCount = 0;
    const countAnswer = <Response extends { outcome: CommandOutcome }>(response: Response): Response => {
        counts.unansweredCount += response.outcome === commandOutcomes.unknown ? 1 : 0;
        return response;
    };
    return {
        connectWorker: entry => {
            const client = connectWorker(entry);
            return {
                ...client,
                start: async order => {
                    counts.startsCount += 1;
                    openStartsCount += 1;
                    try {
                        return countAnswer(await client.start(order));
                    }
                    finally {
                        openStartsCount -= 1;
                    }
                },
                stop: async order => {
                    counts.stopsCount += 1;
                    return countAnswer(await client.stop(order));
                },
                list: async order => {
                    counts.listingsCount += 1;
                    return countAnswer(await client.list(order));
                },
            };
        },
        openStartsCount: () => openStartsCount,
        take: () => {
            const taken = counts;
            counts = noCalls();
            return taken;
        },
    };
}
