/**
 * Which key a request is about: a Zipf distribution whose most popular keys change from time to time.
 */
import type { SeededRandom } from '../core/random.js';

/** Draws keys. */
export class KeyPopularity {
  readonly #cumulative: number[];
  readonly #random: SeededRandom;
  #shift = 0;

  /**
   * @param keys how many keys there are
   * @param exponent 0 makes all equally popular; about 1 is usual
   */
  constructor(keys: number, exponent: number, random: SeededRandom) {
    this.#random = random;
    let sum = 0;
    this.#cumulative = Array.from({ length: keys }, (_, rank) => (sum += 1 / (rank + 1) ** exponent));
  }

  /** Makes other keys the popular ones. */
  changeHotKeys(): void {
    this.#shift = this.#random.below(this.#cumulative.length);
  }

  /** Draws one key. */
  next(): string {
    const total = this.#cumulative.at(-1) ?? 0;
    const wanted = this.#random.fraction() * total;
    const rank = this.#rankOf(wanted);
    return `key-${(rank + this.#shift) % this.#cumulative.length}`;
  }

  #rankOf(wanted: number): number {
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#cumulative[middle] ?? 0) > wanted) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
