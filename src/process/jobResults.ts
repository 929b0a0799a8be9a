/** What the job operations answer. */
import type { JobState } from "../scheduling/jobTypes.js";
import type { LogFields } from "./logger.js";

export const jobResultKinds = {
    /** Done and stored. */
    ok: "ok",
    notFound: "notFound",
    /** The id is taken by a job of another caller; the submission was not accepted. */
    idTaken: "idTaken",
    /** Not executed, and never will be; the caller may retry after `retryAfterMs`. */
    refused: "refused",
    /** As `refused`, because of load: the job could not be done in time. */
    overloaded: "overloaded",
    /** It is not known whether the call was executed; the same call may be repeated. */
    unknown: "unknown",
    /** The configuration has changed meanwhile; the call must be validated again. */
    outdated: "outdated",
} as const;
export type JobResultKind = (typeof jobResultKinds)[keyof typeof jobResultKinds];

/** How a submission became known to be stored. */
export const acceptanceOrigins = {
    /** This call's transaction stored it. */
    stored: "stored",
    /** The store contained it already. */
    present: "present",
    /** This process's mirror contains it; the store was not asked. */
    mirrored: "mirrored",
} as const;

/** Why a job counts as not found. */
export const notFoundCauses = {
    /** The store contains no submission of the job. */
    noSubmission: "noSubmission",
    /** The stored submission names another queue than the call. */
    otherQueue: "otherQueue",
} as const;
export type NotFoundCause = (typeof notFoundCauses)[keyof typeof notFoundCauses];

export interface JobResult {
    kind: JobResultKind;
    state?: JobState;
    reason?: string;
    retryAfterMs?: number;
    /** Set if the job was not found. */
    cause?: NotFoundCause;
    /** What the result was decided on, for the log. */
    logFields?: LogFields;
}
