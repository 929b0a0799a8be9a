/** Outcome of a command that was sent to a worker. */
export const commandOutcomes = {
    accepted: "accepted",
    /** Certainly not executed, and never will be. */
    refused: "refused",
    /** No response: the command was executed, was not, or may still be. */
    unknown: "unknown",
    /** The address belongs to another incarnation of a worker. */
    otherWorker: "otherWorker",
} as const;
export type CommandOutcome = (typeof commandOutcomes)[keyof typeof commandOutcomes];
