/** Request outcomes: each response tells the caller whether the request ran. */

export const outcomes = {
    /** The request ran, and the response is the backend server's. */
    done: "done",
    /** The request did not run and will not run. */
    notRun: "not-run",
    /** The request may have run. */
    unknown: "unknown",
} as const;
export type Outcome = (typeof outcomes)[keyof typeof outcomes];
