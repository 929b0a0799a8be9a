import type { JobProgress } from "../../src/scheduling/jobDocuments.js";
import type { WorkerRecord } from "../../src/scheduling/workerRecord.js";

/** Faults injected into the protocol, which the checks must detect. */
export interface FaultInjection {
    /** Ends are acknowledged to workers before they are stored. */
    acknowledgesBeforeSaving?: boolean;
    /** A new owner starts tasks without waiting for unreachable workers. */
    takesOverWithoutWaiting?: boolean;
    /** An owner that lost its lease still concludes that the leases of unresponsive workers have ended. */
    expiresLeasesWithoutProof?: boolean;
    /** A start without a response is sent to another worker at once. */
    retriesUnansweredStarts?: boolean;
    /** Starts are sent before the store lists the workers on which the job may run. */
    startsBeforeSaving?: boolean;
    /** A write whose answer was lost is not reported as failed, so that the job is never written again. */
    forgetsUnansweredSaves?: boolean;
    /** The next owner does not recognize a failed run whose end is listed again, and counts it once more. */
    countsListedFailuresAgain?: boolean;
    /** The next owner does not know under which runs workers have crashed. */
    forgetsCrashes?: boolean;
    /** Commands to all incarnations of a worker carry the same token. */
    usesOneTokenPerTerm?: boolean;
    /** Starts may carry the token of an earlier listing that acknowledged ends. */
    startsWithAcknowledgingToken?: boolean;
    /** No lease is taken to last longer than what commands ask for. */
    trustsRequestedLeases?: boolean;
    /** Starts are sent to an incarnation before its first listing. */
    startsBeforeFirstListing?: boolean;
    /** The owner does not notice that a start was answered by another incarnation. */
    ignoresOtherClocks?: boolean;
    /** The owners are not told that a worker's capacity has shrunk. */
    ignoresShrinkage?: boolean;
}

/** Removes the runs under which workers have crashed. */
function forgetCrashes(progress: JobProgress | undefined): JobProgress | undefined {
    const omitted = new Set(["crashedRunIds", "suspectStart"]);
    return progress && JSON.parse(JSON.stringify(progress, (key, value: unknown) => omitted.has(key) ? undefined : value)) as JobProgress;
}

/** Replaces the ids of failed runs, so that the ends of these runs are not recognized. */
function forgetRunIds(progress: JobProgress | undefined): JobProgress | undefined {
    return progress &&
        JSON.parse(
            JSON.stringify(progress),
            (key, value: unknown) => key === "failedRunIds" ? (value as number[]).map(runId => -runId) : value,
        ) as JobProgress;
}

/** The stored progress as the next owner reads it. */
export function injectIntoProgress(faults: FaultInjection, progress: JobProgress | undefined): JobProgress | undefined {
    const known = faults.forgetsCrashes ? forgetCrashes(progress) : progress;
    return faults.countsListedFailuresAgain ? forgetRunIds(known) : known;
}

/** Makes a new incarnation of a worker count as one that has listed its runs. */
export function assumeListed(worker: WorkerRecord): void {
    if (worker.formerTokensCount > 0 && !worker.hasListed) {
        worker.hasListed = true;
        worker.isRunStateKnown = true;
        worker.lastResponseAtMs = worker.lastContactAtMs ?? 0;
    }
}
