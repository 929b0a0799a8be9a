/** How an order to a worker was answered. */
export const commandOutcomes = {
    accepted: "accepted",
    /** Surely not carried out, and never will be. */
    refused: "refused",
    /** No answer: carried out, or not, or later. */
    unknown: "unknown",
    /** The address belongs to another life of a worker. */
    otherWorker: "otherWorker",
} as const;
export type CommandOutcome = (typeof commandOutcomes)[keyof typeof commandOutcomes];
