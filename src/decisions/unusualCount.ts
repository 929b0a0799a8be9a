/**
 * Tells an unusual number of events from chance, for events that occur independently of each other. It is designed for the onset of a surge,
 * in which many jobs arrive after few: their number shows within a second what their work, which a few large jobs dominate, does not.
 */

/** Probability with which chance alone brings an unusual number. */
const chanceProbability = 0.0003;

/** Whether `count` events are more than chance brings where `usualCount` are expected, by Chernoff's bound for a Poisson distribution. */
export function isUnusualCount(count: number, usualCount: number): boolean {
    return count > usualCount && count * Math.log(count / usualCount) - (count - usualCount) > -Math.log(chanceProbability);
}
