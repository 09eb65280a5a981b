/**
 * A seeded random number generator (xoroshiro128+, from the `pure-rand` library). The seed is part of the
 * daemon's identity, so that a run can be reproduced.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

const FRACTION_STEPS = 0x40000000;

/** Generates the numbers of one seeded sequence. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /** Returns a number in [0, 1). */
  fraction(): number {
    return unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, this.#generator) / FRACTION_STEPS;
  }

  /** Returns an integer in [0, bound). `bound` must be at least 1. */
  integerBelow(bound: number): number {
    return unsafeUniformIntDistribution(0, bound - 1, this.#generator);
  }

  /** Returns a random item, or undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.integerBelow(items.length)];
  }
}
