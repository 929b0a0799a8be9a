/** Runs under which their worker may have crashed, and what shows whether they were at work when it ended. */
import type { Run, WorkerRecord } from "./workerRecord.js";

/** A run of a worker that has ended or lost its leases, and what was known of the worker then. */
export interface CrashSuspect {
    run: Run;
    /** Age of the run when its worker was last in touch. */
    ageMs: number;
    lastContactAtMs: number | undefined;
    leaseEndsAtMs: number;
}

/** The age of a run when its worker was last in touch; negative if the start was sent later. */
export function ageAtLastContactMs(worker: WorkerRecord, run: Run): number {
    return (worker.lastContactAtMs ?? Number.NEGATIVE_INFINITY) - run.startedAtMs;
}

export function createSuspect(worker: WorkerRecord, run: Run): CrashSuspect {
    return { run, ageMs: ageAtLastContactMs(worker, run), lastContactAtMs: worker.lastContactAtMs, leaseEndsAtMs: worker.leaseEndsAtMs };
}

/** Describes the suspect for the log. */
export function describeSuspect({ run, ageMs, lastContactAtMs, leaseEndsAtMs }: CrashSuspect, nowMs: number): string {
    const contact = lastContactAtMs === undefined ? "none" : `${Math.round(nowMs - lastContactAtMs)} ms ago`;
    return `phase ${run.phase}, age at last contact ${Math.round(ageMs)} ms, last contact ${contact}, ` +
        `lease ends in ${Math.round(leaseEndsAtMs - nowMs)} ms`;
}
