/**
 * Samples request keys from a Zipf distribution whose most popular keys can be changed.
 */
import type { SeededRandom } from '../core/random.js';

export class KeySampler {
  readonly #cumulativeWeights: number[];
  readonly #random: SeededRandom;
  #rankOffset = 0;

  /**
   * @param keys number of keys
   * @param exponent exponent of the Zipf distribution; 0 makes all keys equally popular, about 1 is usual
   */
  constructor(keys: number, exponent: number, random: SeededRandom) {
    this.#random = random;
    let sum = 0;
    this.#cumulativeWeights = Array.from({ length: keys }, (_, rank) => (sum += 1 / (rank + 1) ** exponent));
  }

  /** Shifts the ranks by a random offset, so that other keys become the most popular ones. */
  changeHotKeys(): void {
    this.#rankOffset = this.#random.integerBelow(this.#cumulativeWeights.length);
  }

  /** Returns a random key. */
  next(): string {
    const total = this.#cumulativeWeights.at(-1) ?? 0;
    const target = this.#random.fraction() * total;
    const rank = this.#rankOf(target);
    return `key-${(rank + this.#rankOffset) % this.#cumulativeWeights.length}`;
  }

  #rankOf(target: number): number {
    let low = 0;
    let high = this.#cumulativeWeights.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#cumulativeWeights[middle] ?? 0) > target) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
