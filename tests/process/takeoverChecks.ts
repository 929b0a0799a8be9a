/**
 * What a new owner relies on, checked in a simulation after each turn: earlier owners have ended when it says so, the stored progress of a job
 * never loses a task that is done, and it names the worker of each run that has not ended.
 */
import type { OwnerDocument } from "../../src/process/ownerDocuments.js";
import type { OwnershipTerm } from "../../src/process/schedulingOwnership.js";
import { decodeProgress, jobKeys, type JobProgress, type StepProgress } from "../../src/scheduling/jobDocuments.js";
import { isFinalState } from "../../src/scheduling/jobRecord.js";
import { parseTaskName } from "../../src/scheduling/taskNames.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import type { SimulatedProcess } from "./simulatedProcess.js";
import type { SimulatedStore } from "./simulatedStore.js";

export interface TakeoverChecks {
    termStarted(memberId: string, term: OwnershipTerm): void;
    check(processes: ReadonlyMap<string, SimulatedProcess>): void;
    /** Number of terms, and of those among them that continue another. */
    counts(): { terms: number; continued: number };
}

interface StartedTerm extends OwnershipTerm {
    memberId: string;
}

function memberIdIn(termDocument: string | undefined): string | undefined {
    return termDocument === undefined ? undefined : (JSON.parse(termDocument) as OwnerDocument).memberId;
}

/** The tasks that the earlier progress of a step shows as done and the later one does not. */
function lostInStep(earlier: StepProgress, later: StepProgress | undefined): string[] {
    if (later?.done === "all") {
        return [];
    }
    const kept = new Set<number>(later?.done);
    return earlier.done === "all" ? ["all"] : earlier.done.filter(task => !kept.has(task)).map(String);
}

/** The tasks that the earlier progress of a job shows as done and the later one does not. */
function lostTasks(earlier: JobProgress, later: JobProgress): string[] {
    if (isFinalState(later.state)) {
        return [];
    }
    if (isFinalState(earlier.state)) {
        return ["its end"];
    }
    return Object.entries(earlier.occurrences ?? {}).flatMap(([occurrence, steps]) =>
        steps.flatMap((step, index) =>
            lostInStep(step, later.occurrences?.[occurrence]?.[index]).map(task => `${occurrence}.${index}.${task}`)
        )
    );
}

export function createTakeoverChecks(
    store: SimulatedStore,
    workers: readonly ModelWorker[],
    nowMs: () => number,
    violations: string[],
): TakeoverChecks {
    const terms: StartedTerm[] = [];
    const progressByJob = new Map<string, JobProgress>();
    let checkedChanges = 0;

    const checkProgress = (): void => {
        for (const { key, value } of store.changes.slice(checkedChanges)) {
            if (key.startsWith(jobKeys.progressPrefix) && value !== undefined) {
                const jobId = key.slice(jobKeys.progressPrefix.length);
                const later = decodeProgress(value);
                const lost = lostTasks(progressByJob.get(jobId) ?? { state: "queued" }, later);
                progressByJob.set(jobId, later);
                if (lost.length > 0) {
                    violations.push(`the progress of ${jobId} has lost ${lost.join(", ")} at ${nowMs()}`);
                }
            }
        }
        checkedChanges = store.changes.length;
    };
    const checkWorkerIds = (): void => {
        for (const worker of workers) {
            for (const taskName of worker.running.keys()) {
                const progress = progressByJob.get(parseTaskName(taskName)!.jobId);
                if (progress && !isFinalState(progress.state) && !progress.workerIds?.includes(worker.id)) {
                    violations.push(
                        `${taskName} runs on ${worker.id} at ${nowMs()}, and the store names ${progress.workerIds?.join(", ")}`,
                    );
                }
            }
        }
    };
    const checkOwners = (processes: ReadonlyMap<string, SimulatedProcess>): void => {
        for (const [memberId, { ownership, lifetime }] of processes) {
            const token = ownership.token();
            if (lifetime.signal.aborted || token === undefined || !ownership.maySendOrders()) {
                continue;
            }
            for (const later of terms) {
                if (later.token > token && later.memberId !== memberId && nowMs() > later.formerOwnersEndAtMs) {
                    violations.push(
                        `${memberId} sends commands at ${nowMs()}; ${later.memberId} counts on its end at ${later.formerOwnersEndAtMs}`,
                    );
                }
            }
        }
    };
    return {
        termStarted: (memberId, term) => {
            const former = store.changes.findLast(({ key, revision }) => key === jobKeys.term && revision < term.token);
            if (term.isContinued && memberIdIn(former?.value) !== memberId) {
                violations.push(`${memberId} continues the term of another owner at ${nowMs()}: ${former?.value}`);
            }
            terms.push({ memberId, ...term });
        },
        check: processes => {
            checkProgress();
            checkWorkerIds();
            checkOwners(processes);
        },
        counts: () => ({ terms: terms.length, continued: terms.filter(({ isContinued }) => isContinued).length }),
    };
}
