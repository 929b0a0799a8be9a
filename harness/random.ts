/** Seeded pseudo-random numbers. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

export interface SeededRandom {
    /** Returns an integer in the closed range [from, to]. */
    between(from: number, to: number): number;
    pick<T>(items: readonly T[]): T;
    /** Returns a number in the half-open range [0, 1). */
    unit(): number;
}

const unitSteps = 2 ** 30;

/** Creates a generator that yields the same sequence for the same seed. */
export function createSeededRandom(seed: number): SeededRandom {
    const generator = xoroshiro128plus(seed);
    const between = (from: number, to: number): number => unsafeUniformIntDistribution(from, to, generator);
    return {
        between,
        pick: items => items[between(0, items.length - 1)]!,
        unit: () => between(0, unitSteps - 1) / unitSteps,
    };
}
