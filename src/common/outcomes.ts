/** Outcomes: what every answer tells its caller of whether the request ran. */

export const outcomes = {
    /** It ran, and the answer is the backend server's. */
    done: "done",
    /** It did not run and will not. */
    notRun: "not-run",
    /** It may have run. */
    unknown: "unknown",
} as const;
export type Outcome = (typeof outcomes)[keyof typeof outcomes];
