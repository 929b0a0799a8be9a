/** Counts the owner's calls to workers: in a surge these, and not its decisions, take most of its processor time. */
import type { ConnectWorker, ListResponse } from "../connection/workerClient.js";
import { type CommandOutcome, commandOutcomes } from "../scheduling/commandOutcomes.js";

export interface WorkerCallCounts {
    startsCount: number;
    stopsCount: number;
    listingsCount: number;
    /** Listings whose address refused the connection or ended it. */
    disconnectedListingsCount: number;
    /** Listings that returned at once with ends of which the owner knew all, since they were not acknowledged. */
    repeatedListingsCount: number;
    /** Calls of any kind whose response did not arrive in time, or at all. */
    unansweredCount: number;
}

export interface CountedWorkerCalls {
    connectWorker: ConnectWorker;
    /** Starts without a response so far. */
    openStartsCount(): number;
    /** All starts and all calls, since the beginning. */
    totals(): { startsCount: number; callsCount: number };
    /** Returns the counts since they were last taken. */
    take(): WorkerCallCounts;
}

function noCalls(): WorkerCallCounts {
    return {
        startsCount: 0,
        stopsCount: 0,
        listingsCount: 0,
        disconnectedListingsCount: 0,
        repeatedListingsCount: 0,
        unansweredCount: 0,
    };
}

export function countWorkerCalls(connectWorker: ConnectWorker): CountedWorkerCalls {
    const counts = noCalls();
    let openStartsCount = 0;
    let taken = noCalls();
    const countAnswer = <Response extends { outcome: CommandOutcome }>(response: Response): Response => {
        counts.unansweredCount += response.outcome === commandOutcomes.unknown ? 1 : 0;
        return response;
    };
    return {
        connectWorker: entry => {
            const client = connectWorker(entry);
            let lastEndNumber = 0;
            const countListing = ({ isDisconnected, listing }: ListResponse): void => {
                counts.disconnectedListingsCount += isDisconnected ? 1 : 0;
                if (listing && listing.ended.length > 0) {
                    const listedEndNumber = Math.max(...listing.ended.map(({ endNumber }) => endNumber));
                    counts.repeatedListingsCount += listedEndNumber <= lastEndNumber ? 1 : 0;
                    lastEndNumber = Math.max(lastEndNumber, listedEndNumber);
                }
            };
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
                    const response = countAnswer(await client.list(order));
                    countListing(response);
                    return response;
                },
            };
        },
        openStartsCount: () => openStartsCount,
        totals: () => ({ startsCount: counts.startsCount, callsCount: counts.startsCount + counts.stopsCount + counts.listingsCount }),
        take: () => {
            const before = taken;
            taken = { ...counts };
            return {
                startsCount: counts.startsCount - before.startsCount,
                stopsCount: counts.stopsCount - before.stopsCount,
                listingsCount: counts.listingsCount - before.listingsCount,
                disconnectedListingsCount: counts.disconnectedListingsCount - before.disconnectedListingsCount,
                repeatedListingsCount: counts.repeatedListingsCount - before.repeatedListingsCount,
                unansweredCount: counts.unansweredCount - before.unansweredCount,
            };
        },
    };
}
