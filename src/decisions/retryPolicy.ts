/** Decides whether a request may be sent again after a failed attempt. */

/** How far a failed attempt had come. */
export const attemptStages = {
    /** No byte can have left. */
    notSent: "notSent",
    /** The backend server said that it did not run the request. */
    refusedByServer: "refusedByServer",
    /** It may have run. */
    maybeRun: "maybeRun",
} as const;
export type AttemptStage = (typeof attemptStages)[keyof typeof attemptStages];

const repeatableMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]);

/** Whether a request may run more than once: by its kind, else by its method (RFC 9110, section 9.2.2). */
export function isRepeatable(method: string, kindIsRepeatable: boolean | undefined): boolean {
    return kindIsRepeatable ?? repeatableMethods.has(method);
}

export interface FailedAttempt {
    stage: AttemptStage;
    isRepeatable: boolean;
    /** Whether the request body is still at hand. */
    canResend: boolean;
    attemptsCount: number;
    /** Whether the service's retry budget has a retry left. */
    hasBudget: boolean;
    /** Time until the request's deadline. */
    remainingMs: number;
}

/** Attempts of one request, the first included. */
export const maximumAttempts = 3;

/** Whether to send the request again. */
export function shouldRetry(attempt: FailedAttempt): boolean {
    const isSafe = attempt.stage !== attemptStages.maybeRun || attempt.isRepeatable;
    return isSafe && attempt.canResend && attempt.hasBudget && attempt.attemptsCount < maximumAttempts && attempt.remainingMs > 0;
}
