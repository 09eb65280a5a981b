/**
 * A seeded source of random numbers. The seed is the entropy that arrives with the daemon's start, so a
 * run can be repeated. Uses the generator of the `pure-rand` library.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

const UNIT_RANGE = 0x40000000;

/** Draws numbers from one seeded sequence. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /** A number in [0, 1). */
  fraction(): number {
    return unsafeUniformIntDistribution(0, UNIT_RANGE - 1, this.#generator) / UNIT_RANGE;
  }

  /** A whole number in [0, bound). `bound` must be at least 1. */
  below(bound: number): number {
    return unsafeUniformIntDistribution(0, bound - 1, this.#generator);
  }

  /** One of the items, or undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)];
  }
}
