/** Runs under which their worker may have crashed, and what shows whether they were at work when it ended. */
import { startHeldUntilMs } from "./leases.js";
import { type Run, runPhases, type WorkerIncarnation, type WorkerRecord } from "./workerRecord.js";

/** A run that its worker was seen to survive for this long is not suspected of the worker's crash. */
export const maxSuspectAgeMs = 2_000;

/** A run of a worker that has ended or lost its leases, and what was known of the worker then. */
export interface CrashSuspect {
    run: Run;
    /** Age of the run when its worker was last in touch. */
    ageMs: number;
    lastContactAtMs: number | undefined;
    leaseHeldUntilMs: number;
    /** Whether the run was certainly at work when the worker ended. */
    isProven: boolean;
}

/** A worker that is gone, and the runs that were lost with their leases before; it may have crashed under them. */
export interface UnexplainedDeparture extends WorkerIncarnation {
    runs: readonly CrashSuspect[];
    departedAtMs: number;
}

/** The age of a run when its worker was last in touch; negative if the start was sent later. */
export function ageAtLastContactMs(worker: WorkerRecord, run: Run): number {
    return (worker.lastContactAtMs ?? Number.NEGATIVE_INFINITY) - run.startedAtMs;
}

/**
 * By when the worker had ended, if it is seen to have ended now. If a successor is there while its leases may still last, it had ended
 * when its connections did.
 */
function endedByMs({ addressTakenAtMs, disconnectedAtMs, leaseEndsAtMs }: WorkerRecord, nowMs: number): number {
    const seenAtMs = Math.min(nowMs, addressTakenAtMs ?? nowMs);
    return seenAtMs <= leaseEndsAtMs ? Math.min(seenAtMs, disconnectedAtMs ?? seenAtMs) : seenAtMs;
}

/** Whether the start has certainly reached the worker. */
function isKnownToWorker({ isStartAccepted, isStartConfirmed }: Run): boolean {
    return isStartAccepted || isStartConfirmed;
}

/** Whether the worker certainly had the run until its lease ended, unless the run ended by itself. */
function isAtWork(worker: WorkerRecord, run: Run): boolean {
    // A start without a response is always followed by a stop, which the worker carries out only if it goes on.
    const mayBeStopped = run.phase === runPhases.stopping && (isKnownToWorker(run) || run.respondedAtMs !== undefined);
    return !run.isPresumed && !mayBeStopped && !worker.hasLeft;
}

/**
 * Call it when the worker is seen to have ended. Silence shows neither that it ended then nor that the run was at work until then: a run
 * ends with its lease on a worker that is cut off. Only an end within the lease shows that.
 */
export function createSuspect(worker: WorkerRecord, run: Run, nowMs: number): CrashSuspect {
    // A start without a response may not have reached the worker, so only an end that is seen while the start is valid counts.
    const [leaseHeldUntilMs, endedAtMs] = isKnownToWorker(run) ?
        [worker.leaseHeldUntilMs, endedByMs(worker, nowMs)] :
        [startHeldUntilMs(run), nowMs];
    return {
        run,
        ageMs: ageAtLastContactMs(worker, run),
        lastContactAtMs: worker.lastContactAtMs,
        leaseHeldUntilMs,
        // A run that may have grown old in silence may also have ended by itself.
        isProven: isAtWork(worker, run) && endedAtMs <= leaseHeldUntilMs && endedAtMs - run.startedAtMs < maxSuspectAgeMs,
    };
}

/** Describes the suspect for the log. */
export function describeSuspect({ run, ageMs, lastContactAtMs, leaseHeldUntilMs }: CrashSuspect, nowMs: number): string {
    const held = Number.isFinite(leaseHeldUntilMs) ?
        `certainly held for another ${Math.round(leaseHeldUntilMs - nowMs)} ms` :
        "not confirmed";
    const contact = lastContactAtMs === undefined ? "none" : `${Math.round(nowMs - lastContactAtMs)} ms ago`;
    return `phase ${run.phase}, age at last contact ${Math.round(ageMs)} ms, last contact ${contact}, ` +
        `lease ${held}`;
}
