/** How often each event may happen in a history of the model. */
export interface ModelLimits {
    crashes: number;
    /** Crashes that the store shows only later. */
    unnoticedCrashes: number;
    /** Commands that are executed but whose responses are lost. */
    losses: number;
    /** Listings without an answer, which may be carried out late. */
    unansweredListings: number;
    unansweredSaves: number;
    partitions: number;
    /** Workers that end for good. */
    departures: number;
    takeOvers: number;
    /** The owner loses its lease and continues with a new token. */
    renewals: number;
    /** Runs that end as failed. */
    failures: number;
    /** Writes that reach the store and are answered by separate actions. */
    slowSaves: number;
    /** Workers whose capacity shrinks, and grows again later. */
    shrinkages: number;
}

export const defaultLimits: ModelLimits = {
    crashes: 1,
    unnoticedCrashes: 0,
    losses: 2,
    unansweredListings: 0,
    unansweredSaves: 1,
    partitions: 1,
    departures: 0,
    takeOvers: 1,
    renewals: 0,
    failures: 0,
    slowSaves: 0,
    shrinkages: 0,
};
