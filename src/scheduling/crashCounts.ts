/**
 * How many crashes of workers are counted for a task, and when it is given up. A task that crashes each worker that starts it must be
 * given up soon, and one whose workers end for other reasons must not be.
 */

export interface CrashCounts {
    /** Runs that were certainly at work when their worker ended. */
    provenCount: number;
    /** Runs whose worker has ended, but which may have ended before it. */
    possibleCount: number;
}

export const noCrashes: CrashCounts = { provenCount: 0, possibleCount: 0 };

/** A task is given up after this many crashes, if enough of them are proven. */
const maxCrashes = 3;
/** With two proven crashes, the third need not be proven. */
const minProvenCrashes = 2;
/** Without enough proof, a task is given up after this many crashes: it may be started twice more once it has crashed three workers. */
const maxCrashesWithoutProof = 5;

export function isGivenUp({ provenCount, possibleCount }: CrashCounts): boolean {
    const total = provenCount + possibleCount;
    return total >= maxCrashesWithoutProof || (total >= maxCrashes && provenCount >= minProvenCrashes);
}

export const suspicions = {
    none: "none",
    /** Workers have ended under the task. */
    suspected: "suspected",
    /** The next crash may give up the task. */
    nextCrashMayBeLast: "nextCrashMayBeLast",
} as const;
export type Suspicion = (typeof suspicions)[keyof typeof suspicions];

export function suspicionOf({ provenCount, possibleCount }: CrashCounts): Suspicion {
    const total = provenCount + possibleCount;
    if (total === 0) {
        return suspicions.none;
    }
    return total + 1 >= maxCrashes ? suspicions.nextCrashMayBeLast : suspicions.suspected;
}
