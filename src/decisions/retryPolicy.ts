/** Decides whether a request is sent again after a failed attempt. */

/** How far an attempt had got when it failed. */
export const attemptStages = {
    /** No part of the request was sent. */
    notSent: "notSent",
    /** The backend server reported that it did not run the request. */
    refusedByServer: "refusedByServer",
    /** The request may have run. */
    maybeRun: "maybeRun",
} as const;
export type AttemptStage = (typeof attemptStages)[keyof typeof attemptStages];

const repeatableMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]);

/**
 * Whether a request may run more than once: as configured for its kind, otherwise by its method (RFC 9110, section
 * 9.2.2).
 */
export function isRepeatable(method: string, kindIsRepeatable: boolean | undefined): boolean {
    return kindIsRepeatable ?? repeatableMethods.has(method);
}

export interface FailedAttempt {
    stage: AttemptStage;
    isRepeatable: boolean;
    /** Whether the request body is still available. */
    canResend: boolean;
    attemptsCount: number;
    /** Whether the service's retry budget has a retry left. */
    hasBudget: boolean;
    /** Time until the request's deadline. */
    remainingMs: number;
}

/** Maximum number of attempts of one request, including the first. */
export const maximumAttempts = 3;

/** Whether to send the request again. */
export function shouldRetry(attempt: FailedAttempt): boolean {
    const isSafe = attempt.stage !== attemptStages.maybeRun || attempt.isRepeatable;
    return isSafe && attempt.canResend && attempt.hasBudget && attempt.attemptsCount < maximumAttempts && attempt.remainingMs > 0;
}
