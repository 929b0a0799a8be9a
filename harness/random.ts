/** Seeded random numbers. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

export interface SeededRandom {
    /** A whole number from `from` to `to`, both included. */
    between(from: number, to: number): number;
    pick<T>(items: readonly T[]): T;
    /** A number from 0 up to, not including, 1. */
    unit(): number;
}

const unitSteps = 2 ** 30;

/** Creates the numbers of a seed. */
export function createSeededRandom(seed: number): SeededRandom {
    const generator = xoroshiro128plus(seed);
    const between = (from: number, to: number): number => unsafeUniformIntDistribution(from, to, generator);
    return {
        between,
        pick: items => items[between(0, items.length - 1)]!,
        unit: () => between(0, unitSteps - 1) / unitSteps,
    };
}
