/** A term of the ownership, as the scheduler knows it. */

/** A period during which this process owns the scheduling. */
export interface Term {
    /** Fencing token of every command; higher than that of any earlier owner. */
    token: number;
    /**
     * Until then, workers that have not responded in this term may still run tasks of an earlier owner, so jobs that may run on such a
     * worker start nothing.
     */
    unknownWorkersUntilMs: number;
    /** From then on, no earlier owner sends commands; `undefined` if none has started anything. */
    formerOwnersEndAtMs?: number | undefined;
}
